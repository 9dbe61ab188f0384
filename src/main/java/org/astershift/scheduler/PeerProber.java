package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Selects the machines that the other controllers probe, and processes their results. Each probe
 * includes controls: machines whose heartbeats currently reach this leader. A failure reported by a
 * peer that does not reach at least half of the controls is inconclusive.
 */
final class PeerProber {
  private static final Logger LOG = LoggerFactory.getLogger(PeerProber.class);

  /**
   * Maximum number of suspects in one probe: as many as a busy peer can probe within its deadline.
   */
  private static final int PEER_PROBE_BATCH_MACHINES = 56;

  /** Maximum number of controls in one probe. */
  private static final int PEER_PROBE_CONTROL_MACHINES = 8;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final ClusterState cluster;
  private final SilenceEvidence evidence;
  private boolean probeInFlight;
  private long lastInconclusiveMs = NEVER_MS;
  private long lastUnansweredMs = NEVER_MS;
  private long lastConclusiveMs = NEVER_MS;

  PeerProber(ClusterState cluster, SilenceEvidence evidence) {
    this.cluster = cluster;
    this.evidence = evidence;
  }

  /**
   * Returns the time of the last probe if no peer was conclusive, else a time in the distant past.
   */
  long lastInconclusiveMs() {
    return lastInconclusiveMs;
  }

  /** Returns the time of the last probe if no peer answered it, else a time in the distant past. */
  long lastUnansweredMs() {
    return lastUnansweredMs;
  }

  /**
   * Returns the time of the last probe in which a peer was conclusive, or a time in the distant
   * past if there was none.
   */
  long lastConclusiveMs() {
    return lastConclusiveMs;
  }

  /**
   * Starts a probe by the peers; returns the machines to probe, or null if there are none or a
   * probe is in flight. Machines are selected as soon as their heartbeats are overdue, so that the
   * results are available by the time the machines may be released. A sample of each zone comes
   * first; it is sufficient if the whole zone is partitioned.
   */
  Decision.ProbeThroughPeers startProbe(FleetAssessment fleet, long nowMs) {
    // A leader that sees hardly any of its fleet releases nothing, regardless of its peers'
    // results.
    if (probeInFlight || !(fleet.hasFewOverdueMachines() || fleet.hasSufficientVisibility())) {
      return null;
    }
    List<Machine> suspects = selectSuspects(fleet, nowMs);
    if (suspects.isEmpty()) {
      return null;
    }
    probeInFlight = true;
    return new Decision.ProbeThroughPeers(
        addressesOf(suspects, PEER_PROBE_BATCH_MACHINES),
        addressesOf(selectControls(nowMs), PEER_PROBE_CONTROL_MACHINES),
        nowMs);
  }

  private List<Machine> selectSuspects(FleetAssessment fleet, long nowMs) {
    Map<String, Integer> sampled = new HashMap<>();
    List<Machine> zoneSample = new ArrayList<>();
    List<Machine> remainingSuspects = new ArrayList<>();
    for (Machine machine : cluster.allMachines()) {
      if (machine.address == null
          || !isSuspect(machine, fleet.hasFewOverdueMachines(), nowMs)
          || hasCurrentResults(machine, nowMs)) {
        continue;
      }
      ZoneHealth zone = fleet.zone(machine.zone);
      int probedBefore = zone == null ? 0 : zone.probedCount();
      if (probedBefore + sampled.merge(machine.zone, 1, Integer::sum)
          <= ZoneHealth.PEER_PROBE_ZONE_SAMPLE_MACHINES) {
        zoneSample.add(machine);
      } else if (zone == null || !zone.isConfirmedByPeers()) {
        remainingSuspects.add(machine);
      }
    }
    zoneSample.addAll(remainingSuspects);
    return zoneSample;
  }

  /** Returns whether the machine may have to be released soon. */
  private boolean isSuspect(Machine machine, boolean fewOverdue, long nowMs) {
    if (machine.state == Machine.State.BOOTING || machine.state == Machine.State.RELEASING) {
      return false;
    }
    if (cluster.heartbeatTiming.isHeartbeatOverdue(machine, nowMs)) {
      return fewOverdue || machine.directCommands.unansweredCount() > 0;
    }
    // One of the last unreconciled machines: peers probe it alongside this leader's second attempt.
    return machine.state == Machine.State.UNRECONCILED
        && machine.directCommands.unansweredCount() > 0
        && cluster.hasFewUnreconciledMachines();
  }

