package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.LogIntervals;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which silent machines may be given back, and whether this leader hears its fleet at all. A leader
 * that lost its way to the workers hears what a leader of a dead fleet hears, so another controller
 * has to have asked the machine itself, in vain, and to reach others. Where no such controller
 * answers, the leader's own ears are enough for a few machines; beyond that old patterns count (one
 * zone fell silent, or the leases are over), and only if it hears a part of the fleet. Whatever the
 * reasons, only a share of the fleet may go in a time.
 */
final class FailureDetector {
  private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

  /** Direct questions that an inherited machine leaves unanswered before it is given up early. */
  private static final int FENCE_TRIES = 2;

  /**
   * Milliseconds after which an inherited machine that left these unanswered is given back, if all
   * but a few have been heard: until it is gone, no job opened before may go on. In a large fleet
   * some machine dies during nearly every change of leaders.
   */
  private static final long FENCE_TIMEOUT_MS = 2200;

  /** So many silent machines are always put down to the machines. */
  static final int SILENT_FEW_MACHINES = 4;

  /**
   * Share of the fleet that a leader may give up as silent by its own ears alone. Before it notices
   * that it is cut off, its machines are overdue one after the other, so the share must be small.
   */
  private static final double LOCAL_EVIDENCE_SHARE = 0.05;

  /**
   * Share of the fleet that a leader has to hear to give up any beyond that where no other
   * controller can tell: one that hears next to nobody is more likely deaf than left alone.
   */
  private static final double LONE_OBSERVER_SHARE = 0.25;

  /** Share of the fleet that may be given up as silent in a time, however good the reasons. */
  private static final double RELEASED_SILENT_SHARE = 0.6;

  /** Milliseconds in which that share may go: longer than cuts last. */
  private static final long RELEASED_SILENT_WINDOW_MS = 120_000;

  /**
   * Silent machines that other controllers ask in one go. At 128 one on a fifth of a core was too
   * late for a tenth of healthy ones.
   */
  private static final int PEER_PROBE_BATCH_MACHINES = 56;

  /** Machines heard a moment ago that are asked with them. */
  private static final int PEER_PROBE_CONTROL_MACHINES = 8;

  /** Silent machines of one zone that they ask before they are taken for the whole of it. */
  private static final int PEER_PROBE_ZONE_SAMPLE_MACHINES = 24;

  /**
   * Milliseconds beyond patience that the machines of a zone which fell silent as a whole are kept
   * where no other controller can tell: one that crashed has begun anew by then, and has answered a
   * question that was sent when the one before had its deadline.
   */
  private static final long PEER_RECOVERY_WAIT_MS = 12_000;

  /** More than this share of the fleet silent at once is put down to the network here. */
  private static final double SILENT_FLEET_SHARE = 0.25;

  /** From this share of a zone's machines silent at once the zone is taken to be cut off. */
  private static final double ZONE_PARTITION_SHARE = 0.6;

  /** Machines given back as silent count as silent for so many milliseconds. */
  private static final long RELEASED_SILENT_COUNTED_MS = 10_000;

  private final ClusterState cluster;

  /** When machines were given up as silent, outside zones that are cut off; the oldest first. */
  private final ArrayDeque<Long> scatteredReleasesMs = new ArrayDeque<>();

  /** When any machines were given up as silent: what bounds how many may follow. */
  private final ArrayDeque<Long> releasesMs = new ArrayDeque<>();

  private Map<String, Zone> zones = new HashMap<>();
  private long assessedMs = Long.MIN_VALUE;
  private int fleetSize;
  private int overdueCount;
  private boolean fewOverdue;

  /**
   * So many machines may be given up as silent within {@link
   * FailureDetector#RELEASED_SILENT_WINDOW_MS}.
   */
  private double releaseBudget;

  private boolean localEvidenceConclusive;
  private boolean peerProbeInFlight;

  /** When the others were last asked and none of them could tell; none yet: long ago. */
  private long lastInconclusiveMs = Long.MIN_VALUE / 2;

  /** When they were last asked and none of them answered at all. */
  private long lastUnansweredMs = Long.MIN_VALUE / 2;

  /** When they were last asked and one of them could tell. */
  private long lastConclusiveMs = Long.MIN_VALUE / 2;

