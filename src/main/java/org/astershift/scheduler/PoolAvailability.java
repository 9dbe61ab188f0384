package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks from which pools machines can be obtained now, as far as the last responses of the cloud
 * show.
 */
final class PoolAvailability {
  /**
   * Backoff before machines of a pool that had no capacity are requested again, in milliseconds.
   */
  private static final long NO_CAPACITY_BACKOFF_MS = 15_000;

  private final ClusterState cluster;
  private final Map<CapacityPool, Long> noCapacityUntilMs = new HashMap<>();

  PoolAvailability(ClusterState cluster) {
    this.cluster = cluster;
  }

  void onNoCapacity(CapacityPool pool, long nowMs) {
    noCapacityUntilMs.put(pool, nowMs + NO_CAPACITY_BACKOFF_MS);
  }

  /**
   * Returns whether the pool was not refused recently and its zone is not partitioned; in a
   * partitioned zone no machine comes up.
   */
  boolean isAvailable(CapacityPool pool, long nowMs) {
    return !wasRecentlyRefused(pool, nowMs) && !cluster.isZonePartitioned(pool.zone(), nowMs);
  }

  /** Returns whether the pool was not refused recently and its zone is partitioned. */
  boolean isAvailableInPartitionedZone(CapacityPool pool, long nowMs) {
    return !wasRecentlyRefused(pool, nowMs) && cluster.isZonePartitioned(pool.zone(), nowMs);
  }

  private boolean wasRecentlyRefused(CapacityPool pool, long nowMs) {
    return noCapacityUntilMs.getOrDefault(pool, Long.MIN_VALUE) > nowMs;
  }
}
