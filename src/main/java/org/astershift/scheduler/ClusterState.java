package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one term knows: jobs, machines, and which machine holds which attempt. It keeps the sums and
 * the sets of what changed, so that an event costs what it changes and not a walk over everything.
 *
 * <p>A {@link TaskAttempt} leaves only on proof: the machine's own newer report, the end of its
 * session, the answer to its return, the cloud's list, or a lease that ran out while only this
 * leader could have renewed it.
 */
final class ClusterState {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

  /**
   * Bits of an attempt number left to the counter within one term; the term's token is above. Huge
   * arrays start a few hundred tasks a second, so a term has numbers for weeks; a term that has
   * used them up ends, since a number must never come twice.
   */
  static final int ATTEMPT_COUNTER_BITS = 28;

  /** Attempt numbers with which a term ends: more than two passes use. */
  private static final long TERM_END_ATTEMPTS_LEFT = 1_000_000;

  /** Seconds over which it is counted how often idle machines are taken. */
  private static final double REUSE_WINDOW_S = 60;

  /** Reports come this much later than their interval at the most: a quarter. */
  private static final double HEARTBEAT_DELAY_FACTOR = 1.25;

  /** Milliseconds after that until a machine that does not answer is given back. */
  private static final long SILENT_AFTER_MS = 1200;

  /**
   * Milliseconds within which a machine that restarts is there again. Until it was silent for so
   * long after its latest report can have been due, that nobody reaches it does not show that it is
   * gone.
   */
  private static final long MACHINE_RESTART_MS = 1000;

  /**
   * Leases without an answered report after which nothing new goes to a machine, though it answers
   * orders. Less would take the seconds in which workers look for a new leader for such a spell.
   */
  private static final double OUTBOUND_PARTITION_LEASES = 0.5;

  /**
   * Share of the fleet up to which unheard machines are a few: when all controllers were down for
   * long, one in twenty had died meanwhile, and all opened jobs waited 10 s for their returns.
   */
  private static final double UNRECONCILED_SHARE = 0.1;

  /** Milliseconds after which a zone that was cut off is tried again, though nothing was heard. */
  private static final long ZONE_PARTITION_RETRY_MS = 60_000;

  /** A machine given back may still be spoken of so many milliseconds later: packets are held. */
  private static final long LATE_HEARTBEAT_MS = 180_000;

  final DeploymentLimits limits;
  final SchedulingPolicy policy;
  final long fencingToken;
  final Map<String, Job> jobs = new LinkedHashMap<>();
  final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Jobs with tasks that are neither done nor held. */
  final Set<Job> waitingJobs = new LinkedHashSet<>();

  /** Machines for which a command may be due that should not wait for their next report. */
  final Set<Machine> commandsPending = new LinkedHashSet<>();

  /** Live machines that no record lets have tasks yet. */
  final Set<Machine> unregistered = new LinkedHashSet<>();

  /** Jobs with tasks placed that must be opened before the first start goes out. */
  final Set<Job> jobsToOpen = new LinkedHashSet<>();

  /** Services of which a replica was placed since they were opened. */
  final Set<Job> placementsToPersist = new LinkedHashSet<>();

  /** Jobs that may have completed. */
  final Set<Job> completionCandidates = new LinkedHashSet<>();

  /** Jobs with done tasks that no record holds yet. */
  final Set<Job> unpersistedProgress = new LinkedHashSet<>();

  final ServiceStatistics serviceStatistics = new ServiceStatistics();
  final IncarnationTracker incarnations;
  final MinimumShare minimumShare = new MinimumShare(this);
  final MachineTypeCatalog machineTypes = new MachineTypeCatalog();
  final Utilization utilization = new Utilization();
  private final UnobservedUsage unobservedUsage = new UnobservedUsage();

  /** Looks at a job for a machine, so that tests can count what a pass and a report cost. */
  long candidateChecks;

