package org.astershift.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How long users wait for their cancellations, for the log: from a cancellation's first arrival at
 * the leader, however often it is refused and repeated, to its confirmation. Its caller holds a
 * lock; only live jobs are asked for here, so what waits is bounded by these.
 */
public final class CancellationLatency {
  private static final double MEDIAN = 0.5;
  private static final double P99 = 0.99;
  private final Map<String, Long> requestedMs = new HashMap<>();
  private final List<Long> latenciesMs = new ArrayList<>();

  /** A user asks to cancel this job. */
  public void onCancelRequested(String jobId, long nowMs) {
    requestedMs.putIfAbsent(jobId, nowMs);
  }

  /** The job's end is on record; one that was done first is no confirmation. */
  public void onJobEnded(String jobId, boolean cancelled, long nowMs) {
    Long cancelRequestedMs = requestedMs.remove(jobId);
    if (cancelRequestedMs != null && cancelled) {
      latenciesMs.add(nowMs - cancelRequestedMs);
    }
  }

  /** A line for the log on what was confirmed since the last one; null if there is nothing. */
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

  /** By the nearest rank: the least time within which so large a share was confirmed. */
  private long quantile(double share) {
    return latenciesMs.get((int) Math.ceil(share * latenciesMs.size()) - 1);
  }
}
