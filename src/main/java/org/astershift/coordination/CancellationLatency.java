package org.astershift.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Latency of cancellations, for the log: from the first request at the leader, however often it is
 * rejected and repeated, to the durable end. Needs the caller's lock. Bounded by the live jobs.
 */
public final class CancellationLatency {
  private static final double MEDIAN = 0.5;
  private static final double P99 = 0.99;
  private final Map<String, Long> requestedMs = new HashMap<>();
  private final List<Long> latenciesMs = new ArrayList<>();

  /** A user requests the cancellation of this live job. */
  public void onCancelRequested(String jobId, long nowMs) {
    requestedMs.putIfAbsent(jobId, nowMs);
  }

  /** The job's end is durable; one that was done first does not count. */
  public void onJobEnded(String jobId, boolean cancelled, long nowMs) {
    Long cancelRequestedMs = requestedMs.remove(jobId);
    if (cancelRequestedMs != null && cancelled) {
      latenciesMs.add(nowMs - cancelRequestedMs);
    }
  }

  /** A log line on the cancellations since the last one; null if there were none. */
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

  /** By nearest rank, of the sorted latencies. */
  private long quantile(double share) {
    return latenciesMs.get((int) Math.ceil(share * latenciesMs.size()) - 1);
  }
}