  private static final double TOLERANCE = 1e-6;
  private static final Comparator<Job> BY_SUBMISSION =
      Comparator.comparingLong((Job j) -> j.submittedMs).thenComparing(j -> j.spec.id());
  private final Map<String, TreeSet<Job>> teamJobs = new HashMap<>();
  private final Map<String, double[]> teamUsage = new HashMap<>();
  private final List<Decision.DeregisterMachine> deregistrations = new ArrayList<>();
  private final Map<String, DecayingRate> reuseRates = new HashMap<>();
  private final Map<String, Long> removedMs = new LinkedHashMap<>();
  private final Map<String, Long> partitionedZones = new HashMap<>();
  private long lastAttemptNumber;
  private long resumedMs = Long.MIN_VALUE / 2;
  private int unreconciledMachines;
  private boolean passRequested;

  ClusterState(DeploymentLimits limits, SchedulingPolicy policy, long fencingToken) {
    this.limits = limits;
    this.policy = policy;
    this.fencingToken = fencingToken;
    this.incarnations = new IncarnationTracker(fencingToken);
  }

  // ---- what a pass has to look at ----

  /** Something happened that a pass may act on. */
  void requestPass() {
    passRequested = true;
  }

  boolean passRequested() {
    return passRequested;
  }

  void clearPassRequest() {
    passRequested = false;
  }

  /** What machines said while this node stood still is not read yet: silence counts from now. */
  void onProcessResumed(long nowMs) {
    resumedMs = nowMs;
  }

  /** How long nothing at all has come from the machine, while this node listened. */
  long silenceMs(Machine machine, long nowMs) {
    return nowMs - Math.max(resumedMs, machine.lastContactMs());
  }

  /** Its report is overdue. */
  boolean heartbeatOverdue(Machine machine, long nowMs) {
    return silenceMs(machine, nowMs) > suspicionTimeoutMs();
  }

  // ---- machine types ----

  void updateMachineTypes(Map<String, MachineType> knownTypes) {
    machineTypes.update(knownTypes);
    for (Machine machine : machines.values()) {
      machine.type = knownTypes.get(machine.typeName);
    }
    unobservedUsage.recompute();
    for (Job job : jobs.values()) {
      machineTypes.resolveTypes(job);
    }
    recomputeUtilization();
    requestPass();
  }

  // ---- jobs ----

  void addJob(Job job) {
    machineTypes.resolveTypes(job);
    job.shareGroup = minimumShare.groupOf(job.spec);
    jobs.put(job.spec.id(), job);
    if (!job.waitingTasks.isEmpty()) {
      waitingJobs.add(job);
    }
    teamJobs.computeIfAbsent(job.spec.team(), t -> new TreeSet<>(BY_SUBMISSION)).add(job);
    job.withinGuaranteedQuota = withinGuaranteedQuota(job);
    completionCandidates.add(job);
    serviceStatistics.onAccepted(job);
    requestPass();
  }

  /** The job's end is durable: what was placed and never sent is let go, the rest is stopped. */
  void endJob(Job job, boolean cancelled) {
    jobs.remove(job.spec.id());
    teamJobs.get(job.spec.team()).remove(job);
    waitingJobs.remove(job);
    jobsToOpen.remove(job);
    completionCandidates.remove(job);
    unpersistedProgress.remove(job);
    serviceStatistics.onEnded(job, cancelled);
    if (!cancelled) {
      MinimumShare.onJobFinished(job);
    }
    job.state = cancelled ? Job.State.CANCELLED : Job.State.DONE;
    for (TaskAttempt attempt : new ArrayList<>(job.attempts.values())) {
      if (attempt.startSent) {
        attempt.shortenGrace();
        commandsPending.add(attempt.machine);
      } else {
        dropAttempt(attempt);
      }
    }
    requestPass();
  }

  /** The team's unfinished jobs in the order of their submission. */
  Set<Job> unfinishedJobs(String team) {
    TreeSet<Job> unfinished = teamJobs.get(team);
    return unfinished == null ? Set.of() : unfinished;
  }

  /**
   * Whether the job lies within its team's guarantee: it fits there together with the team's
   * earlier unfinished jobs. What the team uses at the moment says something else: of a long queue
   * it gave the guarantee to whichever job was next, before other teams' jobs that could still be
   * in time.
   */
  private boolean withinGuaranteedQuota(Job job) {
    Team team = limits.teams().get(job.spec.team());
    if (team == null) {
      return false;
    }
    double remaining = job.spec.gpus() > 0 ? team.guaranteedGpus() : team.guaranteedCpus();
    for (Job earlier : teamJobs.get(team.name()).headSet(job, true)) {
      JobSpec spec = earlier.spec;
      remaining -=
          (job.spec.gpus() > 0 ? spec.gpus() : spec.cpus()) * team.maxConcurrentTasks(spec);
      if (remaining < -TOLERANCE) {
        return false;
      }
    }
    return true;
  }

