package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tracks the zones that are considered partitioned from this leader. */
final class ZonePartitions {
  private static final Logger LOG = LoggerFactory.getLogger(ZonePartitions.class);

  /** Time since a zone was last marked after which it is used again, even without a message. */
  private static final long ZONE_PARTITION_RETRY_MS = 60_000;

  private final Map<String, Long> lastMarkedMsByZone = new HashMap<>();

  /** Marks a zone, most of whose machines are silent, as partitioned. */
  void mark(String zone, long nowMs) {
    if (lastMarkedMsByZone.put(zone, nowMs) == null) {
      LOG.info("zone partitioned, most of its machines are silent: zone={}", zone);
    }
  }

  /** Returns whether the zone is currently considered partitioned. */
  boolean contains(String zone, long nowMs) {
    Long markedMs = lastMarkedMsByZone.get(zone);
    return markedMs != null && nowMs - markedMs < ZONE_PARTITION_RETRY_MS;
  }

  /** Ends the partition of a zone, on a message from one of its machines. */
  void clear(String zone) {
    if (lastMarkedMsByZone.remove(zone) != null) {
      LOG.info("zone partition ended: zone={}", zone);
    }
  }
}
