package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/** Counts a zone's machines that should send heartbeats, and those that do not. */
final class ZoneHealth {
  /** Number of silent machines of a zone that peers probe before the zone counts as unreached. */
  static final int PEER_PROBE_ZONE_SAMPLE_MACHINES = 24;

  /** Minimum share of silent machines in a zone for the zone to count as partitioned. */
  private static final double ZONE_PARTITION_SHARE = 0.6;

  private int machineCount;
  private int overdueCount;
  private int silentCount;
  private int unansweredSeenCount;
  private int unansweredUnseenCount;
  private int unreachedCount;
  private int reachedCount;

  /** Counts all machines of the cluster by zone name. */
  static Map<String, ZoneHealth> countByZone(
      ClusterState cluster, SilenceEvidence evidence, long nowMs) {
    Map<String, ZoneHealth> zonesByName = new HashMap<>();
    for (Machine machine : cluster.allMachines()) {
      zonesByName
          .computeIfAbsent(machine.zone, zoneName -> new ZoneHealth())
          .add(
              machine, cluster.heartbeatTiming.isHeartbeatOverdue(machine, nowMs), evidence, nowMs);
    }
    return zonesByName;
  }

  private void add(Machine machine, boolean overdue, SilenceEvidence evidence, long nowMs) {
    if (overdue && machine.directCommands.unansweredCount() > 0) {
      unansweredSeenCount += machine.epoch > 0 ? 1 : 0;
      unansweredUnseenCount += machine.epoch > 0 ? 0 : 1;
    }
    if (machine.state == Machine.State.BOOTING || machine.state == Machine.State.RELEASING) {
      return;
    }
    machineCount++;
    overdueCount += overdue ? 1 : 0;
    unreachedCount += overdue && evidence.isUnreachedByPeers(machine, nowMs) ? 1 : 0;
    reachedCount += overdue && evidence.isReachedByPeers(machine, nowMs) ? 1 : 0;
    silentCount += evidence.isSilent(machine, nowMs) ? 1 : 0;
  }

  int machineCount() {
    return machineCount;
  }

  int overdueCount() {
    return overdueCount;
  }

  /**
   * Returns the number of overdue machines that left a direct command unanswered and that this
   * leader has seen before.
   */
  int unansweredSeenCount() {
    return unansweredSeenCount;
  }

  /**
   * Returns the number of overdue machines that left a direct command unanswered and that this
   * leader has never seen.
   */
  int unansweredUnseenCount() {
    return unansweredUnseenCount;
  }

  /** Returns the number of overdue machines that a peer recently reached. */
  int reachedCount() {
    return reachedCount;
  }

  /** Returns the number of overdue machines that peers recently probed, with either result. */
  int probedCount() {
    return unreachedCount + reachedCount;
  }

  /** Returns whether most of the zone's machines are silent. */
  boolean isMostlySilent() {
    return silentCount > FleetAssessment.SILENT_FEW_MACHINES
        && silentCount >= machineCount * ZONE_PARTITION_SHARE;
  }

  /** Returns whether peers probed enough of the mostly silent zone's machines and reached none. */
  boolean isConfirmedByPeers() {
    return isMostlySilent()
        && reachedCount == 0
        && unreachedCount >= Math.min(silentCount, PEER_PROBE_ZONE_SAMPLE_MACHINES);
  }
}
