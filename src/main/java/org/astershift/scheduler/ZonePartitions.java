package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Zones that are taken to be partitioned from this leader. */
final class ZonePartitions {
  private static final Logger LOG = LoggerFactory.getLogger(ZonePartitions.class);

  /** Time after which a zone without any message is used again. */
  private static final long ZONE_PARTITION_RETRY_MS = 60_000;

  private final Map<String, Long> lastMarkedMsByZone = new HashMap<>();

  /** Most machines of the zone are silent. */
  void mark(String zone, long nowMs) {
    if (lastMarkedMsByZone.put(zone, nowMs) == null) {
      LOG.info("zone partitioned, its machines are silent: zone={}", zone);
    }
  }

  /** Whether nothing can be expected from the zone now. */
  boolean contains(String zone, long nowMs) {
    Long markedMs = lastMarkedMsByZone.get(zone);
    return markedMs != null && nowMs - markedMs < ZONE_PARTITION_RETRY_MS;
  }

  /** A message of a machine in the zone has arrived. */
  void clear(String zone) {
    if (lastMarkedMsByZone.remove(zone) != null) {
      LOG.info("zone partition over: zone={}", zone);
    }
  }
}
