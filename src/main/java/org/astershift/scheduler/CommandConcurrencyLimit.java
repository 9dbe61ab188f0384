package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.astershift.config.Constants;

/**
 * How many direct orders may be under way at once. It follows what is being answered: some more
 * with each answer in time, half as many once answers come late, since then this node, or its
 * network, has more to do than it can. After a change of leaders of a large fleet each machine had
 * an order of its own beside its report, a thousand at once on a fifth of a core, and the renewals,
 * lists and passes that all waited for came seconds late. What finds no place waits for the answer
 * to its machine's next report, which carries the same commands.
 */
final class CommandConcurrencyLimit {
  private final Map<String, Long> sentMsByMachine = new HashMap<>();
  private double limit = Constants.CONCURRENT_COMMANDS_INITIAL;
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
    if (nowMs - sentMs <= Constants.COMMAND_SLOW_MS) {
      limit =
          Math.min(
              Constants.CONCURRENT_COMMANDS_MAX, limit + Constants.CONCURRENT_COMMANDS_INCREASE);
    } else if (sentMs > lastDecreaseMs) {
      // Once for all that were under way together.
      lastDecreaseMs = nowMs;
      limit = Math.max(Constants.CONCURRENT_COMMANDS_MIN, limit / 2);
    }
  }

  /** Forgets those whose end was not told: none takes so long. */
  void removeLost(long nowMs) {
    sentMsByMachine.values().removeIf(sentMs -> nowMs - sentMs > Constants.COMMAND_LOST_MS);
  }

  @Override
  public String toString() {
    return sentMsByMachine.size() + " of " + (int) limit + " direct orders under way";
  }
}
