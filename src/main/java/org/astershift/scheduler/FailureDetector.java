package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import org.astershift.config.LogIntervals;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which silent machines may be released. A leader that lost its network cannot distinguish
 * a healthy fleet from a dead one, so a release requires that a peer which reaches other machines
 * failed to reach the silent one. If no such peer answers, local evidence is enough to release a
 * few machines. To release more, the evidence must fit a known pattern (a whole zone is silent, or
 * the leases have expired), and the leader must still receive heartbeats from a part of the fleet.
 * Regardless of the evidence, only a limited share of the fleet may be released within a time
 * window.
 */
final class FailureDetector {
  private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

  /** Share of the fleet that may be released as silent within the release window. */
  private static final double RELEASED_SILENT_SHARE = 0.6;

  /** Release window: longer than network partitions usually last. */
  private static final long RELEASED_SILENT_WINDOW_MS = 120_000;

  /** Time after their release during which machines still count as silent. */
  private static final long RELEASED_SILENT_COUNTED_MS = 10_000;

  /**
   * Time beyond the release timeout for which the machines of a zone that became silent as a whole
   * are retained while no peer is conclusive. A crashed peer has restarted and answered a probe
   * within this time.
   */
  private static final long PEER_RECOVERY_WAIT_MS = 12_000;

  private final ClusterState cluster;
  private final SilenceEvidence evidence;
  private final PeerProber peerProber;

  /** Release times of silent machines outside partitioned zones, oldest first. */
  private final ArrayDeque<Long> scatteredReleasesMs = new ArrayDeque<>();

  /** Release times of all silent machines, oldest first. */
  private final ArrayDeque<Long> releasesMs = new ArrayDeque<>();

  private FleetAssessment fleet = new FleetAssessment(Map.of(), 0);
  private long assessedMs = Long.MIN_VALUE;

  /** Number of machines that may be released as silent in {@link #RELEASED_SILENT_WINDOW_MS}. */
  private double releaseBudget;

  private long lastLoggedMs = Long.MIN_VALUE / 2;
  private int retainedReachedByPeers;
  private int retainedUndecided;
  private int retainedOverBudget;

  FailureDetector(ClusterState cluster) {
    this.cluster = cluster;
    this.evidence = new SilenceEvidence(cluster);
    this.peerProber = new PeerProber(cluster, evidence);
  }

  /** Returns how much of its fleet this leader observed at the last assessment. */
  FleetVisibility fleetVisibility() {
    return fleet.visibility();
  }

  /** Returns whether the machine has sent nothing for too long, even though it was probed. */
  boolean isSilent(Machine machine, long nowMs) {
    return evidence.isSilent(machine, nowMs);
  }

  /** Starts a probe by the peers; returns the machines to probe, or null if no probe is due. */
  Decision.ProbeThroughPeers startPeerProbe(long nowMs) {
    return peerProber.startProbe(fleet, nowMs);
  }

  /** Records the results of the peers that answered a probe. */
  void onPeerProbeResults(
      Decision.ProbeThroughPeers probe, List<Decision.PeerProbeResult> results) {
    peerProber.onResults(probe, results);
  }

  /**
   * Counts the machines of each zone and marks partitioned zones. Must be called before {@link
   * #tryRelease} in the same pass.
   */
  void assessFleet(long nowMs) {
    if (nowMs == assessedMs) {
      return; // the sweep and the plan of one pass share an assessment
    }
    assessedMs = nowMs;
    removeOlderThan(scatteredReleasesMs, nowMs, RELEASED_SILENT_COUNTED_MS);
    removeOlderThan(releasesMs, nowMs, RELEASED_SILENT_WINDOW_MS);
    fleet =
        new FleetAssessment(
            ZoneHealth.countByZone(cluster, evidence, nowMs), scatteredReleasesMs.size());
    // Machines released within the window still count as part of the fleet.
    releaseBudget =
        Math.max(
            FleetAssessment.SILENT_FEW_MACHINES,
            (fleet.machineCount() + releasesMs.size()) * RELEASED_SILENT_SHARE);
    markPartitionedZones(nowMs);
    retainedReachedByPeers = 0;
    retainedUndecided = 0;
    retainedOverBudget = 0;
  }

  private static void removeOlderThan(ArrayDeque<Long> times, long nowMs, long keepMs) {
    while (!times.isEmpty() && nowMs - times.peekFirst() > keepMs) {
      times.removeFirst();
    }
  }

  private void markPartitionedZones(long nowMs) {
    for (Map.Entry<String, ZoneHealth> entry : fleet.zones().entrySet()) {
      ZoneHealth zone = entry.getValue();
      if (zone.isMostlySilent()
          && (zone.isConfirmedByPeers() || fleet.isLocalEvidenceConclusive())) {
        cluster.zonePartitions.mark(entry.getKey(), nowMs);
      }
    }
  }

