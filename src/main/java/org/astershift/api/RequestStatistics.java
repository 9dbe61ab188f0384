package org.astershift.api;

import java.util.Arrays;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts what users ask of this node, so that the log tells a storm or refusals from silence. */
final class RequestStatistics {
  private static final Logger LOG = LoggerFactory.getLogger(RequestStatistics.class);

  /** Kinds of requests. */
  enum Kind {
    SUBMISSION,
    QUESTION,
    CANCELLATION
  }

  private final int[] asked = new int[Kind.values().length];
  private int refused;
  private long sinceNs = System.nanoTime();

  /** Notes one request and its answer, and from time to time writes down the sums. */
  synchronized void note(Kind kind, int status) {
    asked[kind.ordinal()]++;
    refused += status == 503 ? 1 : 0;
    long now = System.nanoTime();
    if (now - sinceNs >= Constants.SUMMARY_MS * 1_000_000) {
      LOG.info(
          "users sent {} submissions, {} questions and {} cancellations in {} s; {} got 503",
          asked[0],
          asked[1],
          asked[2],
          (now - sinceNs) / 1_000_000_000,
          refused);
      Arrays.fill(asked, 0);
      refused = 0;
      sinceNs = now;
    }
  }
}
