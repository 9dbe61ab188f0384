package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/** Counts of a zone's machines that should send heartbeats, and of those that do not. */
final class ZoneHealth {
  /** Silent machines of one zone that peers probe before the whole zone counts as unreached. */
  static final int PEER_PROBE_ZONE_SAMPLE_MACHINES = 24;

  /** Share of a zone's machines that are silent from which the zone counts as partitioned. */
  private static final double ZONE_PARTITION_SHARE = 0.6;

  private int machineCount;
  private int overdueCount;
  private int silentCount;
  private int unansweredSeenCount;
  private int unansweredUnseenCount;
  private int unreachedCount;
  private int reachedCount;

  /** Counts all machines of the cluster. */
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

  /** Overdue machines, seen by this leader before, that left a command unanswered. */
  int unansweredSeenCount() {
    return unansweredSeenCount;
  }

  /** The same of machines that this leader has never seen. */
  int unansweredUnseenCount() {
    return unansweredUnseenCount;
  }

  /** Overdue machines that some peer has reached lately. */
  int reachedCount() {
    return reachedCount;
  }

  /** Overdue machines that peers have probed lately, with either result. */
  int probedCount() {
    return unreachedCount + reachedCount;
  }

  /** Whether most of the zone is silent. */
  boolean isMostlySilent() {
    return silentCount > FleetAssessment.SILENT_FEW_MACHINES
        && silentCount >= machineCount * ZONE_PARTITION_SHARE;
  }

  /** Whether peers probed enough of the zone's machines and reached none. */
  boolean isConfirmedByPeers() {
    return isMostlySilent()
        && reachedCount == 0
        && unreachedCount >= Math.min(silentCount, PEER_PROBE_ZONE_SAMPLE_MACHINES);
  }
}