  /**
   * Returns whether this silent machine may be released. If so, the release counts against the
   * budget.
   */
  boolean tryRelease(Machine machine, long nowMs) {
    boolean blocksReconciliation = cluster.blocksReconciliation(machine, nowMs);
    if (evidence.isReachedByPeers(machine, nowMs) && !blocksReconciliation) {
      retainedReachedByPeers++;
      return false;
    }
    boolean conclusive =
        fleet.hasFewOverdueMachines()
            ? isConclusiveForFew(machine, nowMs)
            : fleet.hasSufficientVisibility() && isConclusiveForMany(machine, nowMs);
    if (!conclusive && !blocksReconciliation) {
      retainedUndecided++;
      return false;
    }
    if (releasesMs.size() >= releaseBudget) {
      retainedOverBudget++;
      return false;
    }
    releasesMs.addLast(nowMs);
    if (!cluster.isZonePartitioned(machine.zone, nowMs)) {
      scatteredReleasesMs.addLast(nowMs);
    }
    return true;
  }

  /**
   * Returns whether the evidence is conclusive for a machine that is one of only a few overdue
   * ones. The machine's silence is sufficient unless peers may still answer a probe of the machine.
   */
  private boolean isConclusiveForFew(Machine machine, long nowMs) {
    return machine.address == null
        || evidence.isUnreachedByPeers(machine, nowMs)
        || nowMs - peerProber.lastUnansweredMs() <= PeerProbeResults.PEER_PROBE_REACHED_VALID_MS
        || machine.peerProbeResults.isInconclusive(machine.lastContactMs(), nowMs)
        || (nowMs - peerProber.lastConclusiveMs() > PeerProbeResults.PEER_PROBE_REACHED_VALID_MS
            && cluster.heartbeatTiming.silenceMs(machine, nowMs)
                > cluster.heartbeatTiming.releaseTimeoutMs() + PeerProbeResults.PEER_PROBE_WAIT_MS);
  }

  /**
   * Returns whether the evidence is conclusive for a machine that is one of many overdue ones:
   * peers failed to reach the machine or its zone, or no peer is conclusive and the local evidence
   * is sufficient.
   */
  private boolean isConclusiveForMany(Machine machine, long nowMs) {
    ZoneHealth zone = fleet.zone(machine.zone);
    if (evidence.isUnreachedByPeers(machine, nowMs) || zone.isConfirmedByPeers()) {
      return true;
    }
    // If peers reach other overdue machines of the zone, this one may be reachable as well.
    boolean peersInconclusive =
        nowMs - peerProber.lastInconclusiveMs() <= PeerProbeResults.PEER_PROBE_REACHED_VALID_MS
            && zone.reachedCount() == 0;
    return peersInconclusive
        && ((fleet.isLocalEvidenceConclusive() && !mayBeReachable(machine, zone, nowMs))
            || isLeaseExpired(machine, nowMs));
  }

  /**
   * Returns whether the machine may still be reachable from elsewhere. A zone that is silent as a
   * whole is more likely partitioned from this leader than dead, and a peer that would be
   * conclusive may be restarting.
   */
  private boolean mayBeReachable(Machine machine, ZoneHealth zone, long nowMs) {
    return zone.isMostlySilent()
        && cluster.heartbeatTiming.silenceMs(machine, nowMs)
            <= cluster.heartbeatTiming.releaseTimeoutMs() + PEER_RECOVERY_WAIT_MS;
  }

  /** Returns whether the machine's lease has expired with a margin, so a release loses no work. */
  private boolean isLeaseExpired(Machine machine, long nowMs) {
    return cluster.heartbeatTiming.silenceMs(machine, nowMs) > 1.5 * cluster.limits.leaseS() * 1000;
  }

  /** Logs periodically how many silent machines are retained, and why. */
  void logRetainedMachines(long nowMs) {
    int retained = retainedReachedByPeers + retainedUndecided + retainedOverBudget;
    if (retained > 0 && nowMs - lastLoggedMs > LogIntervals.SUMMARY_INTERVAL_MS) {
      lastLoggedMs = nowMs;
      LOG.info(
          "silent machines retained: count={} reached_by_peers={} undecided={} over_budget={}"
              + " budget_window_s={} observed={} fleet={}",
          retained,
          retainedReachedByPeers,
          retainedUndecided,
          retainedOverBudget,
          RELEASED_SILENT_WINDOW_MS / 1000,
          fleet.observedCount(),
          fleet.fleetSize());
    }
  }
}
