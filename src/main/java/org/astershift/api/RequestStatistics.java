package org.astershift.api;

import java.util.Arrays;
import org.astershift.config.LogIntervals;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts what users ask of this node, so that the log tells a storm or refusals from silence. */
final class RequestStatistics {
  private static final Logger LOG = LoggerFactory.getLogger(RequestStatistics.class);

  /** Kinds of requests. */
  enum Kind {
    SUBMISSION,
    STATUS_POLL,
    CANCELLATION
  }

  private final int[] requests = new int[Kind.values().length];
  private int unavailable;
  private long periodStartNs = System.nanoTime();

  /** Notes one request and its answer, and from time to time writes down the sums. */
  synchronized void record(Kind kind, int status) {
    requests[kind.ordinal()]++;
    unavailable += status == 503 ? 1 : 0;
    long nowNs = System.nanoTime();
    if (nowNs - periodStartNs >= LogIntervals.SUMMARY_INTERVAL_MS * 1_000_000) {
      LOG.info(
          "users sent {} submissions, {} questions and {} cancellations in {} s; {} got 503",
          requests[0],
          requests[1],
          requests[2],
          (nowNs - periodStartNs) / 1_000_000_000,
          unavailable);
      Arrays.fill(requests, 0);
      unavailable = 0;
      periodStartNs = nowNs;
    }
  }
}
