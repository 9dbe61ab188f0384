package org.astershift.coordination;

import java.util.HashMap;
import java.util.Map;

/**
 * Request coalescing: which callers share a result. A result may go only to callers that asked
 * before its computation began; otherwise a user who has seen a newer state at another controller
 * could get an older one. So callers that arrive during a computation share the next one: for each
 * key at most one computes and one is queued. Needs the caller's lock; the caller does the waiting.
 */
public final class CoalescerState<A> {
  /** The callers that share one result. */
  public static final class Round<A> {
    private A answer;
    private boolean completed;

    /** Whether the computation is over. */
    public boolean completed() {
      return completed;
    }

    /** The result; null before completion, and if the computation failed. */
    public A answer() {
      return answer;
    }
  }

  /** What a caller does. */
  public enum Role {
    /** Computes the result now. */
    COMPUTE,
    /** Computes it after the present round. */
    QUEUED,
    /** Waits until its round is complete. */
    SHARE
  }

  /** A caller's round and role. */
  public record Ticket<A>(Round<A> round, Role role) {}

  private final Map<String, Round<A>> computing = new HashMap<>();
  private final Map<String, Round<A>> queued = new HashMap<>();

  /** A caller arrives. */
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

  /** Whether a computation is running; the queued caller begins when none is. */
  public boolean isComputing(String key) {
    return computing.containsKey(key);
  }

  /** The queued caller begins to compute; callers from now on do not share its result. */
  public void beginQueued(String key) {
    computing.put(key, queued.remove(key));
  }

  /** The queued caller gives up; those who share its round get null. */
  public void abandonQueued(String key) {
    queued.remove(key).completed = true;
  }

  /** The computation is over; {@code answer} null if it failed. */
  public void complete(String key, A answer) {
    Round<A> round = computing.remove(key);
    round.answer = answer;
    round.completed = true;
  }
}
