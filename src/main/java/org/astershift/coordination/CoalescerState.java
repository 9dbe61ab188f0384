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
    private boolean completed;

    public boolean completed() {
      return completed;
    }

    /** Null before it is over, and where whoever worked it out failed. */
    public A answer() {
      return answer;
    }
  }

  /** What one who asks does. */
  public enum Role {
    /** Works the answer out, now. */
    COMPUTE,
    /** Works it out once the present round is over, and begins then. */
    QUEUED,
    /** Waits until its round is over. */
    SHARE
  }

  /** The round of one who asks, and its part in it. */
  public record Ticket<A>(Round<A> round, Role role) {}

  private final Map<String, Round<A>> computing = new HashMap<>();
  private final Map<String, Round<A>> queued = new HashMap<>();

  /** Somebody asks. */
  public Ticket<A> join(String key) {
    Round<A> round = queued.get(key);
    if (round != null) {
      return new Ticket<>(round, Role.SHARE);
    }
    round = new Round<>();
    if (isComputing(key)) {
      queued.put(key, round);
      return new Ticket<>(round, Role.QUEUED);
    }
    computing.put(key, round);
    return new Ticket<>(round, Role.COMPUTE);
  }

  /** Whether an answer is being worked out: who follows begins when there is none. */
  public boolean isComputing(String key) {
    return computing.containsKey(key);
  }

  /** Who follows begins its work: who asks from now on does not share it. */
  public void beginQueued(String key) {
    computing.put(key, queued.remove(key));
  }

  /** Who follows gives up before it began: nobody waits for its answer any more. */
  public void abandonQueued(String key) {
    queued.remove(key).completed = true;
  }

  /** The work is over, with this answer; null if it failed. */
  public void complete(String key, A answer) {
    Round<A> round = computing.remove(key);
    round.answer = answer;
    round.completed = true;
  }
}
