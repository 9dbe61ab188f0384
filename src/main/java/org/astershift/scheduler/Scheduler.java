package org.astershift.scheduler;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.astershift.scheduler.OutstandingDecisions.Kind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The scheduler of one leader's term: takes in events and returns decisions. Not thread-safe: the
 * caller holds the term's lock around each call. All times are milliseconds of one steady clock.
 *
 * <p>Safety rests on one principle: until a machine has acknowledged this term's fencing token, or
 * is provably gone, everything it might hold counts as held; see {@link ClusterState}.
 */
public final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

  /** From the time a heartbeat was due until the machine is probed, milliseconds. */
  public static final long SUSPECT_AFTER_MS = 400;

  /**
   * Milliseconds after which one of a few machines that this leader cannot fence is released though
   * another controller reaches it: until then no inherited job starts anything.
   */
  public static final long UNFENCED_RELEASE_MS = 15_000;

  /** Deadline of a peer's probe of a machine, milliseconds: within the peer's own deadline. */
  public static final int PEER_PROBE_TIMEOUT_MS = 800;

  /** Deadline of this leader's probe of a machine, milliseconds. */
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

  /** The scheduler of the term with this fencing token. */
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

  /** The cloud's machine types, with current prices. */
  public void updateMachineTypes(Map<String, MachineType> knownTypes) {
    cluster.updateMachineTypes(knownTypes);
  }

  /** Adds a job; one that is known already is left as it is. */
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

  /** Adds a machine that an earlier leader registered: it may hold anything until it is fenced. */
  public void addInheritedMachine(
      String machineName, String address, String typeName, String zone, boolean spot, long nowMs) {
    Machine machine =
        new Machine(machineName, address, typeName, zone, spot, Machine.State.UNRECONCILED, nowMs);
    machine.registered = true;
    machine.inherited = true;
    cluster.addMachine(machine);
  }

  /** Machines of a scale-out request, still booting; fewer than requested: no more capacity now. */
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

  /** A scale-out request was rejected or failed. */
  public void onProvisioningFailed(
      String requestId, Decision.ProvisionMachines request, boolean noCapacity, long nowMs) {
    scaleOut.onSettled(requestId);
    if (noCapacity) {
      scaleOut.onNoCapacity(request, nowMs);
    }
    cluster.requestPass();
  }

  /** A scale-out request with this id is in progress. */
  public void onProvisioningStarted(String requestId, Decision.ProvisionMachines request) {
    scaleOut.onRequested(requestId, request);
  }

  /** Where an earlier leader's record placed the replicas of a service: these have its image. */
  public void restorePlacement(String jobId, List<String> replicaMachineNames) {
    Job job = cluster.jobs.get(jobId);
    for (String machineName : replicaMachineNames) {
      Machine machine = cluster.machines.get(machineName);
      if (job != null && machine != null) {
        machine.touchImage(job.spec.image(), job.spec.imageGb());
      }
    }
  }

  /** The job's opening is durable: commands for it may go out from now on. */
  public void onJobOpened(String jobId) {
    outstandingDecisions.onSettled(Kind.OPEN_JOB, jobId);
    Job job = cluster.jobs.get(jobId);
    if (job != null) {
      job.opened = true;
      cluster.jobsToOpen.remove(job);
      for (TaskAttempt attempt : job.attempts.values()) {
        cluster.commandsPending.add(attempt.machine);
      }
      cluster.requestPass();
    }
  }

  /** The machine's record is durable: the incarnation it was written for may get tasks. */
  public void onMachineRegistered(String machineName) {
    outstandingDecisions.onSettled(Kind.REGISTER_MACHINE, machineName);
    Machine machine = cluster.machines.get(machineName);
    if (machine == null) {
      return;
    }
    cluster.requestPass();
    if (machine.registeringIncarnation != null
        && machine.registeringIncarnation != machine.incarnation) {
      return; // it restarted during the write, and is registered again
    }
    machine.registered = true;
    cluster.unregistered.remove(machine);
  }

  /** A decision could not be carried out; a later pass repeats it. */
  public void onDecisionFailed(Decision decision) {
    outstandingDecisions.onFailed(decision);
    cluster.requestPass();
  }

  /** The job's end is durable. */
  public void onJobEnded(String jobId, boolean cancelled, long nowMs) {
    outstandingDecisions.onJobEnded(jobId);
    Job job = cluster.jobs.get(jobId);
    if (job != null) {
      LOG.info("job {} is {}: {}", jobId, cancelled ? "cancelled" : "done", job.endSummary(nowMs));
      cluster.endJob(job, cancelled);
    }
  }

  /** A user cancels the job: nothing of it starts any more, though its end is not durable yet. */
  public void requestCancellation(String jobId) {
    cancellation.request(jobId);
  }

  /** Whether a cancellation confirmed now would be kept, whatever older leaders still do. */
  public boolean canConfirmCancellation(String jobId) {
    return cancellation.canConfirm(jobId);
  }

  /**
   * Whether a task of the job may still start without a further command: a start is in flight or
   * unconfirmed, or an image is being fetched, until the machine shows the outcome, is gone, or its
   * lease expires.
   */
  public boolean mayStart(String jobId) {
    Job job = cluster.jobs.get(jobId);
    return job != null && job.mayStart();
  }

  /** Whether a lease that nobody renews expires within the time promised for a cancellation. */
  public static boolean leaseFitsCancellationTime(DeploymentLimits limits) {
    return JobCancellation.leaseFitsCancellationTime(limits);
  }

  /** Whether a worker showed a higher fencing token: another leader has taken over. */
  public boolean isDeposed() {
    return heartbeatReconciler.deposed();
  }

  /** Whether most machines seem to be out of this leader's reach. */
  public boolean isIsolated() {
    FleetVisibility visibility = schedulingPass.fleetVisibility();
    return visibility.isolated() || visibility.inboundPartitioned();
  }

  /** Share of the machines expected to send heartbeats that are not overdue; 1 without any. */
  public double observedShare() {
    FleetVisibility visibility = schedulingPass.fleetVisibility();
    return visibility.machines() == 0
        ? 1
        : 1 - (double) visibility.overdue() / visibility.machines();
  }

  /** The results of those peers that answered a request to probe machines. */
  public void onPeerProbeResults(
      Decision.ProbeThroughPeers peerProbe, List<Decision.PeerProbeResult> results) {
    failureDetector.onPeerProbeResults(peerProbe, results);
    if (!results.isEmpty()) {
      schedulingPass.requestPlan(); // machines that may be released now should not wait
    }
  }

  /** Whether the term has to end because its attempt numbers are used up. */
  public boolean hasExhaustedAttemptNumbers() {
    return cluster.attemptNumbers.isExhausted();
  }

  /** Whether machines of earlier leaders are neither reconciled nor gone yet. */
  public boolean isReconciling() {
    return cluster.hasUnreconciledMachines();
  }

  /** Whether something changed that a pass may act on. */
  public boolean passRequested() {
    return cluster.passRequested();
  }

  /** This process was suspended for a while. */
  public void onProcessResumed(long nowMs) {
    cluster.heartbeatTiming.onProcessResumed(nowMs);
  }

  /** No other node can lead up to this time, as far as is known now. */
  public void extendLeaseCertainty(long leaseCertainUntilMs) {
    cluster.incarnations.extendLeaseCertainty(leaseCertainUntilMs);
  }

  /**
   * Takes in a heartbeat, received at {@code receivedMs}, that is to be answered with this term's
   * token. Returns the commands of the response, or null if it must not be answered, since that
   * would renew a lease of which nothing is known.
   */
  public List<Command> onHeartbeat(Heartbeat heartbeat, long receivedMs, long nowMs) {
    return heartbeatHandler.onHeartbeat(heartbeat, receivedMs, nowMs);
  }

  /** Whether direct commands whose turn has come are still due; if not they are settled. */
  public boolean directCommandsStillDue(Decision.SendCommands decision, long nowMs) {
    return directCommands.isStillDue(decision, nowMs);
  }

  /**
   * The commands to send now that the decision's turn has come and its connection exists. Left out
   * are starts of jobs that are over or being cancelled, which the user may have been told
   * meanwhile, and all other starts unless {@code leaseCertain}: only then did the incarnation at
   * the other end exist before any later leader, which either fences it or sees its next
   * incarnation before it starts the task elsewhere. Heartbeat responses carry what is left out.
   */
  public List<Command> commandsStillWanted(Decision.SendCommands decision, boolean leaseCertain) {
    return directCommands.stillWanted(decision, leaseCertain);
  }

  /** Result of direct commands; {@code heartbeat} is null without an answer. */
  public void onCommandResult(
      String machineName,
      boolean outcomeUnknown,
      Heartbeat heartbeat,
      long receivedMs,
      long nowMs) {
    directCommands.onResult(machineName, outcomeUnknown, heartbeat, receivedMs, nowMs);
  }

  /** A complete list that was requested at {@code requestedMs} and arrived at {@code nowMs}. */
  public void onMachineList(
      Collection<ListedMachine> listedMachines, long requestedMs, long nowMs) {
    machineListReconciler.onMachineList(listedMachines, requestedMs, nowMs);
  }

  /** The cloud confirmed the release of these machines. */
  public void onMachinesReleased(List<String> machineNames, long nowMs) {
    scaleIn.onReleased(machineNames, nowMs);
  }

  /** The release of these machines was not confirmed: a later pass repeats it. */
  public void onReleaseFailed(List<String> machineNames) {
    scaleIn.onReleaseFailed(machineNames);
  }

  /**
   * Runs one pass and returns its decisions in the order in which they are to be carried out. Up to
   * {@code leaseCertainUntilMs} no other node can have led beside this one.
   */
  public List<Decision> runPass(long nowMs, long leaseCertainUntilMs) {
    return schedulingPass.run(nowMs, leaseCertainUntilMs);
  }

  /** State of a live job for its user; null if this leader does not manage it. */
  public JobProgress progress(String jobId) {
    Job job = cluster.jobs.get(jobId);
    if (job == null) {
      return null;
    }
    int running = job.runningCount();
    return new JobProgress(running > 0, job.doneCount(), running, job.isComplete());
  }

  /** A live job as its user sees it. */
  public record JobProgress(boolean running, int doneTasks, int runningTasks, boolean complete) {}

  /** The done tasks of jobs whose record is behind. */
  public Map<String, BitSet> drainUnpersistedProgress() {
    return cluster.drainUnpersistedProgress();
  }

  /** The job's record shows these tasks as done. */
  public void onProgressPersisted(String jobId, BitSet doneTasks) {
    Job job = cluster.jobs.get(jobId);
    if (job != null) {
      job.persistedDoneTasks.or(doneTasks);
    }
  }

  /** One line for the log: jobs, machines, utilization, commands and cost. */
  public String clusterSummary() {
    return logSummary.clusterLine();
  }

  /** A line for the log with what was concluded from messages of machines. */
  public String reconciliationSummary() {
    return cluster.reconciliationLog.summary();
  }

  /** A line for the log with the service of each class and team; warns of unstarted jobs. */
  public String serviceSummary(long nowMs) {
    return logSummary.serviceLine(nowMs);
  }

  /** For tests: checks of a job against a machine so far. */
  long candidateChecks() {
    return cluster.candidateChecks;
  }

  /** For tests: decisions that have not been carried out yet. */
  int outstandingDecisionCount() {
    return outstandingDecisions.size();
  }

  /** For tests, which recompute its derived state. */
  ClusterState cluster() {
    return cluster;
  }

  /** For tests: a live job. */
  Job job(String jobId) {
    return cluster.jobs.get(jobId);
  }
}
