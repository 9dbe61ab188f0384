package org.astershift.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures the latency of cancellations for the log: from the first request that reaches the
 * leader, however often the request is rejected and repeated, to the durable end. Not thread-safe:
 * the caller holds a lock. Its size is bounded by the number of live jobs.
 */
public final class CancellationLatency {
  private static final double MEDIAN = 0.5;
  private static final double P99 = 0.99;
  private final Map<String, Long> requestedMs = new HashMap<>();
  private final List<Long> latenciesMs = new ArrayList<>();

  /** Records a user's request to cancel a live job; only the first one of a job counts. */
  public void onCancelRequested(String jobId, long nowMs) {
    requestedMs.putIfAbsent(jobId, nowMs);
  }

  /**
   * Records that a job's end is durable. A job that was done before it was cancelled is ignored.
   */
  public void onJobEnded(String jobId, boolean cancelled, long nowMs) {
    Long cancelRequestedMs = requestedMs.remove(jobId);
    if (cancelRequestedMs != null && cancelled) {
      latenciesMs.add(nowMs - cancelRequestedMs);
    }
  }

  /** Returns a log line on the cancellations since the last call; null if there were none. */
  public String summary(long nowMs) {
    if (latenciesMs.isEmpty() && requestedMs.isEmpty()) {
      return null;
    }
    Collections.sort(latenciesMs);
    StringBuilder text = new StringBuilder("cancellations: ").append(latenciesMs.size());
    text.append(" confirmed");
    if (!latenciesMs.isEmpty()) {
      text.append(", median ").append(quantile(MEDIAN)).append(" ms, 99% ");
      text.append(quantile(P99)).append(" ms, worst ").append(quantile(1)).append(" ms");
    }
    latenciesMs.clear();
    if (!requestedMs.isEmpty()) {
      long longestMs = nowMs - Collections.min(requestedMs.values());
      text.append("; ")
          .append(requestedMs.size())
          .append(" wait, the longest for ")
          .append(longestMs);
      text.append(" ms");
    }
    return text.toString();
  }

  /** Returns a quantile of the sorted latencies by the nearest-rank method. */
  private long quantile(double share) {
    return latenciesMs.get((int) Math.ceil(share * latenciesMs.size()) - 1);
  }
}
