package org.astershift.scheduler;

import java.util.Locale;

/**
 * Counts the starts by what carried them, and measures how long they waited for that after both the
 * placement of the task and the opening of its job.
 */
final class StartStatistics {
  /** The response in which a start was first sent. */
  enum Carrier {
    /** The response to a heartbeat, at once. */
    HEARTBEAT,
    /** The response to a heartbeat that had waited for commands. */
    DEFERRED_RESPONSE,
    /** The response to a heartbeat that was requested for a start. */
    REQUESTED_HEARTBEAT
  }

  private final int[] starts = new int[Carrier.values().length];
  private final long[] waitedMs = new long[Carrier.values().length];
  private long longestMs;

  /** Records that the start of an attempt is sent for the first time. */
  void onFirstSent(Carrier carrier, TaskAttempt attempt, long nowMs) {
    long dueMs = Math.max(attempt.placedMs, attempt.job.openedMs);
    starts[carrier.ordinal()]++;
    waitedMs[carrier.ordinal()] += nowMs - dueMs;
    longestMs = Math.max(longestMs, nowMs - dueMs);
  }

  /** Returns this term's counts and mean waits as name=value pairs. */
  String summary() {
    StringBuilder text = new StringBuilder();
    for (Carrier carrier : Carrier.values()) {
      int count = starts[carrier.ordinal()];
      String name = carrier.name().toLowerCase(Locale.ROOT);
      text.append("starts_in_").append(name).append('=').append(count);
      text.append(" mean_wait_ms=").append(waitedMs[carrier.ordinal()] / Math.max(1, count));
      text.append(' ');
    }
    return text.append("longest_start_wait_ms=").append(longestMs).toString();
  }
}
