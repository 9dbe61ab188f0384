package org.astershift.scheduler;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.astershift.scheduler.OutstandingDecisions.Kind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Schedules jobs in one leader's term: takes in events and returns decisions. Not thread-safe: the
 * caller holds the term's lock in each call. All times are milliseconds of a monotonic clock.
 *
 * <p>Safety rests on one principle: until a machine has acknowledged this term's fencing token or
 * is provably gone, every task that it might hold counts as held; see {@link ClusterState}.
 */
public final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

  /** Delay from the time a heartbeat was due until the machine is probed, in milliseconds. */
  public static final long SUSPECT_AFTER_MS = 400;

  /**
   * Milliseconds after which one of a few machines that this leader cannot fence is released even
   * if another controller reaches it; until then inherited jobs start no tasks.
   */
  public static final long UNFENCED_RELEASE_MS = 15_000;

  /** Timeout of a peer's probe of a machine, in milliseconds; within the peer's own deadline. */
  public static final int PEER_PROBE_TIMEOUT_MS = 800;

  /** Timeout of a machine probe that this leader runs, in milliseconds. */
  public static final int MACHINE_PROBE_TIMEOUT_MS = 1000;

  private final ClusterState cluster;
  private final HeartbeatReconciler heartbeatReconciler;
  private final HeartbeatHandler heartbeatHandler;
  private final DirectCommands directCommands;
  private final MachineListReconciler machineListReconciler;
  private final SchedulingPass schedulingPass;
  private final JobCancellation cancellation;
  private final LogSummary logSummary;
  private final FailureDetector failureDetector;
  private final ScaleIn scaleIn;
  private final ScaleOut scaleOut;
  private final OutstandingDecisions outstandingDecisions = new OutstandingDecisions();

  /** Creates the scheduler of the term with this fencing token. */
  public Scheduler(DeploymentLimits limits, SchedulingPolicy policy, long fencingToken) {
    this.cluster = new ClusterState(limits, policy, fencingToken);
    this.heartbeatReconciler = new HeartbeatReconciler(cluster);
    CommandReconciler commandReconciler = new CommandReconciler(cluster);
    Placement placement = new Placement(cluster);
    this.failureDetector = new FailureDetector(cluster);
    this.scaleIn = new ScaleIn(cluster, failureDetector);
    this.scaleOut = new ScaleOut(cluster);
    MessageClassifier classifier = new MessageClassifier(cluster);
    this.heartbeatHandler =
        new HeartbeatHandler(
            cluster, classifier, heartbeatReconciler, commandReconciler, placement);
    this.directCommands =
        new DirectCommands(cluster, classifier, heartbeatReconciler, commandReconciler);
    this.machineListReconciler = new MachineListReconciler(cluster, scaleIn);
    this.schedulingPass =
        new SchedulingPass(
            cluster,
            placement,
            commandReconciler,
            failureDetector,
            scaleIn,
            scaleOut,
            outstandingDecisions);
    this.cancellation = new JobCancellation(cluster);
    this.logSummary =
        new LogSummary(
            cluster, commandReconciler.concurrencyLimit(), schedulingPass.costStatistics());
  }

  /** Replaces the machine types that the cloud offers, with their current prices. */
  public void updateMachineTypes(Map<String, MachineType> knownTypes) {
    cluster.updateMachineTypes(knownTypes);
  }

  /** Adds a job; does nothing if the job is already known. */
  public void addJob(JobSpec spec, boolean opened, BitSet doneTasks, long submittedMs) {
    if (cluster.jobs.containsKey(spec.id())) {
      return;
    }
    Job job =
        new Job(
            spec, submittedMs, opened, doneTasks, cluster.limits.objectivesFor(spec.jobClass()));
    job.inherited = opened;
    cluster.addJob(job);
  }

  /** Adds a machine that an earlier leader registered; until fenced it may hold any task. */
  public void addInheritedMachine(
      String machineName, String address, String typeName, String zone, boolean spot, long nowMs) {
    Machine machine =
        new Machine(machineName, address, typeName, zone, spot, Machine.State.UNRECONCILED, nowMs);
    machine.registered = true;
    machine.inherited = true;
    cluster.addMachine(machine);
  }

  /** Adds booting machines of a scale-out request; fewer than requested mean no capacity now. */
  public void onMachinesProvisioned(
      String requestId, List<String> machineNames, Decision.ProvisionMachines request, long nowMs) {
    scaleOut.onSettled(requestId);
    if (machineNames.size() < request.count()) {
      scaleOut.onNoCapacity(request, nowMs);
    }
    cluster.requestPass();
    for (String machineName : machineNames) {
      if (!cluster.machines.containsKey(machineName)) {
        cluster.addMachine(
            new Machine(
                machineName,
                null,
                request.typeName(),
                request.zone(),
                request.spot(),
                Machine.State.BOOTING,
                nowMs));
      }
    }
  }

  /** Handles a scale-out request that was rejected or failed. */
  public void onProvisioningFailed(
      String requestId, Decision.ProvisionMachines request, boolean noCapacity, long nowMs) {
    scaleOut.onSettled(requestId);
    if (noCapacity) {
      scaleOut.onNoCapacity(request, nowMs);
    }
    cluster.requestPass();
  }

  /** Records that the scale-out request with this id is in progress. */
  public void onProvisioningStarted(String requestId, Decision.ProvisionMachines request) {
    scaleOut.onRequested(requestId, request);
  }

  /** Restores where a service's replicas ran under an earlier leader: its image is cached there. */
  public void restorePlacement(String jobId, List<String> replicaMachineNames) {
    Job job = cluster.jobs.get(jobId);
    for (String machineName : replicaMachineNames) {
      Machine machine = cluster.machines.get(machineName);
      if (job != null && machine != null) {
        machine.touchImage(job.spec.image(), job.spec.imageGb());
      }
    }
  }

  /** Handles the durable opening of a job: its commands may be sent from now on. */
  public void onJobOpened(String jobId, long nowMs) {
    outstandingDecisions.onSettled(Kind.OPEN_JOB, jobId);
    Job job = cluster.jobs.get(jobId);
    if (job != null) {
      job.opened = true;
      job.openedMs = nowMs;
      cluster.jobsToOpen.remove(job);
      for (TaskAttempt attempt : job.attempts.values()) {
        cluster.machinesWithPendingCommands.add(attempt.machine);
      }
      cluster.requestPass();
    }
  }

  /** Handles a durable machine record: the incarnation that it was written for may get tasks. */
  public void onMachineRegistered(String machineName) {
    outstandingDecisions.onSettled(Kind.REGISTER_MACHINE, machineName);
    Machine machine = cluster.machines.get(machineName);
    if (machine == null) {
      return;
    }
    cluster.requestPass();
    if (machine.registeringIncarnation != null
        && machine.registeringIncarnation != machine.incarnation) {
      return; // the machine restarted during the write and is registered again
    }
    machine.registered = true;
    cluster.unregisteredMachines.remove(machine);
  }

  /** Handles a decision that could not be carried out: a later pass repeats it. */
  public void onDecisionFailed(Decision decision) {
    outstandingDecisions.onFailed(decision);
    cluster.requestPass();
  }

  /** Handles the durable end of a job. */
  public void onJobEnded(String jobId, boolean cancelled, long nowMs) {
    outstandingDecisions.onJobEnded(jobId);
    Job job = cluster.jobs.get(jobId);
    if (job != null) {
      LOG.info("job {} is {}: {}", jobId, cancelled ? "cancelled" : "done", job.endSummary(nowMs));
      cluster.endJob(job, cancelled);
    }
  }

  /** Cancels a job for its user: no more tasks of it start, though its end is not durable yet. */
  public void requestCancellation(String jobId) {
    cancellation.request(jobId);
  }

  /** Returns whether a cancellation confirmed now holds whatever older leaders still do. */
  public boolean canConfirmCancellation(String jobId) {
    return cancellation.canConfirm(jobId);
  }

  /**
   * Returns whether a task of the job may still start without a further command. This ends when the
   * machine reports the outcome, is gone, or its lease expires.
   */
  public boolean mayStillStart(String jobId) {
    Job job = cluster.jobs.get(jobId);
    return job != null && job.mayStillStart();
  }

  /** Returns whether an unrenewed lease expires within the time promised for a cancellation. */
  public static boolean leaseFitsCancellationTime(DeploymentLimits limits) {
    return JobCancellation.leaseFitsCancellationTime(limits);
  }

  /** Returns whether a worker showed a higher fencing token: another leader has taken over. */
  public boolean isDeposed() {
    return heartbeatReconciler.isDeposed();
  }

  /** Returns whether this leader seems to be partitioned from most machines. */
  public boolean isIsolated() {
    return schedulingPass.fleetVisibility().isLeaderPartitioned();
  }

  /** Returns what share of the machines that should send heartbeats do so; 1 if there are none. */
  public double observedShare() {
    return schedulingPass.fleetVisibility().observedShare();
  }

  /** Handles the results of those peers that answered a request to probe machines. */
  public void onPeerProbeResults(
      Decision.ProbeThroughPeers peerProbe, List<Decision.PeerProbeResult> results) {
    failureDetector.onPeerProbeResults(peerProbe, results);
    if (!results.isEmpty()) {
      schedulingPass.requestPlan(); // the results may allow releases at once
    }
  }

  /** Returns whether the term has to end because its attempt numbers are used up. */
  public boolean hasExhaustedAttemptNumbers() {
    return cluster.attemptNumbers.isExhausted();
  }

  /** Returns whether some machines are neither reconciled with this term nor gone yet. */
  public boolean isReconciling() {
    return cluster.hasUnreconciledMachines();
  }

  /** Returns whether something changed that a pass may act on. */
  public boolean isPassRequested() {
    return cluster.isPassRequested();
  }

  /** Records that this process was suspended for a while. */
  public void onProcessResumed(long nowMs) {
    cluster.heartbeatTiming.onProcessResumed(nowMs);
  }

  /** Records that the leader key was still in place at this revision of the store. */
  public void onLeadershipConfirmed(long revision) {
    cluster.fencingTokens.onLeadershipConfirmed(revision);
  }

  /** Records until when it is certain that no other node can lead. */
  public void extendLeaseCertainty(long leaseCertainUntilMs) {
    cluster.incarnations.extendLeaseCertainty(leaseCertainUntilMs);
  }

  /**
   * Handles a heartbeat, received at {@code receivedMs}. Returns null if it must not be answered,
   * since a response would renew the lease of an incarnation that this leader may not know.
   */
  public HeartbeatResponse onHeartbeat(Heartbeat heartbeat, long receivedMs, long nowMs) {
    return heartbeatHandler.onHeartbeat(heartbeat, receivedMs, nowMs);
  }

  /** Records that the response just returned waits; see {@link HeartbeatResponse#maxDelayMs}. */
  public void deferResponse(Heartbeat heartbeat) {
    heartbeatHandler.deferResponse(heartbeat);
  }

  /** Returns the response to send in place of a deferred one; null if it must not be sent. */
  public HeartbeatResponse completeDeferredResponse(Heartbeat heartbeat, long nowMs) {
    return heartbeatHandler.completeDeferredResponse(heartbeat, nowMs);
  }

  /** Returns whether queued direct commands are still due; settles them if not. */
  public boolean areDirectCommandsStillDue(Decision.SendCommands decision, long nowMs) {
    return directCommands.isStillDue(decision, nowMs);
  }

  /** Handles the result of direct commands; {@code heartbeat} is null if there was no answer. */
  public void onCommandResult(
      String machineName,
      boolean outcomeUnknown,
      Heartbeat heartbeat,
      long receivedMs,
      long nowMs) {
    directCommands.onResult(machineName, outcomeUnknown, heartbeat, receivedMs, nowMs);
  }

  /** Handles a complete machine list, requested at {@code requestedMs}. */
  public void onMachineList(
      Collection<ListedMachine> listedMachines, long requestedMs, long nowMs) {
    machineListReconciler.onMachineList(listedMachines, requestedMs, nowMs);
  }

  /** Handles the cloud's confirmation that these machines are released. */
  public void onMachinesReleased(List<String> machineNames, long nowMs) {
    scaleIn.onReleased(machineNames, nowMs);
  }

  /** Handles an unconfirmed release of these machines: a later pass repeats it. */
  public void onReleaseFailed(List<String> machineNames) {
    scaleIn.onReleaseFailed(machineNames);
  }

  /**
   * Runs one pass and returns its decisions in the order in which they are to be carried out. No
   * other node can lead before {@code leaseCertainUntilMs}.
   */
  public List<Decision> runPass(long nowMs, long leaseCertainUntilMs) {
    return schedulingPass.run(nowMs, leaseCertainUntilMs);
  }

  /** Returns a live job's progress for its user; null if this leader does not manage the job. */
  public JobProgress progress(String jobId) {
    Job job = cluster.jobs.get(jobId);
    if (job == null) {
      return null;
    }
    int running = job.runningCount();
    return new JobProgress(running > 0, job.doneCount(), running, job.isComplete());
  }

  /** The progress of a live job as its user sees it. */
  public record JobProgress(boolean running, int doneTasks, int runningTasks, boolean complete) {}

  /** Returns the done tasks of each job whose record is outdated, and clears that set of jobs. */
  public Map<String, BitSet> drainUnpersistedProgress() {
    return cluster.drainUnpersistedProgress();
  }

  /** Records that the completion of these tasks of the job is durable. */
  public void onProgressPersisted(String jobId, BitSet doneTasks) {
    Job job = cluster.jobs.get(jobId);
    if (job != null) {
      job.persistedDoneTasks.or(doneTasks);
    }
  }

  /** Returns a log line with jobs, machines, utilization, commands and cost. */
  public String clusterSummary() {
    return logSummary.clusterSummary();
  }

  /** Returns a log line with counts of what messages of machines proved. */
  public String reconciliationSummary() {
    String starts = cluster.startStatistics.summary();
    long raised = cluster.fencingTokens.raisedCount();
    return cluster.reconciliationLog.summary() + " tokens_raised=" + raised + " " + starts;
  }

  /** Returns a log line on service per class and team; warns about unstarted jobs. */
  public String serviceSummary(long nowMs) {
    return logSummary.serviceSummary(nowMs);
  }

  /** For tests: returns the number of checks of a job against a machine so far. */
  long candidateChecks() {
    return cluster.candidateChecks;
  }

  /** For tests: returns the number of decisions that are neither carried out nor failed. */
  int outstandingDecisionCount() {
    return outstandingDecisions.size();
  }

  /** For tests, which recompute the derived state and compare. */
  ClusterState cluster() {
    return cluster;
  }

  /** For tests: a live job, or null. */
  Job job(String jobId) {
    return cluster.jobs.get(jobId);
  }
}
