package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the direct commands in flight: additive increase with each answer in time, multiplicative
 * decrease once answers are late, since then this node or its network is overloaded. What exceeds
 * the limit goes with the response to its machine's next heartbeat.
 */
final class CommandConcurrencyLimit {
  /** The limit when a term begins. */
  static final int CONCURRENT_COMMANDS_INITIAL = 64;

  /** The limit never falls below this. */
  static final int CONCURRENT_COMMANDS_MIN = 16;

  /** The limit never rises above this: a whole large fleet. */
  private static final int CONCURRENT_COMMANDS_MAX = 1024;

  /** Increase of the limit with each answer in time. */
  private static final double CONCURRENT_COMMANDS_INCREASE = 1;

  /** An answer that takes longer is late; usual are a few milliseconds. */
  private static final long COMMAND_SLOW_MS = 400;

  /** A command without a result for so long is no longer in flight. */
  static final long COMMAND_LOST_MS = 15_000;

  private final Map<String, Long> sentMsByMachine = new HashMap<>();
  private double limit = CONCURRENT_COMMANDS_INITIAL;
  private long lastDecreaseMs = Long.MIN_VALUE / 2;

  /** Whether one more command may be sent. */
  boolean hasCapacity() {
    return sentMsByMachine.size() < limit;
  }

  void onSent(String machineName, long nowMs) {
    sentMsByMachine.put(machineName, nowMs);
  }

  /** The command, if one was in flight, was answered or will not be. */
  void onSettled(String machineName, boolean answered, long nowMs) {
    Long sentMs = sentMsByMachine.remove(machineName);
    if (sentMs == null || !answered) {
      return; // a missing answer is the fault of the machine, not an overload here
    }
    if (nowMs - sentMs <= COMMAND_SLOW_MS) {
      limit = Math.min(CONCURRENT_COMMANDS_MAX, limit + CONCURRENT_COMMANDS_INCREASE);
    } else if (sentMs > lastDecreaseMs) {
      // Once for all that were in flight together.
      lastDecreaseMs = nowMs;
      limit = Math.max(CONCURRENT_COMMANDS_MIN, limit / 2);
    }
  }

  /** Removes commands that never got a result. */
  void removeLost(long nowMs) {
    sentMsByMachine.values().removeIf(sentMs -> nowMs - sentMs > COMMAND_LOST_MS);
  }

  @Override
  public String toString() {
    return sentMsByMachine.size() + " of " + (int) limit + " direct commands in flight";
  }
}