  private long lastLoggedMs = Long.MIN_VALUE / 2;
  private int retainedReachable;
  private int retainedUndecided;
  private int retainedOverBudget;

  FailureDetector(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Machines of one zone that should report, and what is known of those that do not. */
  private static final class Zone {
    int machineCount;
    int overdueCount;
    int silentCount;

    /** Heard by this leader before, overdue, and asked in vain; those on their way back too. */
    int unansweredKnown;

    /** The same of machines that this leader has never heard. */
    int unansweredNew;

    /** Silent, and another controller asked it lately in vain, or with an answer. */
    int unreachedCount;

    int reachedCount;

    /** Most of it is silent. */
    boolean mostlySilent() {
      return silentCount > SILENT_FEW_MACHINES
          && silentCount >= machineCount * ZONE_PARTITION_SHARE;
    }

    /** Enough of its machines were asked by others, and not one answered. */
    boolean confirmedByPeers() {
      return mostlySilent()
          && reachedCount == 0
          && unreachedCount >= Math.min(silentCount, PEER_PROBE_ZONE_SAMPLE_MACHINES);
    }
  }

  private Map<String, Zone> countByZone(long nowMs) {
    Map<String, Zone> zonesByName = new HashMap<>();
    for (Machine machine : cluster.allMachines()) {
      Zone zone = zonesByName.computeIfAbsent(machine.zone, zoneName -> new Zone());
      boolean overdue = cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs);
      if (overdue && machine.directCommandFailures > 0) {
        zone.unansweredKnown += machine.epoch > 0 ? 1 : 0;
        zone.unansweredNew += machine.epoch > 0 ? 0 : 1;
      }
      if (machine.state != Machine.State.BOOTING && machine.state != Machine.State.RELEASING) {
        zone.machineCount++;
        zone.overdueCount += overdue ? 1 : 0;
        if (overdue && unreachedByPeers(machine, nowMs)) {
          zone.unreachedCount++;
        }
        if (overdue && reachedByPeers(machine, nowMs)) {
          zone.reachedCount++;
        }
        zone.silentCount += isSilent(machine, nowMs) ? 1 : 0;
      }
    }
    return zonesByName;
  }

  private static boolean reachedByPeers(Machine machine, long nowMs) {
    return machine.peerProbeResults.isReached(machine.lastContactMs(), nowMs);
  }

  /**
   * Not before no restart explains it: a machine that restarted when both this leader and the
   * others asked it, and was then cut off from this leader, was given back.
   */
  private boolean unreachedByPeers(Machine machine, long nowMs) {
    return machine.peerProbeResults.isUnreached(
        cluster.heartbeatTiming.restartExcludedFromMs(machine), nowMs);
  }

  /** Whether the machine says nothing for longer than it may, though it was asked. */
  boolean isSilent(Machine machine, long nowMs) {
    if (machine.state == Machine.State.UNRECONCILED
        && machine.directCommandFailures >= FENCE_TRIES
        && cluster.heartbeatTiming.silenceMs(machine, nowMs) > FENCE_TIMEOUT_MS
        && cluster.fewUnreconciled()) {
      return true; // all jobs opened before wait for it
    }
    // Not before it was asked: a busy node may not have come to that, and 40 healthy machines of a
    // thousand were given back after a takeover for nothing else.
    return machine.state != Machine.State.BOOTING
        && cluster.heartbeatTiming.silenceMs(machine, nowMs)
            > cluster.heartbeatTiming.releaseTimeoutMs()
        && (probedInVain(machine, nowMs) || machine.address == null);
  }

  /**
   * Whether it was asked in vain. Where another may lead and hear it by now, an order that got no
   * answer while its reports still came is no such question: one was lost as its machine restarted,
   * and a leader that was cut off gave back a healthy machine.
   */
  private boolean probedInVain(Machine machine, long nowMs) {
    return cluster.incarnations.leaseUncertain(nowMs)
        ? machine.silentCommandUnanswered
        : machine.directCommandFailures > 0;
  }

  // ---- does this leader hear its fleet ----

