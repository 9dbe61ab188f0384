package org.astershift.api;

import java.util.function.LongSupplier;
import org.astershift.config.LogIntervals;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts heartbeats, measures how long they wait, and logs both periodically. Thread-safe. */
final class HeartbeatStatistics {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatStatistics.class);

  private final LongSupplier oldestWaitMs;
  private int handledCount;
  private int rejectedCount;
  private long longestWaitMs;
  private long periodStartNs = System.nanoTime();

  /**
   * Creates empty statistics; {@code oldestWaitMs} supplies the time that the oldest waiting
   * heartbeat has waited, in milliseconds.
   */
  HeartbeatStatistics(LongSupplier oldestWaitMs) {
    this.oldestWaitMs = oldestWaitMs;
  }

  /** Counts a heartbeat that waited {@code waitMs} to be handled. */
  synchronized void onHandled(long waitMs) {
    handledCount++;
    longestWaitMs = Math.max(longestWaitMs, waitMs);
    logIfDue();
  }

  /** Counts a heartbeat that was rejected because it had waited too long. */
  synchronized void onRejected() {
    rejectedCount++;
    logIfDue();
  }

  private void logIfDue() {
    long nowNs = System.nanoTime();
    if (nowNs - periodStartNs < LogIntervals.SUMMARY_INTERVAL_MS * 1_000_000) {
      return;
    }
    LOG.info(
        "heartbeats: handled={} rejected={} longest_wait_ms={} oldest_waiting_ms={} seconds={}",
        handledCount,
        rejectedCount,
        longestWaitMs,
        oldestWaitMs.getAsLong(),
        (nowNs - periodStartNs) / 1_000_000_000);
    handledCount = 0;
    rejectedCount = 0;
    longestWaitMs = 0;
    periodStartNs = nowNs;
  }
}
