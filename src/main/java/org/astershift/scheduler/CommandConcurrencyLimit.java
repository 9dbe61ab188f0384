package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/**
 * How many direct orders may be under way at once. It follows what is being answered: some more
 * with each answer in time, half as many once answers come late, since then this node, or its
 * network, has more to do than it can. After a change of leaders of a large fleet each machine had
 * an order of its own beside its report, a thousand at once on a fifth of a core, and the renewals,
 * lists and passes that all waited for came seconds late. What finds no place waits for the answer
 * to its machine's next report, which carries the same commands.
 */
final class CommandConcurrencyLimit {
  /** Direct orders that may be under way at once when a term begins. */
  static final int CONCURRENT_COMMANDS_INITIAL = 64;

  /** The least and the most that this may become: threads for a few, and a whole large fleet. */
  static final int CONCURRENT_COMMANDS_MIN = 16;

  private static final int CONCURRENT_COMMANDS_MAX = 1024;

  /** Direct orders more for each that is answered in time. */
  private static final double CONCURRENT_COMMANDS_INCREASE = 1;

  /**
   * Milliseconds beyond which an answer to a direct order is late: usual are a few, and a machine's
   * next report comes after some seconds anyway.
   */
  private static final long COMMAND_SLOW_MS = 400;

  /** A direct order of which nothing was heard for so many milliseconds is under way no more. */
  static final long COMMAND_LOST_MS = 15_000;

  private final Map<String, Long> sentMsByMachine = new HashMap<>();
  private double limit = CONCURRENT_COMMANDS_INITIAL;
  private long lastDecreaseMs = Long.MIN_VALUE / 2;

  /** Whether one more may go out. */
  boolean hasCapacity() {
    return sentMsByMachine.size() < limit;
  }

  void onSent(String machineName, long nowMs) {
    sentMsByMachine.put(machineName, nowMs);
  }

  /** The order, if one was under way, has its answer, or will get none. */
  void onSettled(String machineName, boolean answered, long nowMs) {
    Long sentMs = sentMsByMachine.remove(machineName);
    if (sentMs == null || !answered) {
      return; // a machine that does not answer says nothing of this node
    }
    if (nowMs - sentMs <= COMMAND_SLOW_MS) {
      limit = Math.min(CONCURRENT_COMMANDS_MAX, limit + CONCURRENT_COMMANDS_INCREASE);
    } else if (sentMs > lastDecreaseMs) {
      // Once for all that were under way together.
      lastDecreaseMs = nowMs;
      limit = Math.max(CONCURRENT_COMMANDS_MIN, limit / 2);
    }
  }

  /** Forgets those whose end was not told: none takes so long. */
  void removeLost(long nowMs) {
    sentMsByMachine.values().removeIf(sentMs -> nowMs - sentMs > COMMAND_LOST_MS);
  }

  @Override
  public String toString() {
    return sentMsByMachine.size() + " of " + (int) limit + " direct orders under way";
  }
}
