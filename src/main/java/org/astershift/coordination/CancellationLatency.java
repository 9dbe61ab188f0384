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
  private static final double NEARLY_ALL = 0.99;
  private final Map<String, Long> waiting = new HashMap<>();
  private final List<Long> confirmed = new ArrayList<>();

  /** A user asks to cancel this job. */
  public void asked(String job, long nowMs) {
    waiting.putIfAbsent(job, nowMs);
  }

  /** The job's end is on record; one that was done first is no confirmation. */
  public void ended(String job, boolean cancelled, long nowMs) {
    Long since = waiting.remove(job);
    if (since != null && cancelled) {
      confirmed.add(nowMs - since);
    }
  }

  /** A line for the log on what was confirmed since the last one; null if there is nothing. */
  public String line(long nowMs) {
    if (confirmed.isEmpty() && waiting.isEmpty()) {
      return null;
    }
    Collections.sort(confirmed);
    StringBuilder sb = new StringBuilder("cancellations: ").append(confirmed.size());
    sb.append(" confirmed");
    if (!confirmed.isEmpty()) {
      sb.append(", median ").append(quantile(MEDIAN)).append(" ms, 99% ");
      sb.append(quantile(NEARLY_ALL)).append(" ms, worst ").append(quantile(1)).append(" ms");
    }
    confirmed.clear();
    if (!waiting.isEmpty()) {
      long longestMs = nowMs - Collections.min(waiting.values());
      sb.append("; ").append(waiting.size()).append(" wait, the longest for ").append(longestMs);
      sb.append(" ms");
    }
    return sb.toString();
  }

  /** By the nearest rank: the least time within which so large a share was confirmed. */
  private long quantile(double share) {
    return confirmed.get((int) Math.ceil(share * confirmed.size()) - 1);
  }
}
