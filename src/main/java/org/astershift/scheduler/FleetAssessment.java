package org.astershift.scheduler;

import java.util.Map;

/** How many machines of the fleet are overdue, and what this leader may conclude from that. */
final class FleetAssessment {
  /** Up to so many silent machines the fault is taken to be theirs. */
  static final int SILENT_FEW_MACHINES = 4;

  /**
   * Share of the fleet that a leader may release by its own evidence alone. The heartbeats of a
   * leader that loses its network become overdue one after the other, so it must be small.
   */
  private static final double LOCAL_EVIDENCE_SHARE = 0.05;

  /**
   * Share of the fleet that a leader has to see to release more than that where no peer can tell:
   * one that sees less is more likely partitioned than alone with a dead fleet.
   */
  private static final double LONE_OBSERVER_SHARE = 0.25;

  /** Share of the fleet above which machines overdue at once suggest a fault of this network. */
  private static final double SILENT_FLEET_SHARE = 0.25;

  private final Map<String, ZoneHealth> zones;
  private final int reportingMachines;
  private final int fleetSize;
  private final int overdueCount;
  private final boolean hasFewOverdue;
  private final boolean isLocalEvidenceConclusive;

  /** {@code scatteredReleases}: silent machines released a moment ago, counted as silent still. */
  FleetAssessment(Map<String, ZoneHealth> zones, int scatteredReleases) {
    this.zones = zones;
    int reporting = 0;
    int overdue = scatteredReleases;
    int overdueElsewhere = scatteredReleases;
    int unanswered = 0;
    for (ZoneHealth zone : zones.values()) {
      reporting += zone.machineCount();
      overdue += zone.overdueCount();
      unanswered += zone.unansweredSeenCount();
      if (!zone.isMostlySilent()) {
        overdueElsewhere += zone.overdueCount();
      }
    }
    reportingMachines = reporting;
    fleetSize = scatteredReleases + reporting;
    overdueCount = overdue;
    hasFewOverdue = overdueCount <= Math.max(SILENT_FEW_MACHINES, fleetSize * LOCAL_EVIDENCE_SHARE);
    boolean isolated =
        overdueCount > SILENT_FEW_MACHINES
            && overdueCount * 2 > fleetSize
            && unanswered > SILENT_FEW_MACHINES;
    isLocalEvidenceConclusive =
        observesEnough()
            && !isolated
            && overdueElsewhere <= Math.max(SILENT_FEW_MACHINES, fleetSize * SILENT_FLEET_SHARE);
  }

  Map<String, ZoneHealth> zones() {
    return zones;
  }

  /** The zone's counts; null for a zone without machines. */
  ZoneHealth zone(String name) {
    return zones.get(name);
  }

  /** Machines that should send heartbeats. */
  int reportingMachines() {
    return reportingMachines;
  }

  /** These and the silent machines released a moment ago. */
  int fleetSize() {
    return fleetSize;
  }

  int observedCount() {
    return fleetSize - overdueCount;
  }

  /** Whether so few machines are overdue that the fault is taken to be theirs. */
  boolean hasFewOverdue() {
    return hasFewOverdue;
  }

  /** Whether this leader sees enough of the fleet to judge the rest of it. */
  boolean observesEnough() {
    return fleetSize - overdueCount >= fleetSize * LONE_OBSERVER_SHARE;
  }

  /** Whether this leader's own evidence speaks for a fault of the machines, not of its network. */
  boolean isLocalEvidenceConclusive() {
    return isLocalEvidenceConclusive;
  }

  /** What this leader sees of its fleet, without machines released. */
  FleetVisibility visibility() {
    int overdue = 0;
    int unanswered = 0;
    int unansweredNew = 0;
    for (ZoneHealth zone : zones.values()) {
      overdue += zone.overdueCount();
      unanswered += zone.unansweredSeenCount();
      unansweredNew += zone.unansweredUnseenCount();
    }
    boolean mostOverdue = overdue > SILENT_FEW_MACHINES && overdue * 2 > reportingMachines;
    boolean isolated = mostOverdue && unanswered > SILENT_FEW_MACHINES;
    boolean inboundPartitioned = mostOverdue && (unanswered + unansweredNew) * 2 > overdue;
    return new FleetVisibility(reportingMachines, overdue, isolated, inboundPartitioned);
  }
}
