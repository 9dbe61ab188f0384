package org.astershift.coordination;

import java.util.HashMap;
import java.util.Map;

/**
 * Request coalescing: decides which callers share a result. A result may go only to callers that
 * asked before its computation began; otherwise a user who has seen a newer state at another
 * controller could get an older one. Callers that arrive during a computation therefore share the
 * next one: for each key at most one computation runs and one is queued. Not thread-safe: the
 * caller holds a lock, and does the waiting.
 */
public final class CoalescerState<A> {
  /** The callers that share one result. */
  public static final class Round<A> {
    private A result;
    private boolean isCompleted;

    /** Returns whether the computation has ended. */
    public boolean isCompleted() {
      return isCompleted;
    }

    /** Returns the result; null before completion, and if the computation failed. */
    public A result() {
      return result;
    }
  }

  /** What a caller does in its round. */
  public enum Role {
    /** Computes the result now. */
    COMPUTE,
    /** Computes the result after the current round. */
    QUEUED,
    /** Waits for the result that another caller of the round computes. */
    SHARE
  }

  /** A caller's round and role. */
  public record Ticket<A>(Round<A> round, Role role) {}

  private final Map<String, Round<A>> computing = new HashMap<>();
  private final Map<String, Round<A>> queued = new HashMap<>();

  /** Assigns a new caller a round and a role. */
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

  /** Returns whether a computation is running; the queued caller must wait until none is. */
  public boolean isComputing(String key) {
    return computing.containsKey(key);
  }

  /** Begins the computation of the queued caller; later callers do not share its result. */
  public void beginQueued(String key) {
    computing.put(key, queued.remove(key));
  }

  /** Removes a queued caller that was interrupted; callers that share its round get null. */
  public void abandonQueued(String key) {
    queued.remove(key).isCompleted = true;
  }

  /** Ends a computation; {@code result} is null if it failed. */
  public void complete(String key, A result) {
    Round<A> round = computing.remove(key);
    round.result = result;
    round.isCompleted = true;
  }
}
