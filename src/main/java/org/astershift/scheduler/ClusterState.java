package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the state of one term: jobs, machines, and the sums and work sets derived from them. Each
 * event updates the derived state incrementally, so that no full scan is needed. Guarded, like all
 * classes of this package, by the lock that the caller of {@link Scheduler} holds.
 *
 * <p>A {@link TaskAttempt} is dropped only on proof that it has ended: a newer heartbeat of its
 * machine, the end of its epoch, the confirmed release of the machine, the cloud's machine list, or
 * the expiry of a lease that only this leader could have renewed.
 */
final class ClusterState {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

  /** Unreconciled machines count as few up to this share of the fleet. */
  private static final double FEW_UNRECONCILED_MAX_SHARE = 0.1;

  final DeploymentLimits limits;
  final SchedulingPolicy policy;
  final long fencingToken;
  final FencingTokens fencingTokens;
  final Map<String, Job> jobs = new LinkedHashMap<>();
  final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Jobs with tasks that are neither done nor held by a machine. */
  final Set<Job> waitingJobs = new LinkedHashSet<>();

  /** Machines that may need a command before their next heartbeat. */
  final Set<Machine> machinesWithPendingCommands = new LinkedHashSet<>();

  /** Live machines without a durable record, which get no tasks yet. */
  final Set<Machine> unregisteredMachines = new LinkedHashSet<>();

  /** Jobs with placed tasks that must be opened before the first start command. */
  final Set<Job> jobsToOpen = new LinkedHashSet<>();

  /** Opened services with a replica placed since the last pass. */
  final Set<Job> servicesToPersist = new LinkedHashSet<>();

  /** Jobs that may be complete; the next pass checks them. */
  final Set<Job> completionCandidates = new LinkedHashSet<>();

  /** Jobs with done tasks that are not persisted yet. */
  final Set<Job> jobsWithUnpersistedProgress = new LinkedHashSet<>();

  final ServiceStatistics serviceStatistics = new ServiceStatistics();
  final IncarnationTracker incarnations;
  final MinimumShare minimumShare = new MinimumShare(this);
  final MachineTypeCatalog machineTypes = new MachineTypeCatalog();
  final Utilization utilization = new Utilization();
  final UnobservedUsage unobservedUsage = new UnobservedUsage();
  final QuotaUsage quotaUsage;
  final HeartbeatTiming heartbeatTiming;
  final ZonePartitions zonePartitions = new ZonePartitions();
  final RemovedMachines removedMachines;
  final AttemptNumberGenerator attemptNumbers;
  final AttemptRegistry attempts = new AttemptRegistry(this);
  final ReconciliationLog reconciliationLog = new ReconciliationLog();
  final StartStatistics startStatistics = new StartStatistics();

  /** Checks of a job against a machine so far; tests bound the cost of a pass by this count. */
  long candidateChecks;

  private final UnfinishedJobs unfinishedJobs;
  private int unreconciledMachineCount;
  private boolean isPassRequested;

  ClusterState(DeploymentLimits limits, SchedulingPolicy policy, long fencingToken) {
    this.limits = limits;
    this.policy = policy;
    this.fencingToken = fencingToken;
    this.fencingTokens = new FencingTokens(fencingToken);
    this.incarnations = new IncarnationTracker(fencingTokens);
    this.quotaUsage = new QuotaUsage(limits.teams(), unobservedUsage);
    this.heartbeatTiming = new HeartbeatTiming(limits);
    this.removedMachines = new RemovedMachines(limits);
    this.attemptNumbers = new AttemptNumberGenerator(fencingToken);
    this.unfinishedJobs = new UnfinishedJobs(limits.teams());
  }

  /** Requests a pass, because something changed that it may act on. */
  void requestPass() {
    isPassRequested = true;
  }

  boolean isPassRequested() {
    return isPassRequested;
  }

  void clearPassRequest() {
    isPassRequested = false;
  }

  /** Replaces the machine types and recomputes everything derived from them. */
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

  void addJob(Job job) {
    machineTypes.resolveTypes(job);
    job.minimumShareGroup = minimumShare.groupOf(job.spec);
    jobs.put(job.spec.id(), job);
    if (!job.waitingTasks.isEmpty()) {
      waitingJobs.add(job);
    }
    unfinishedJobs.add(job);
    job.withinGuaranteedQuota = unfinishedJobs.isWithinGuaranteedQuota(job);
    completionCandidates.add(job);
    serviceStatistics.onAccepted(job);
    requestPass();
  }