  /**
   * What this leader hears of its fleet. {@code isolated}: most machines are overdue, and of those
   * that it had heard some were asked in vain; {@code inboundPartitioned}: the same counting
   * machines that it never heard, most of which it has asked in vain. A busy new leader is neither:
   * it has not asked yet.
   */
  record FleetVisibility(int machines, int overdue, boolean isolated, boolean inboundPartitioned) {}

  FleetVisibility fleetVisibility() {
    int machines = 0;
    int overdue = 0;
    int unanswered = 0;
    int unansweredNew = 0;
    for (Zone zone : zones.values()) {
      machines += zone.machineCount;
      overdue += zone.overdueCount;
      unanswered += zone.unansweredKnown;
      unansweredNew += zone.unansweredNew;
    }
    boolean mostOverdue = overdue > SILENT_FEW_MACHINES && overdue * 2 > machines;
    boolean isolated = mostOverdue && unanswered > SILENT_FEW_MACHINES;
    boolean inboundPartitioned = mostOverdue && (unanswered + unansweredNew) * 2 > overdue;
    return new FleetVisibility(machines, overdue, isolated, inboundPartitioned);
  }

  // ---- which silent machines may go ----

  /** Looks at the fleet before machines are judged one by one. */
  void assessFleet(long nowMs) {
    if (nowMs == assessedMs) {
      return; // a plan in the same pass as a sweep: one walk over the fleet serves both
    }
    assessedMs = nowMs;
    removeOlderThan(scatteredReleasesMs, nowMs, RELEASED_SILENT_COUNTED_MS);
    removeOlderThan(releasesMs, nowMs, RELEASED_SILENT_WINDOW_MS);
    zones = countByZone(nowMs);
    fleetSize = scatteredReleasesMs.size();
    overdueCount = scatteredReleasesMs.size();
    int overdueElsewhere = scatteredReleasesMs.size();
    int unanswered = 0;
    int reportingMachines = 0;
    for (Map.Entry<String, Zone> entry : zones.entrySet()) {
      Zone zone = entry.getValue();
      reportingMachines += zone.machineCount;
      fleetSize += zone.machineCount;
      overdueCount += zone.overdueCount;
      unanswered += zone.unansweredKnown;
      if (!zone.mostlySilent()) {
        overdueElsewhere += zone.overdueCount;
      }
    }
    // What was given up may still be on its way, or gone: it counts as part of the fleet it was of.
    releaseBudget =
        Math.max(
            SILENT_FEW_MACHINES, (reportingMachines + releasesMs.size()) * RELEASED_SILENT_SHARE);
    fewOverdue = overdueCount <= Math.max(SILENT_FEW_MACHINES, fleetSize * LOCAL_EVIDENCE_SHARE);
    boolean isolated =
        overdueCount > SILENT_FEW_MACHINES
            && overdueCount * 2 > fleetSize
            && unanswered > SILENT_FEW_MACHINES;
    localEvidenceConclusive =
        observesEnough()
            && !isolated
            && overdueElsewhere <= Math.max(SILENT_FEW_MACHINES, fleetSize * SILENT_FLEET_SHARE);
    for (Map.Entry<String, Zone> entry : zones.entrySet()) {
      if (entry.getValue().mostlySilent()
          && (entry.getValue().confirmedByPeers() || localEvidenceConclusive)) {
        cluster.zonePartitions.mark(entry.getKey(), nowMs);
      }
    }
    retainedReachable = 0;
    retainedUndecided = 0;
    retainedOverBudget = 0;
  }

  private static void removeOlderThan(ArrayDeque<Long> times, long nowMs, long keepMs) {
    while (!times.isEmpty() && nowMs - times.peekFirst() > keepMs) {
      times.removeFirst();
    }
  }

  /** A leader that hears next to nobody cannot tell dead machines from its own deafness. */
  private boolean observesEnough() {
    return fleetSize - overdueCount >= fleetSize * LONE_OBSERVER_SHARE;
  }

