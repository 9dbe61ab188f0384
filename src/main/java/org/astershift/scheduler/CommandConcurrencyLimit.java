package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the number of direct commands in flight. Each answer in time increases the limit
 * additively; late answers decrease it multiplicatively, since they show that this node or its
 * network is overloaded. Commands above the limit are sent in the response to the machine's next
 * heartbeat.
 */
final class CommandConcurrencyLimit {
  /** Limit at the beginning of a term. */
  static final int CONCURRENT_COMMANDS_INITIAL = 64;

  /** Lower bound of the limit. */
  static final int CONCURRENT_COMMANDS_MIN = 16;

  /** Upper bound of the limit, the size of a large fleet. */
  private static final int CONCURRENT_COMMANDS_MAX = 1024;

  /** Increase of the limit with each answer in time. */
  private static final double CONCURRENT_COMMANDS_INCREASE = 1;

  /** Answers that take longer count as late; an answer usually takes a few milliseconds. */
  private static final long COMMAND_SLOW_MS = 400;

  /** Commands without a result after this time no longer count as in flight. */
  static final long COMMAND_LOST_MS = 15_000;

  private final Map<String, Long> sentMsByMachine = new HashMap<>();
  private double limit = CONCURRENT_COMMANDS_INITIAL;
  private long lastDecreaseMs = Long.MIN_VALUE / 2;

  /** Returns whether one more command may be sent. */
  boolean hasCapacity() {
    return sentMsByMachine.size() < limit;
  }

  void onSent(String machineName, long nowMs) {
    sentMsByMachine.put(machineName, nowMs);
  }

  /**
   * Handles the end of a command to the machine, if one is in flight, with or without an answer.
   */
  void onSettled(String machineName, boolean answered, long nowMs) {
    Long sentMs = sentMsByMachine.remove(machineName);
    if (sentMs == null || !answered) {
      return; // a missing answer is a fault of the machine and shows no overload here
    }
    if (nowMs - sentMs <= COMMAND_SLOW_MS) {
      limit = Math.min(CONCURRENT_COMMANDS_MAX, limit + CONCURRENT_COMMANDS_INCREASE);
    } else if (sentMs > lastDecreaseMs) {
      // Decreases only once for commands that were in flight together.
      lastDecreaseMs = nowMs;
      limit = Math.max(CONCURRENT_COMMANDS_MIN, limit / 2);
    }
  }

  /** Removes commands that got no result within {@link #COMMAND_LOST_MS}. */
  void removeLost(long nowMs) {
    sentMsByMachine.values().removeIf(sentMs -> nowMs - sentMs > COMMAND_LOST_MS);
  }

  @Override
  public String toString() {
    return sentMsByMachine.size() + " of " + (int) limit + " direct commands in flight";
  }
}