  /** Ends a job whose end is durable: drops attempts with no start sent and stops the others. */
  void endJob(Job job, boolean cancelled) {
    jobs.remove(job.spec.id());
    unfinishedJobs.remove(job);
    waitingJobs.remove(job);
    jobsToOpen.remove(job);
    completionCandidates.remove(job);
    jobsWithUnpersistedProgress.remove(job);
    serviceStatistics.onEnded(job, cancelled);
    if (!cancelled) {
      MinimumShare.onJobFinished(job);
    }
    job.state = cancelled ? Job.State.CANCELLED : Job.State.DONE;
    for (TaskAttempt attempt : new ArrayList<>(job.attempts.values())) {
      if (attempt.startSent) {
        attempt.cancelGracePeriod();
        machinesWithPendingCommands.add(attempt.machine);
      } else {
        attempts.drop(attempt);
      }
    }
    requestPass();
  }

  /** Returns the team's unfinished jobs in the order of their submission. */
  Set<Job> unfinishedJobs(String team) {
    return unfinishedJobs.ofTeam(team);
  }

  void markTaskDone(Job job, int index) {
    job.markTaskDone(index);
    if (job.waitingTasks.isEmpty()) {
      waitingJobs.remove(job);
    }
    jobsWithUnpersistedProgress.add(job);
    if (job.isComplete()) {
      completionCandidates.add(job);
      requestPass();
    }
  }

  /** Returns the done tasks of each incomplete job that completed tasks since the last call. */
  Map<String, BitSet> drainUnpersistedProgress() {
    Map<String, BitSet> doneTasksByJob = new LinkedHashMap<>();
    for (Job job : jobsWithUnpersistedProgress) {
      if (!job.isComplete()) {
        doneTasksByJob.put(job.spec.id(), (BitSet) job.doneTasks.clone());
      }
    }
    jobsWithUnpersistedProgress.clear();
    return doneTasksByJob;
  }

  void addMachine(Machine machine) {
    machine.type = machineTypes.all().get(machine.typeName);
    machines.put(machine.name, machine);
    unreconciledMachineCount += machine.inherited && !machine.fenced ? 1 : 0;
    unobservedUsage.update(machine, true);
    enterState(machine, machine.state);
  }

  /**
   * Records that the machine has acknowledged this term's fencing token. An older leader may have
   * answered the machine's heartbeats until now, so the machine's lease with this leader counts
   * from now.
   */
  void fence(Machine machine, long nowMs) {
    if (machine.fenced) {
      return;
    }
    machine.fenced = true;
    machine.leaseFromMs = nowMs;
    machine.leaseRenewedMs = nowMs;
    machine.directCommands.onReceiptProven();
    machine.unverified = false;
    unobservedUsage.update(machine, true);
    if (machine.inherited) {
      LOG.debug("machine fenced: machine={} token={}", machine.name, fencingToken);
      onReconciled(machine, nowMs);
    }
    requestPass();
  }

  private void onReconciled(Machine machine, long nowMs) {
    unreconciledMachineCount--;
    if (unreconciledMachineCount == 0) {
      LOG.info(
          "all machines of earlier leaders are reconciled or gone: token={} after_ms={}",
          fencingToken,
          nowMs - machine.firstKnownMs);
    }
  }

  void enterState(Machine machine, Machine.State state) {
    machine.state = state;
    if (state == Machine.State.LIVE) {
      if (!machine.registered) {
        unregisteredMachines.add(machine);
      }
      requestPass();
    } else {
      unregisteredMachines.remove(machine);
    }
  }

  /** Returns whether some machine may still hold tasks that this leader does not know. */
  boolean hasUnreconciledMachines() {
    return unreconciledMachineCount > 0;
  }

  /**
   * Returns whether so few machines are unreconciled that the fault is attributed to them, not to
   * this leader.
   */
  boolean hasFewUnreconciledMachines() {
    return unreconciledMachineCount
        <= Math.max(
            FleetAssessment.SILENT_FEW_MACHINES, machines.size() * FEW_UNRECONCILED_MAX_SHARE);
  }

  /**
   * Treats a machine as restarted because a restart cannot be excluded. Starts sent in heartbeat
   * responses stay held, since they may still arrive.
   */
  void onPossibleRestart(Machine machine, long nowMs) {
    enterNewIncarnation(machine, nowMs);
  }

  /**
   * Handles a message that may be from an incarnation that began while the lease was uncertain. If
   * this term knew no incarnation of the machine, the machine's record may also be for an earlier
   * incarnation and is written again.
   */
  void onUnprovenIncarnation(Machine machine) {
    if (machine.incarnation.isKnown()) {
      LOG.debug("possible restart while the leader lease is uncertain: machine={}", machine.name);
      machine.incarnation = new MachineIncarnation();
    } else {
      LOG.debug("first message while the leader lease is uncertain: machine={}", machine.name);
      machine.registered = false;
      enterState(machine, machine.state);
    }
  }