  /** Whether this silent machine may be given back; counted against what may go in a time. */
  boolean tryRelease(Machine machine, long nowMs) {
    boolean blocksReconciliation = cluster.blocksReconciliation(machine, nowMs);
    if (reachedByPeers(machine, nowMs) && !blocksReconciliation) {
      retainedReachable++;
      return false;
    }
    boolean conclusive =
        fewOverdue
            ? conclusiveAlone(machine, nowMs)
            : observesEnough() && conclusiveForMany(machine, nowMs);
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

  /** One of a few: its silence counts, unless others can be asked and have not answered yet. */
  private boolean conclusiveAlone(Machine machine, long nowMs) {
    return machine.address == null
        || unreachedByPeers(machine, nowMs)
        || nowMs - lastUnansweredMs <= PeerProbeResults.PEER_PROBE_REACHED_VALID_MS
        || machine.peerProbeResults.isInconclusive(machine.lastContactMs(), nowMs)
        || (nowMs - lastConclusiveMs > PeerProbeResults.PEER_PROBE_REACHED_VALID_MS
            && cluster.heartbeatTiming.silenceMs(machine, nowMs)
                > cluster.heartbeatTiming.releaseTimeoutMs() + PeerProbeResults.PEER_PROBE_WAIT_MS);
  }

  /** Others asked it in vain; or nobody can tell, and what this leader sees speaks for it. */
  private boolean conclusiveForMany(Machine machine, long nowMs) {
    if (unreachedByPeers(machine, nowMs) || zones.get(machine.zone).confirmedByPeers()) {
      return true;
    }
    // Where others reach a machine of the zone, that they could not tell of this one says nothing.
    boolean peersInconclusive =
        nowMs - lastInconclusiveMs <= PeerProbeResults.PEER_PROBE_REACHED_VALID_MS
            && zones.get(machine.zone).reachedCount == 0;
    return peersInconclusive
        && ((localEvidenceConclusive && !mayBeReachable(machine, nowMs))
            || pastLease(machine, nowMs));
  }

  /**
   * Its zone fell silent as a whole, which is more likely cut off from here than dead, and nobody
   * could tell for less time than a controller that crashed takes to be back: zones were given away
   * a moment before one that was just starting reached them (seed 5632 of the swarm).
   */
  private boolean mayBeReachable(Machine machine, long nowMs) {
    return zones.get(machine.zone).mostlySilent()
        && cluster.heartbeatTiming.silenceMs(machine, nowMs)
            <= cluster.heartbeatTiming.releaseTimeoutMs() + PEER_RECOVERY_WAIT_MS;
  }

  /** Nothing it held can be alive any more, so that giving it back loses nothing. */
  private boolean pastLease(Machine machine, long nowMs) {
    return cluster.heartbeatTiming.silenceMs(machine, nowMs) > 1.5 * cluster.limits.leaseS() * 1000;
  }

  /** Says now and then what is held back, and why. */
  void logRetained(long nowMs) {
    int retained = retainedReachable + retainedUndecided + retainedOverBudget;
    if (retained > 0 && nowMs - lastLoggedMs > LogIntervals.SUMMARY_INTERVAL_MS) {
      lastLoggedMs = nowMs;
      LOG.info(
          "{} silent machines are not given back: {} answer another controller, {} nobody able to"
              + " tell has asked, {} more than may go in {} s; {} of {} are heard here",
          retained,
          retainedReachable,
          retainedUndecided,
          retainedOverBudget,
          RELEASED_SILENT_WINDOW_MS / 1000,
          fleetSize - overdueCount,
          fleetSize);
    }
  }

  // ---- witnesses ----

  /** Whether it may have to be given up soon. */
  private boolean isSuspect(Machine machine, long nowMs) {
    if (machine.state == Machine.State.BOOTING || machine.state == Machine.State.RELEASING) {
      return false;
    }
    if (cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs)) {
      return fewOverdue || machine.directCommandFailures > 0;
    }
    // One of the last unheard: asked at the same time as by this leader for the second time.
    return machine.state == Machine.State.UNRECONCILED
        && machine.directCommandFailures > 0
        && cluster.fewUnreconciled();
  }