  /**
   * Returns whether probing the machine again now would add nothing to the results of peers. A
   * machine is probed again before its results expire, and once more when a restart can no longer
   * explain a failed probe.
   */
  private boolean hasCurrentResults(Machine machine, long nowMs) {
    boolean probedTooEarly = machine.peerProbeResults.isUnreached(machine.lastContactMs(), nowMs);
    return evidence.isUnreachedByPeers(machine, nowMs)
        || (probedTooEarly && nowMs < cluster.heartbeatTiming.restartExcludedFromMs(machine))
        || machine.peerProbeResults.isFreshlyReached(machine.lastContactMs(), nowMs);
  }

  /**
   * Returns the machines that have sent a message in this term and are not overdue. Machines that
   * left no direct command unanswered come first, and within each group those with the latest
   * message.
   */
  private List<Machine> selectControls(long nowMs) {
    List<Machine> controls = new ArrayList<>(cluster.allMachines());
    controls.removeIf(
        machine ->
            machine.address == null
                || machine.lastMessageMs == machine.firstKnownMs
                || cluster.heartbeatTiming.isHeartbeatOverdue(machine, nowMs));
    // A control that answers no commands would make every peer look partitioned.
    controls.sort(
        Comparator.comparing(
                (Machine machine) -> machine.directCommands.consecutiveUnansweredCount() > 0)
            .thenComparingLong(machine -> -machine.lastMessageMs));
    return controls;
  }

  private static List<Decision.MachineAddress> addressesOf(List<Machine> machines, int limit) {
    List<Decision.MachineAddress> addresses = new ArrayList<>();
    for (Machine machine : machines.subList(0, Math.min(machines.size(), limit))) {
      addresses.add(new Decision.MachineAddress(machine.name, machine.address));
    }
    return addresses;
  }

  /**
   * Processes the results of the peers that answered. A machine that any peer reached counts as
   * reached. A failure counts only if the peer reached the controls: a peer that has just become
   * partitioned, possibly together with this leader, may not have detected the partition yet.
   */
  void onResults(Decision.ProbeThroughPeers probe, List<Decision.PeerProbeResult> results) {
    probeInFlight = false;
    Set<String> reached = new HashSet<>();
    Set<String> unreached = new HashSet<>();
    int conclusiveCount = 0;
    for (Decision.PeerProbeResult result : results) {
      reached.addAll(result.reached());
      if (reachesControls(probe, result)) {
        conclusiveCount++;
        unreached.addAll(result.unreached());
      }
    }
    lastConclusiveMs = conclusiveCount == 0 ? lastConclusiveMs : probe.probedMs();
    lastInconclusiveMs = conclusiveCount == 0 ? probe.probedMs() : NEVER_MS;
    lastUnansweredMs = results.isEmpty() ? probe.probedMs() : NEVER_MS;
    int reachedCount = 0;
    for (Decision.MachineAddress suspect : probe.suspects()) {
      Machine machine = cluster.machines.get(suspect.machineName());
      if (machine == null) {
        continue;
      }
      if (reached.contains(machine.name)) {
        machine.peerProbeResults.onReached(probe.probedMs());
        reachedCount++;
      } else if (unreached.contains(machine.name)) {
        machine.peerProbeResults.onUnreached(probe.probedMs(), machine.lastContactMs());
      } else if (conclusiveCount == 0 && !results.isEmpty()) {
        // Applies only to the machines of this probe: results for others may be conclusive.
        machine.peerProbeResults.onInconclusive(probe.probedMs());
      }
    }
    LOG.debug(
        "peer probe: suspects={} reached={} conclusive_peers={} answering_peers={}",
        probe.suspects().size(),
        reachedCount,
        conclusiveCount,
        results.size());
    cluster.requestPass();
  }

  private static boolean reachesControls(
      Decision.ProbeThroughPeers probe, Decision.PeerProbeResult result) {
    int answered = 0;
    for (Decision.MachineAddress control : probe.controls()) {
      answered += result.reached().contains(control.machineName()) ? 1 : 0;
    }
    return answered * 2 >= probe.controls().size();
  }
}