  /** Handles a restart of the machine: its tasks are gone, and it has to be reconciled again. */
  void onMachineRestarted(Machine machine, long nowMs) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      attempt.startInHeartbeatResponse = false; // a response ends with its connection
    }
    enterNewIncarnation(machine, nowMs);
  }

  private void enterNewIncarnation(Machine machine, long nowMs) {
    int heldBefore = machine.heldAttemptCount();
    attempts.dropExceptPendingStarts(machine, DropReason.NEW_INCARNATION);
    LOG.info(
        "machine restarted: machine={} tasks_lost={} starts_pending={}",
        machine.name,
        heldBefore - machine.heldAttemptCount(),
        machine.heldAttemptCount());
    boolean alreadyCounted = machine.inherited && !machine.fenced;
    machine.token.minOfIncarnation = fencingTokens.lowestUnseenByEarlierIncarnations(machine);
    machine.resetAfterRestart();
    machine.leaseFromMs = nowMs;
    machine.unreconciledSinceMs = nowMs;
    unreconciledMachineCount += alreadyCounted ? 0 : 1;
    unobservedUsage.update(machine, true);
    enterState(machine, Machine.State.UNRECONCILED);
  }

  /**
   * Returns whether the machine is one of a few that this leader has failed to fence for so long
   * that it is released even if other controllers reach it, since inherited jobs wait for it.
   */
  boolean blocksReconciliation(Machine machine, long nowMs) {
    return machine.state == Machine.State.UNRECONCILED
        && hasFewUnreconciledMachines()
        && heartbeatTiming.unreconciledMs(machine, nowMs) > Scheduler.UNFENCED_RELEASE_MS;
  }

  /** Removes a machine that is provably gone, with all of its attempts. */
  void removeMachine(String machineName, String reason, long nowMs) {
    Machine machine = machines.remove(machineName);
    if (machine == null) {
      return;
    }
    LOG.info(
        "machine gone: machine={} reason=\"{}\" tasks_lost={}",
        machineName,
        reason,
        machine.heldAttemptCount());
    removedMachines.add(machine, nowMs);
    if (machine.inherited && !machine.fenced) {
      onReconciled(machine, nowMs);
    }
    attempts.dropAll(machine);
    unobservedUsage.update(machine, false);
    machinesWithPendingCommands.remove(machine);
    unregisteredMachines.remove(machine);
    removedMachines.requestDeregistration(machine);
    requestPass();
  }

  /** Returns whether new tasks may be placed on the machine. */
  boolean isUsable(Machine machine, long nowMs) {
    return machine.isUsable(nowMs)
        && incarnations.isUsable(machine, nowMs)
        && !heartbeatTiming.isHeartbeatOverdue(machine, nowMs)
        && !heartbeatTiming.isOutboundPartitioned(machine, nowMs);
  }

  /** Returns whether the zone is considered partitioned from this leader. */
  boolean isZonePartitioned(String zone, long nowMs) {
    return zonePartitions.contains(zone, nowMs);
  }

  long nextAttemptNumber() {
    return attemptNumbers.next();
  }

  /** Places a waiting task; see {@link AttemptRegistry#place}. */
  TaskAttempt place(Job job, int index, Machine machine, long attemptNumber, long nowMs) {
    return attempts.place(job, index, machine, attemptNumber, nowMs);
  }

  /** Stops a task; see {@link AttemptRegistry#stop}. */
  void stop(TaskAttempt attempt) {
    attempts.stop(attempt);
  }

  /** Returns the number of idle machines of the type that are put to use per second. */
  double reuseRatePerS(String typeName, long nowMs) {
    return attempts.reuseRatePerS(typeName, nowMs);
  }

  /** Returns the processors and accelerators that the team's tasks use. */
  double[] teamUsage(String team) {
    return quotaUsage.of(team);
  }

  /** Returns whether the quota of the job's team allows one more of the job's tasks. */
  boolean teamQuotaAllows(Job job) {
    return quotaUsage.allows(job.spec, 1);
  }

  /** Returns whether the quota of the job's team allows this many more of the job's tasks. */
  boolean teamQuotaAllows(Job job, int tasks) {
    return quotaUsage.allows(job.spec, tasks);
  }

  /** Returns the processors and accelerators that the team may still use within its quota. */
  double[] remainingTeamQuota(String teamName) {
    return quotaUsage.remaining(teamName);
  }

  /** Recomputes the utilization from all machines; other events update it incrementally. */
  void recomputeUtilization() {
    utilization.recount(machines.values());
  }

  Collection<Machine> allMachines() {
    return machines.values();
  }
}
