package org.astershift.api;

import java.util.EnumMap;
import java.util.Map;
import org.astershift.config.LogIntervals;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts users' requests and logs the totals periodically. Thread-safe. */
final class RequestStatistics {
  private static final Logger LOG = LoggerFactory.getLogger(RequestStatistics.class);

  /** Kinds of users' requests. */
  enum Kind {
    SUBMISSION,
    STATUS_POLL,
    CANCELLATION
  }

  private final Map<Kind, Integer> requestCounts = new EnumMap<>(Kind.class);
  private int unavailableCount;
  private long periodStartNs = System.nanoTime();

  /** Counts one request with the status of its response, and logs the totals when they are due. */
  synchronized void record(Kind kind, int status) {
    requestCounts.put(kind, count(kind) + 1);
    unavailableCount += status == 503 ? 1 : 0;
    long nowNs = System.nanoTime();
    if (nowNs - periodStartNs >= LogIntervals.SUMMARY_INTERVAL_MS * 1_000_000) {
      LOG.info(
          "user requests: submissions={} polls={} cancellations={} seconds={} unavailable={}",
          count(Kind.SUBMISSION),
          count(Kind.STATUS_POLL),
          count(Kind.CANCELLATION),
          (nowNs - periodStartNs) / 1_000_000_000,
          unavailableCount);
      requestCounts.clear();
      unavailableCount = 0;
      periodStartNs = nowNs;
    }
  }

  private int count(Kind kind) {
    return requestCounts.getOrDefault(kind, 0);
  }
}