  void markDone(Job job, int index) {
    job.markDone(index);
    if (job.waitingTasks.isEmpty()) {
      waitingJobs.remove(job);
    }
    unpersistedProgress.add(job);
    if (job.complete()) {
      completionCandidates.add(job);
      requestPass();
    }
  }

  // ---- machines ----

  void addMachine(Machine machine) {
    machine.type = machineTypes.all().get(machine.typeName);
    machines.put(machine.name, machine);
    unreconciledMachines += machine.inherited && !machine.fenced ? 1 : 0;
    unobservedUsage.update(machine, true);
    enterState(machine, machine.state);
  }

  /**
   * The machine now belongs to this term's token. Up to now an older leader may have answered its
   * reports, so its lease counts from here.
   */
  void fence(Machine machine, long nowMs) {
    if (machine.fenced) {
      return;
    }
    machine.fenced = true;
    machine.leaseFromMs = nowMs;
    machine.leaseRenewedMs = nowMs;
    machine.consecutiveUnanswered = 0;
    machine.unverified = false;
    unobservedUsage.update(machine, true);
    if (machine.inherited) {
      LOG.debug("machine {} answers to token {}", machine.name, fencingToken);
      onReconciled(machine, nowMs);
    }
    requestPass();
  }

  private void onReconciled(Machine machine, long nowMs) {
    unreconciledMachines--;
    if (unreconciledMachines == 0) {
      LOG.info(
          "all machines of earlier leaders answer to token {} or are gone, {} ms after its begin",
          fencingToken,
          nowMs - machine.firstKnownMs);
    }
  }

  void enterState(Machine machine, Machine.State state) {
    machine.state = state;
    if (state == Machine.State.LIVE) {
      if (!machine.registered) {
        unregistered.add(machine);
      }
      requestPass();
    } else {
      unregistered.remove(machine);
    }
  }

  /** Whether some machine may still hold what an earlier leader started. */
  boolean anyUnreconciled() {
    return unreconciledMachines > 0;
  }

  /** Whether only so few machines are left to be heard that the trouble is theirs. */
  boolean fewUnreconciled() {
    return unreconciledMachines
        <= Math.max(FailureDetector.SILENT_FEW_MACHINES, machines.size() * UNRECONCILED_SHARE);
  }

