package org.astershift.scheduler;

import java.util.Map;

/** Counts the overdue machines of the fleet and decides what this leader may conclude from it. */
final class FleetAssessment {
  /**
   * Number of silent machines up to which the fault is attributed to the machines and not to this
   * leader's network.
   */
  static final int SILENT_FEW_MACHINES = 4;

  /**
   * Share of the fleet that a leader may release on its own evidence alone. The share must be
   * small, because heartbeats become overdue one after the other when a leader loses its network.
   */
  private static final double LOCAL_EVIDENCE_SHARE = 0.05;

  /**
   * Share of the fleet that a leader must observe to release more than {@link
   * #LOCAL_EVIDENCE_SHARE}, whatever the peers report. A leader that observes less is more likely
   * to be partitioned than to have a dead fleet.
   */
  private static final double LONE_OBSERVER_SHARE = 0.25;

  /**
   * Share of the fleet above which machines that are overdue at the same time suggest a fault of
   * this leader's network.
   */
  private static final double SILENT_FLEET_SHARE = 0.25;

  private final Map<String, ZoneHealth> zones;
  private final int machineCount;
  private final int fleetSize;
  private final int overdueCount;
  private final boolean hasFewOverdueMachines;
  private final boolean isLocalEvidenceConclusive;

  /**
   * Creates the assessment from the counts of each zone.
   *
   * @param scatteredReleases number of silent machines outside partitioned zones that were released
   *     recently and still count as silent
   */
  FleetAssessment(Map<String, ZoneHealth> zones, int scatteredReleases) {
    this.zones = zones;
    int machines = 0;
    int overdue = scatteredReleases;
    int overdueElsewhere = scatteredReleases;
    int unansweredSeen = 0;
    for (ZoneHealth zone : zones.values()) {
      machines += zone.machineCount();
      overdue += zone.overdueCount();
      unansweredSeen += zone.unansweredSeenCount();
      if (!zone.isMostlySilent()) {
        overdueElsewhere += zone.overdueCount();
      }
    }
    machineCount = machines;
    fleetSize = scatteredReleases + machines;
    overdueCount = overdue;
    hasFewOverdueMachines =
        overdueCount <= Math.max(SILENT_FEW_MACHINES, fleetSize * LOCAL_EVIDENCE_SHARE);
    boolean seemsIsolated =
        overdueCount > SILENT_FEW_MACHINES
            && overdueCount * 2 > fleetSize
            && unansweredSeen > SILENT_FEW_MACHINES;
    isLocalEvidenceConclusive =
        hasSufficientVisibility()
            && !seemsIsolated
            && overdueElsewhere <= Math.max(SILENT_FEW_MACHINES, fleetSize * SILENT_FLEET_SHARE);
  }

  Map<String, ZoneHealth> zones() {
    return zones;
  }

  /** Returns the counts of the zone, or null for a zone without machines. */
  ZoneHealth zone(String name) {
    return zones.get(name);
  }

  /** Returns the number of machines that should send heartbeats. */
  int machineCount() {
    return machineCount;
  }

  /**
   * Returns {@link #machineCount()} plus the recently released machines that still count as silent.
   */
  int fleetSize() {
    return fleetSize;
  }

  int observedCount() {
    return fleetSize - overdueCount;
  }

  /** Returns whether so few machines are overdue that the fault is attributed to them. */
  boolean hasFewOverdueMachines() {
    return hasFewOverdueMachines;
  }

  /** Returns whether this leader observes enough of the fleet to judge the rest of it. */
  boolean hasSufficientVisibility() {
    return fleetSize - overdueCount >= fleetSize * LONE_OBSERVER_SHARE;
  }

  /** Returns whether local evidence points to a fault of the machines, not of the network. */
  boolean isLocalEvidenceConclusive() {
    return isLocalEvidenceConclusive;
  }

  /** Returns how much of its fleet this leader observes, not counting released machines. */
  FleetVisibility visibility() {
    int overdue = 0;
    int unansweredSeen = 0;
    int unansweredUnseen = 0;
    for (ZoneHealth zone : zones.values()) {
      overdue += zone.overdueCount();
      unansweredSeen += zone.unansweredSeenCount();
      unansweredUnseen += zone.unansweredUnseenCount();
    }
    boolean mostOverdue = overdue > SILENT_FEW_MACHINES && overdue * 2 > machineCount;
    boolean isolated = mostOverdue && unansweredSeen > SILENT_FEW_MACHINES;
    boolean inboundPartitioned = mostOverdue && (unansweredSeen + unansweredUnseen) * 2 > overdue;
    return new FleetVisibility(machineCount, overdue, isolated, inboundPartitioned);
  }
}
