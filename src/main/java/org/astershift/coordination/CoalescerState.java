package org.astershift.coordination;

import java.util.HashMap;
import java.util.Map;

/**
 * Which of those who ask the same share an answer (request coalescing). An answer may be given only
 * to who asked before the work for it began: otherwise a user who has heard from another controller
 * meanwhile that the job is over would be told something older. So who comes while an answer is
 * being worked out shares the next one, and however many ask, one is in work and one follows. Its
 * caller holds a lock, and waits.
 */
public final class CoalescerState<A> {
  /** Those who get one answer. */
  public static final class Round<A> {
    private A answer;
    private boolean over;

    public boolean over() {
      return over;
    }

    /** Null before it is over, and where whoever worked it out failed. */
    public A answer() {
      return answer;
    }
  }

  /** What one who asks does. */
  public enum Role {
    /** Works the answer out, now. */
    WORKS,
    /** Works it out once the present round is over, and begins then. */
    FOLLOWS,
    /** Waits until its round is over. */
    SHARES
  }

  /** The round of one who asks, and its part in it. */
  public record Ticket<A>(Round<A> round, Role part) {}

  private final Map<String, Round<A>> working = new HashMap<>();
  private final Map<String, Round<A>> next = new HashMap<>();

  /** Somebody asks. */
  public Ticket<A> asks(String key) {
    Round<A> round = next.get(key);
    if (round != null) {
      return new Ticket<>(round, Role.SHARES);
    }
    round = new Round<>();
    if (busy(key)) {
      next.put(key, round);
      return new Ticket<>(round, Role.FOLLOWS);
    }
    working.put(key, round);
    return new Ticket<>(round, Role.WORKS);
  }

  /** Whether an answer is being worked out: who follows begins when there is none. */
  public boolean busy(String key) {
    return working.containsKey(key);
  }

  /** Who follows begins its work: who asks from now on does not share it. */
  public void begins(String key) {
    working.put(key, next.remove(key));
  }

  /** Who follows gives up before it began: nobody waits for its answer any more. */
  public void leaves(String key) {
    next.remove(key).over = true;
  }

  /** The work is over, with this answer; null if it failed. */
  public void ends(String key, A answer) {
    Round<A> round = working.remove(key);
    round.answer = answer;
    round.over = true;
  }
}
