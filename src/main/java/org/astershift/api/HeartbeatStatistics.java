package org.astershift.api;

import java.util.function.LongSupplier;
import org.astershift.config.LogIntervals;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts heartbeats and their waits, and logs them periodically. Safe for several threads. */
final class HeartbeatStatistics {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatStatistics.class);

  private final LongSupplier oldestWaitMs;
  private int handled;
  private int rejected;
  private long longestWaitMs;
  private long periodStartNs = System.nanoTime();

  /** {@code oldestWaitMs}: for how long the oldest of the waiting heartbeats has waited. */
  HeartbeatStatistics(LongSupplier oldestWaitMs) {
    this.oldestWaitMs = oldestWaitMs;
  }

  /** Counts a heartbeat that waited so long to be handled. */
  synchronized void onHandled(long waitMs) {
    handled++;
    longestWaitMs = Math.max(longestWaitMs, waitMs);
    logIfDue();
  }

  /** Counts a heartbeat that was rejected as it had waited for too long. */
  synchronized void onRejected() {
    rejected++;
    logIfDue();
  }

  private void logIfDue() {
    long nowNs = System.nanoTime();
    if (nowNs - periodStartNs < LogIntervals.SUMMARY_INTERVAL_MS * 1_000_000) {
      return;
    }
    LOG.info(
        "heartbeats: handled={} rejected={} longest_wait_ms={} oldest_waiting_ms={} seconds={}",
        handled,
        rejected,
        longestWaitMs,
        oldestWaitMs.getAsLong(),
        (nowNs - periodStartNs) / 1_000_000_000);
    handled = 0;
    rejected = 0;
    longestWaitMs = 0;
    periodStartNs = nowNs;
  }
}
