package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/** From which pools machines can be had now, as far as the last answers of the cloud show. */
final class PoolAvailability {
  /** Milliseconds for which a pool that had no capacity is not asked again. */
  private static final long NO_CAPACITY_BACKOFF_MS = 15_000;

  private final ClusterState cluster;
  private final Map<CapacityPool, Long> noCapacityUntilMs = new HashMap<>();

  PoolAvailability(ClusterState cluster) {
    this.cluster = cluster;
  }

  void onNoCapacity(CapacityPool pool, long nowMs) {
    noCapacityUntilMs.put(pool, nowMs + NO_CAPACITY_BACKOFF_MS);
  }

  /** Not refused lately, and in a zone that is reachable: in any other no machine comes up. */
  boolean isAvailable(CapacityPool pool, long nowMs) {
    return !wasRecentlyRefused(pool, nowMs) && !cluster.isZonePartitioned(pool.zone(), nowMs);
  }

  /** Not refused lately, and in a partitioned zone. */
  boolean isAvailableInPartition(CapacityPool pool, long nowMs) {
    return !wasRecentlyRefused(pool, nowMs) && cluster.isZonePartitioned(pool.zone(), nowMs);
  }

  private boolean wasRecentlyRefused(CapacityPool pool, long nowMs) {
    return noCapacityUntilMs.getOrDefault(pool, Long.MIN_VALUE) > nowMs;
  }
}