  /**
   * The machine may have restarted, and nothing shows whether: what it had shown is taken from its
   * next message, and what is on its way to it stays held.
   */
  void onPossibleRestart(Machine machine, long nowMs) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.phase == null && attempt.startInHeartbeatResponse) {
        attempt.startUnconfirmed = true;
        attempt.startEpoch = Math.max(1, machine.epoch);
      }
    }
    onMachineRestarted(machine, nowMs);
  }

  /**
   * A message may be of an incarnation that began while the lease was uncertain. Where none was
   * known in this term, the record is of an earlier one, too: it is written anew.
   */
  void onUnprovenIncarnation(Machine machine) {
    if (machine.incarnation.isKnown()) {
      LOG.debug("machine {} may have restarted while the lease is uncertain", machine.name);
      machine.incarnation = new MachineIncarnation();
    } else {
      LOG.debug("machine {} is first heard while the lease is uncertain", machine.name);
      machine.registered = false;
      enterState(machine, machine.state);
    }
  }

  /** The machine began anew: what it held is gone, and it has to be heard as any other. */
  void onMachineRestarted(Machine machine, long nowMs) {
    LOG.info(
        "machine {} began anew: its {} tasks are gone", machine.name, machine.heldAttemptCount());
    dropNonPendingAttempts(machine);
    for (TaskAttempt attempt : machine.attempts.values()) {
      attempt.startSent = false; // it is repeated, once the machine may have tasks again
      attempt.startLeaseExpired = false; // and fits the new life
      attempt.startInHeartbeatResponse =
          false; // an answer ends with the connection of the life before
    }
    boolean alreadyCounted = machine.inherited && !machine.fenced;
    machine.resetAfterRestart();
    machine.leaseFromMs = nowMs;
    machine.unreconciledSinceMs = nowMs;
    unreconciledMachines += alreadyCounted ? 0 : 1;
    unobservedUsage.update(machine, true);
    enterState(machine, Machine.State.UNRECONCILED);
  }

  /**
   * Whether the machine is one of a few that this leader cannot make listen, for so long that all
   * that waits for it is worth more than the machine, though other controllers may reach it.
   */
  boolean blocksReconciliation(Machine machine, long nowMs) {
    return machine.state == Machine.State.UNRECONCILED
        && fewUnreconciled()
        && nowMs - Math.max(resumedMs, machine.unreconciledSinceMs) > Scheduler.UNFENCED_RELEASE_MS;
  }

  /** Proof that the machine and all on it are gone. */
  void removeMachine(String machineName, String reason, long nowMs) {
    Machine machine = machines.remove(machineName);
    if (machine == null) {
      return;
    }
    LOG.info(
        "machine {} is gone ({}), with {} tasks", machineName, reason, machine.heldAttemptCount());
    long keepMs = (long) (4 * limits.listLagS() * 1000) + LATE_HEARTBEAT_MS;
    removedMs.values().removeIf(removedAtMs -> removedAtMs + keepMs < nowMs);
    removedMs.put(machineName, nowMs);
    if (machine.inherited && !machine.fenced) {
      onReconciled(machine, nowMs);
    }
    dropAllAttempts(machine);
    unobservedUsage.update(machine, false);
    commandsPending.remove(machine);
    unregistered.remove(machine);
    deregistrations.add(new Decision.DeregisterMachine(machineName, machine.address));
    requestPass();
  }

  /** Whether the machine is known to be gone: old lists and late reports may still speak of it. */
  boolean removedRecently(String machineName) {
    return removedMs.containsKey(machineName);
  }

  /** Machines gone since the last call. */
  List<Decision.DeregisterMachine> drainDeregistrations() {
    List<Decision.DeregisterMachine> drained = new ArrayList<>(deregistrations);
    deregistrations.clear();
    return drained;
  }

  /** Whether new tasks may go there: not to a machine whose report is overdue. */
  boolean usable(Machine machine, long nowMs) {
    return machine.usable(nowMs)
        && incarnations.usable(machine, nowMs)
        && !heartbeatOverdue(machine, nowMs)
        && !outboundPartitioned(machine, nowMs);
  }

  /**
   * Its reports find no way here, though it may answer orders. These renew no lease, so what starts
   * there now ends with the lease that is half over.
   */
  boolean outboundPartitioned(Machine machine, long nowMs) {
    long sinceMs = nowMs - Math.max(resumedMs, machine.leaseRenewedMs);
    return sinceMs > limits.leaseS() * 1000 * OUTBOUND_PARTITION_LEASES;
  }

  /** Says in the log when a machine becomes mute, and when its reports come again. */
  void logOutboundPartition(Machine machine, long nowMs) {
    boolean partitioned = outboundPartitioned(machine, nowMs);
    if (machine.state == Machine.State.LIVE
        && partitioned != machine.outboundPartitionLogged
        && !heartbeatOverdue(machine, nowMs)) {
      machine.outboundPartitionLogged = partitioned;
      LOG.info(
          partitioned
              ? "machine {} answers orders and its reports do not come: nothing new goes there"
              : "machine {} reports again",
          machine.name);
    }
  }

  /** Silence after which a machine is asked directly: its report is overdue. */
  private long suspicionTimeoutMs() {
    return maxHeartbeatIntervalMs() + Scheduler.SUSPECT_AFTER_MS;
  }

  /** Milliseconds from one report of a machine to the next, at most. */
  private long maxHeartbeatIntervalMs() {
    return (long) (limits.heartbeatIntervalS() * 1000 * HEARTBEAT_DELAY_FACTOR);
  }

  /**
   * From when on a question in vain cannot have met a restart: one that began after its last word.
   * Where no report was to be expected after that, since this leader is cut off from the machine or
   * hears its answers alone, it may also have begun until the others first failed to reach it.
   */
  long restartExcludedFromMs(Machine machine) {
    if (machine.lastContactMs() - machine.leaseRenewedMs > maxHeartbeatIntervalMs()
        || machine.peerProbeResults.reachedSince(machine.lastContactMs())) {
      return machine.peerProbeResults.firstUnreachedMs()
          + Scheduler.PEER_PROBE_TIMEOUT_MS
          + MACHINE_RESTART_MS;
    }
    return Math.max(resumedMs, machine.lastContactMs())
        + maxHeartbeatIntervalMs()
        + MACHINE_RESTART_MS;
  }

  /** Silence after which a machine that does not answer either is given back. */
  long releaseTimeoutMs() {
    return suspicionTimeoutMs() + SILENT_AFTER_MS;
  }

  /** So many machines of the zone fell silent that it must be cut off. */
  void markZonePartitioned(String zone, long nowMs) {
    if (partitionedZones.put(zone, nowMs) == null) {
      LOG.info("zone {} is taken to be cut off: its machines have fallen silent", zone);
    }
  }

  /** Whether nothing can be expected from the zone now. */
  boolean isZonePartitioned(String zone, long nowMs) {
    Long markedMs = partitionedZones.get(zone);
    return markedMs != null && nowMs - markedMs < ZONE_PARTITION_RETRY_MS;
  }

  /** A machine of the zone has spoken. */
  void clearZonePartition(String zone) {
    if (partitionedZones.remove(zone) != null) {
      LOG.info("zone {} is heard again", zone);
    }
  }

  // ---- holding and releasing ----

  /** Attempt numbers are about to run out: only a new token brings new ones. */
  boolean attemptNumbersExhausted() {
    return lastAttemptNumber >= (1L << ATTEMPT_COUNTER_BITS) - TERM_END_ATTEMPTS_LEFT;
  }

  long nextAttemptNumber() {
    return (fencingToken << ATTEMPT_COUNTER_BITS) | ++lastAttemptNumber;
  }

  TaskAttempt place(Job job, int index, Machine machine, long attemptNumber, long nowMs) {
    if (machine.idle()) {
      reuseRates
          .computeIfAbsent(machine.typeName, t -> new DecayingRate(REUSE_WINDOW_S))
          .add(nowMs);
    }
    TaskAttempt attempt = new TaskAttempt(job, index, attemptNumber, machine, nowMs);
    machine.add(attempt);
    hold(attempt);
    job.lastPlacedMs = nowMs;
    commandsPending.add(machine);
    if (!job.opened) {
      jobsToOpen.add(job);
    } else if (job.spec.kind() == JobKind.SERVICE) {
      placementsToPersist.add(job);
    }
    requestPass();
    return attempt;
  }

  /** How many machines of a type are taken from idleness in a second, lately. */
  double reuseRatePerS(String typeName, long nowMs) {
    DecayingRate rate = reuseRates.get(typeName);
    return rate == null ? 0 : rate.perS(nowMs);
  }

  /** A task found on a machine; it is the job's unless another attempt is, or nobody wants it. */
  void adopt(TaskAttempt attempt) {
    attempt.machine.add(attempt);
    if (!attempt.exited()) {
      addUsage(attempt, 1);
    }
  }

  /** Makes an adopted run the one that holds its task. */
  void holdTask(TaskAttempt attempt) {
    attempt.job.hold(attempt);
    if (attempt.job.waitingTasks.isEmpty()) {
      waitingJobs.remove(attempt.job);
    }
  }

  private void hold(TaskAttempt attempt) {
    addUsage(attempt, 1);
    holdTask(attempt);
  }

  private void addUsage(TaskAttempt attempt, int sign) {
    JobSpec spec = attempt.job.spec;
    attempt.machine.addUsage(spec, sign);
    if (attempt.job.orphaned) {
      attempt.machine.addOrphanedAttempts(sign);
      unobservedUsage.update(
          attempt.machine, machines.get(attempt.machine.name) == attempt.machine);
    }
    utilization.addUsedCpus(attempt.machine, sign * spec.cpus());
    double[] usage = teamUsage.computeIfAbsent(spec.team(), t -> new double[2]);
    usage[0] += sign * spec.cpus();
    usage[1] += sign * spec.gpus();
  }

  double[] teamUsage(String team) {
    return teamUsage.getOrDefault(team, new double[2]);
  }

  /** Whether the team may have one more task of the job. */
  boolean teamQuotaAllows(Job job) {
    return teamQuotaAllows(job, 1);
  }

  /** Whether the team may have so many more tasks of the job, whatever the unheard hold of it. */
  boolean teamQuotaAllows(Job job, int tasks) {
    Team team = limits.teams().get(job.spec.team());
    if (team == null) {
      return false;
    }
    double[] usage = teamUsage(team.name());
    JobSpec spec = job.spec;
    return team.allows(
        usage[0] + (spec.cpus() > 0 ? tasks * spec.cpus() + unobservedUsage.cpus() : 0),
        usage[1] + (spec.gpus() > 0 ? tasks * spec.gpus() + unobservedUsage.gpus() : 0));
  }

  /** Processors and accelerators that the team may still take, whatever the unheard hold of it. */
  double[] remainingTeamQuota(String teamName) {
    Team team = limits.teams().get(teamName);
    if (team == null) {
      return new double[2];
    }
    double[] usage = teamUsage(teamName);
    return new double[] {
      team.maxCpus() > 0 ? team.maxCpus() - usage[0] - unobservedUsage.cpus() : Double.MAX_VALUE,
      team.maxGpus() > 0 ? team.maxGpus() - usage[1] - unobservedUsage.gpus() : Double.MAX_VALUE
    };
  }

  /** The task is off its machine; its entry there may stay until the worker has forgotten it. */
  void release(TaskAttempt attempt) {
    addUsage(attempt, -1);
    Job job = attempt.job;
    job.duplicateAttempts.remove(attempt);
    if (job.release(attempt)) {
      for (TaskAttempt duplicate : job.duplicateAttempts) {
        if (duplicate.index == attempt.index) {
          job.duplicateAttempts.remove(duplicate);
          holdTask(duplicate);
          break;
        }
      }
      if (job.state == Job.State.LIVE && !job.waitingTasks.isEmpty()) {
        waitingJobs.add(job);
      }
    }
  }

  /** Proof that the machine does not have the attempt, nor will. */
  void dropAttempt(TaskAttempt attempt) {
    if (!attempt.exited()) {
      release(attempt);
      attempt.job.unsuccessfulAttempts += attempt.startSent ? 1 : 0;
      requestPass();
    }
    attempt.machine.remove(attempt);
  }

  /**
   * Proof that nothing of what the machine held is left there, though what is on its way may still
   * start: that stays held until the machine is heard in a later session, or is gone. Says how many
   * were dropped.
   */
  int dropNonPendingAttempts(Machine machine) {
    int dropped = 0;
    for (TaskAttempt attempt : new ArrayList<>(machine.attempts.values())) {
      if (!attempt.startPending()) {
        dropAttempt(attempt);
        dropped++;
      }
    }
    return dropped;
  }

  /** Proof that nothing of what the machine held is left there, nor on its way. */
  void dropAllAttempts(Machine machine) {
    for (TaskAttempt attempt : new ArrayList<>(machine.attempts.values())) {
      dropAttempt(attempt);
    }
  }

  /** Stops a task in the way that saves most: a gang as a whole, with time to save. */
  void stop(TaskAttempt attempt) {
    if (attempt.job.spec.kind() == JobKind.GANG) {
      for (TaskAttempt other : attempt.job.attempts.values()) {
        markStopping(other);
      }
    } else {
      markStopping(attempt);
    }
  }

  /** The attempt will never be complete: what waits under its number waits in vain. */
  void stopAttempt(Job job, long attemptNumber) {
    for (TaskAttempt attempt : job.attempts.values()) {
      if (attempt.attemptNumber == attemptNumber) {
        markStopping(attempt);
      }
    }
    requestPass();
  }

  private void markStopping(TaskAttempt attempt) {
    attempt.stopping = true;
    attempt.machine.preemptible = null;
    attempt.stopGraceS =
        attempt.job.spec.checkpointIntervalS() > 0 ? attempt.job.spec.checkpointSaveS() + 1 : 0;
    commandsPending.add(attempt.machine);
  }

  /** Sums up what is used anew; in between, holding and releasing keep it up. */
  void recomputeUtilization() {
    utilization.recount(machines.values());
  }

  Collection<Machine> allMachines() {
    return machines.values();
  }
}