  /**
   * The machines that other controllers should ask, or null: as soon as reports are overdue, so
   * that the answer is there when patience ends. First a sample of each zone, which is enough where
   * a zone is cut off as a whole.
   */
  Decision.ProbeThroughPeers nextPeerProbe(long nowMs) {
    // Who hears next to nobody gives nothing back whatever the others say, and need not ask.
    if (peerProbeInFlight || !(fewOverdue || observesEnough())) {
      return null;
    }
    Map<String, Integer> sampled = new HashMap<>();
    List<Machine> sample = new ArrayList<>();
    List<Machine> remaining = new ArrayList<>();
    for (Machine machine : cluster.allMachines()) {
      if (machine.address == null
          || !isSuspect(machine, nowMs)
          || peerResultsCurrent(machine, nowMs)) {
        continue;
      }
      Zone zone = zones.get(machine.zone);
      int probedBefore = zone == null ? 0 : zone.unreachedCount + zone.reachedCount;
      if (probedBefore + sampled.merge(machine.zone, 1, Integer::sum)
          <= PEER_PROBE_ZONE_SAMPLE_MACHINES) {
        sample.add(machine);
      } else if (zone == null || !zone.confirmedByPeers()) {
        remaining.add(machine);
      }
    }
    sample.addAll(remaining);
    if (sample.isEmpty()) {
      return null;
    }
    peerProbeInFlight = true;
    List<Machine> controls = new ArrayList<>(cluster.allMachines());
    controls.removeIf(
        machine ->
            machine.address == null
                || machine.lastMessageMs == machine.firstKnownMs
                || cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs));
    // What reports and answers nothing would make each of the others look cut off.
    controls.sort(
        Comparator.comparing((Machine machine) -> machine.consecutiveUnanswered > 0)
            .thenComparingLong(machine -> -machine.lastMessageMs));
    List<Decision.MachineAddress> suspects = addressesOf(sample, PEER_PROBE_BATCH_MACHINES);
    return new Decision.ProbeThroughPeers(
        suspects, addressesOf(controls, PEER_PROBE_CONTROL_MACHINES), nowMs);
  }

  /**
   * Whether the others can tell nothing new of it. They are asked again before what is known grows
   * old: where one of them was slow to answer healthy machines were given back between the one
   * answer and the next. And once more when a restart does not explain any more that they failed.
   */
  private boolean peerResultsCurrent(Machine machine, long nowMs) {
    boolean askedTooEarly = machine.peerProbeResults.isUnreached(machine.lastContactMs(), nowMs);
    return unreachedByPeers(machine, nowMs)
        || (askedTooEarly && nowMs < cluster.heartbeatTiming.restartExcludedFromMs(machine))
        || machine.peerProbeResults.isFreshlyReached(machine.lastContactMs(), nowMs);
  }

  private static List<Decision.MachineAddress> addressesOf(List<Machine> machines, int limit) {
    List<Decision.MachineAddress> addresses = new ArrayList<>();
    for (Machine machine : machines.subList(0, Math.min(machines.size(), limit))) {
      addresses.add(new Decision.MachineAddress(machine.name, machine.address));
    }
    return addresses;
  }

  /**
   * What the others said that answered. One that was cut off a moment ago, maybe together with this
   * leader, does not know it yet; the controls show it. What somebody reached stays; what nobody
   * reached, and somebody asked, is gone.
   */
  void onPeerProbeResults(
      Decision.ProbeThroughPeers probe, List<Decision.PeerProbeResult> results) {
    peerProbeInFlight = false;
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
    lastInconclusiveMs = conclusiveCount == 0 ? probe.probedMs() : Long.MIN_VALUE / 2;
    lastUnansweredMs = results.isEmpty() ? probe.probedMs() : Long.MIN_VALUE / 2;
    int reachableCount = 0;
    for (Decision.MachineAddress suspect : probe.suspects()) {
      Machine machine = cluster.machines.get(suspect.machineName());
      if (machine == null) {
        continue;
      }
      if (reached.contains(suspect.machineName())) {
        machine.peerProbeResults.onReached(probe.probedMs());
        reachableCount++;
      } else if (unreached.contains(suspect.machineName())) {
        machine.peerProbeResults.onUnreached(probe.probedMs(), machine.lastContactMs());
      } else if (conclusiveCount == 0 && !results.isEmpty()) {
        // Nobody could tell of this one. Of those that were not among the asked they may: one was
        // given back a moment before its turn came to be asked.
        machine.peerProbeResults.onInconclusive(probe.probedMs());
      }
    }
    LOG.debug(
        "of {} machines not heard here {} answer another controller; {} of {} could tell",
        probe.suspects().size(),
        reachableCount,
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
