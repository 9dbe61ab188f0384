package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.ClockBounds;
import org.astershift.scheduler.OutstandingDecisions.Kind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one leader is told and decides during its term. One thread at a time may use it.
 *
 * <p>Safety rests on one principle: until a machine answers to this term's token, or is provably
 * gone, everything it might hold counts as held; see {@link ClusterState}.
 */
public final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

  /** Milliseconds between looks for leases that ran out and machines that are silent. */
  private static final long SWEEP_INTERVAL_MS = 250;

  /** Milliseconds after a report was due before the machine is asked directly. */
  public static final long SUSPECT_AFTER_MS = 400;

  /**
   * Milliseconds after which one of a few machines that this leader cannot make listen is given
   * back though another controller reaches it: until then no job opened before starts anything.
   */
  public static final long UNFENCED_RELEASE_MS = 15_000;

  /** Deadline of such a question to a machine, milliseconds: within that of the controller's. */
  public static final int PEER_PROBE_TIMEOUT_MS = 800;

  /** Deadline of the question whether a machine is there, milliseconds. */
  public static final int MACHINE_PROBE_TIMEOUT_MS = 1000;

  /** Milliseconds of a term in which nothing is rented while machines are still to be heard. */
  private static final long PROVISION_AFTER_FAILOVER_MS = 5000;

  /** Milliseconds between rent plans. */
  private static final long PROVISION_PLAN_INTERVAL_MS = 1000;

  private final ClusterState cluster;
  private final HeartbeatReconciler heartbeatReconciler;
  private final CommandReconciler commandReconciler;
  private final Placement placement;
  private final FailureDetector failureDetector;
  private final ScaleIn scaleIn;
  private final ScaleOut scaleOut;
  private final CostStatistics costStatistics = new CostStatistics();
  private final OutstandingDecisions outstandingDecisions = new OutstandingDecisions();
  private long lastSweepMs = Long.MIN_VALUE / 2;
  private long lastPlanMs = Long.MIN_VALUE / 2;
  private long firstPlanMs = -1;
  private FailureDetector.FleetVisibility fleetVisibility =
      new FailureDetector.FleetVisibility(0, 0, false, false);

  /** The scheduler of one term, whose token this is. */
  public Scheduler(DeploymentLimits limits, SchedulingPolicy policy, long fencingToken) {
    this.cluster = new ClusterState(limits, policy, fencingToken);
    this.heartbeatReconciler = new HeartbeatReconciler(cluster);
    this.commandReconciler = new CommandReconciler(cluster);
    this.placement = new Placement(cluster);
    this.failureDetector = new FailureDetector(cluster);
    this.scaleIn = new ScaleIn(cluster, failureDetector);
    this.scaleOut = new ScaleOut(cluster);
  }

  // ---- what the loops around it tell ----

  /** The cloud's machine types, with current prices. */
  public void updateMachineTypes(Map<String, MachineType> knownTypes) {
    cluster.updateMachineTypes(knownTypes);
  }

  /** Takes in a job; a job known already is left as it is. */
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

  /** A machine that an earlier leader named: it may hold anything until it is heard. */
  public void addInheritedMachine(
      String machineName, String address, String typeName, String zone, boolean spot, long nowMs) {
    Machine machine =
        new Machine(machineName, address, typeName, zone, spot, Machine.State.UNRECONCILED, nowMs);
    machine.registered = true;
    machine.inherited = true;
    cluster.addMachine(machine);
  }

  /** Machines a rental brought, still booting; fewer than asked for: there are no more now. */
  public void onMachinesProvisioned(
      String rentalId, List<String> machineNames, Decision.ProvisionMachines request, long nowMs) {
    scaleOut.onSettled(rentalId);
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

  /** A rental was refused or failed. */
  public void onProvisioningFailed(
      String rentalId, Decision.ProvisionMachines request, boolean noCapacity, long nowMs) {
    scaleOut.onSettled(rentalId);
    if (noCapacity) {
      scaleOut.onNoCapacity(request, nowMs);
    }
    cluster.requestPass();
  }

  /** A rental under this name is under way. */
  public void onProvisioningStarted(String rentalId, Decision.ProvisionMachines request) {
    scaleOut.onRequested(rentalId, request);
  }

  /** Where the replicas of a service were, as an earlier leader noted: these have its image. */
  public void restorePlacement(String jobId, List<String> replicaMachineNames) {
    Job job = cluster.jobs.get(jobId);
    for (String machineName : replicaMachineNames) {
      Machine machine = cluster.machines.get(machineName);
      if (job != null && machine != null) {
        machine.touchImage(job.spec.image(), job.spec.imageGb());
      }
    }
  }

  /** From now on commands for the job may go out. */
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

  /** The machine's record is durable: the incarnation for which it was asked may get tasks. */
  public void onMachineRegistered(String machineName) {
    outstandingDecisions.onSettled(Kind.REGISTER_MACHINE, machineName);
    Machine machine = cluster.machines.get(machineName);
    if (machine == null) {
      return;
    }
    cluster.requestPass();
    if (machine.registeringIncarnation != null
        && machine.registeringIncarnation != machine.incarnation) {
      return; // it restarted while the write was under way, and is asked for anew
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

  /** The user asked to cancel: nothing of it starts any more, though the end is not durable yet. */
  public void requestCancellation(String jobId) {
    Job job = cluster.jobs.get(jobId);
    if (job != null && !job.cancellationRequested) {
      job.cancellationRequested = true;
      for (TaskAttempt attempt : job.attempts.values()) {
        attempt.shortenGrace();
        cluster.commandsPending.add(attempt.machine);
      }
      cluster.requestPass();
    }
  }

  /**
   * Whether a cancellation could be kept if it were promised now: no machine that might hold one of
   * the job's tasks can still be renewed by an older leader, cut off together with it. Whoever
   * renews one from then on stops the task in the same answer, so it lives for a lease at most;
   * where users are promised less than that, none may be left.
   */
  public boolean canConfirmCancellation(String jobId) {
    Job job = cluster.jobs.get(jobId);
    if (job == null) {
      return true;
    }
    boolean mayOutliveConfirmation =
        !leaseFitsCancellationTime(cluster.limits) && job.hasAttempts();
    return !(job.inherited && cluster.anyUnreconciled())
        && !heldOnUnfencedMachine(job)
        && !mayOutliveConfirmation;
  }

  /**
   * Whether a task of the job may still start though no further command goes out: a start is on its
   * way or in doubt, or an image is being fetched. So until the machine shows what became of it, is
   * gone, or its lease has run out.
   */
  public boolean mayStart(String jobId) {
    Job job = cluster.jobs.get(jobId);
    return job != null && job.mayStart();
  }

  /** Whether a lease that nobody renews is over within the time promised for a cancellation. */
  public static boolean leaseFitsCancellationTime(DeploymentLimits limits) {
    return leaseMs(limits) <= limits.cancellationS() * 1000;
  }

  private static boolean heldOnUnfencedMachine(Job job) {
    for (TaskAttempt attempt : job.attempts.values()) {
      if (attempt.startSent && !attempt.machine.fenced && attempt.machine.inherited) {
        return true;
      }
    }
    return false;
  }

  /** A worker showed a higher token: another leader has taken over. */
  public boolean deposed() {
    return heartbeatReconciler.deposed();
  }

  /**
   * Whether most machines seem to be out of this leader's reach: those that it had heard, or most
   * of all that it has asked.
   */
  public boolean isolated() {
    return fleetVisibility.isolated() || fleetVisibility.inboundPartitioned();
  }

  /** Share of the machines that should report whose reports are not overdue here; 1 without any. */
  public double observedShare() {
    return fleetVisibility.machines() == 0
        ? 1
        : 1 - (double) fleetVisibility.overdue() / fleetVisibility.machines();
  }

  /** What those other controllers said that were asked and reach workers, as far as they know. */
  public void onPeerProbeResults(
      Decision.ProbeThroughPeers peerProbe, List<Decision.PeerProbeResult> results) {
    failureDetector.onPeerProbeResults(peerProbe, results);
    if (!results.isEmpty()) {
      lastPlanMs = Long.MIN_VALUE / 2; // what may go now should not wait for the next plan
    }
  }

  /** Whether this term has no attempt numbers left, so that it has to end. */
  public boolean attemptNumbersExhausted() {
    return cluster.attemptNumbers.exhausted();
  }

  /** Whether machines of earlier leaders are still to be heard or proved gone. */
  public boolean reconciling() {
    return cluster.anyUnreconciled();
  }

  /** Whether something happened that a pass may act on. */
  public boolean passRequested() {
    return cluster.passRequested();
  }

  /** This node did nothing for a while, though clocks ran on. */
  public void onProcessResumed(long nowMs) {
    cluster.heartbeatTiming.onProcessResumed(nowMs);
  }

  // ---- workers ----

  /**
   * Up to then no other node can lead beside this one, as far as is known now: what workers say is
   * judged by it.
   */
  public void extendLeaseCertainty(long leaseCertainUntilMs) {
    cluster.incarnations.extendLeaseCertainty(leaseCertainUntilMs);
  }

  /**
   * A report that is being answered under this token; gives the commands for the answer, or null if
   * it must not be answered, since that would renew a lease of which nothing is known.
   */
  public List<Command> onHeartbeat(Heartbeat heartbeat, long nowMs) {
    if (cluster.removedMachines.contains(heartbeat.machineName())) {
      return commandReconciler.stopsForEndedJobs(
          heartbeat); // a late report of a machine that is gone
    }
    Machine machine = heartbeatReconciler.senderOf(heartbeat, nowMs);
    if (heartbeatReconciler.deposed()) {
      return List.of();
    }
    switch (heartbeatReconciler.classify(machine, heartbeat)) {
      case STALE -> {
        machine.staleMessageSeen = true;
        return commandReconciler.stopsForEndedJobs(heartbeat);
      }
      case CONTRADICTORY -> {
        machine.staleMessageSeen = true;
        return null;
      }
      case LIVENESS_ONLY -> {
        machine.staleMessageSeen = true;
        machine.leaseFromMs = nowMs;
        machine.leaseRenewedMs = nowMs;
        return commandReconciler.stopsForEndedJobs(heartbeat);
      }
      default -> {}
    }
    machine.unfencedHeartbeats +=
        !machine.fenced
                && machine.heartbeatEpoch > 0
                && heartbeat.fencingToken() < cluster.fencingToken
            ? 1
            : 0;
    machine.heartbeatEpoch = heartbeat.epoch();
    machine.heartbeatSequence = heartbeat.sequence();
    heartbeatReconciler.trackIncarnation(machine, heartbeat, false, nowMs);
    heartbeatReconciler.recordContact(machine, heartbeat, nowMs);
    boolean previousAnswered = nowMs - machine.leaseFromMs < cluster.limits.leaseS() * 500;
    machine.leaseFromMs = nowMs;
    machine.leaseRenewedMs = nowMs;
    int heldBefore = machine.heldAttemptCount();
    if (!heartbeatReconciler.reconcile(machine, heartbeat, previousAnswered, nowMs)) {
      return commandReconciler.stopsForEndedJobs(heartbeat);
    }
    placement.placeOnMachine(machine, nowMs);
    if (machine.heldAttemptCount() < heldBefore && placement.hasWaitingGang(machine)) {
      cluster.requestPass();
    }
    return commandReconciler.heartbeatResponse(machine, nowMs);
  }

  /** Whether a direct order whose turn has come should still go out; if not it is settled. */
  public boolean directCommandsStillDue(Decision.SendCommands decision, long nowMs) {
    Machine machine = cluster.machines.get(decision.machineName());
    if (machine == null
        || !decision.commands().isEmpty()
        || commandReconciler.fenceOrProbeStillDue(machine, nowMs)) {
      return true;
    }
    CommandReconciler.onSettled(machine, false);
    requeueUrgentCommands(machine);
    return false;
  }

  /**
   * The orders of one whose turn has come, over a connection that exists by now, without starts of
   * jobs that are over or to be cancelled: it may have waited behind machines that do not answer
   * while its user was told that nothing of the job starts any more. Nor with any other start
   * unless no other node can lead yet: then the machine's life that has this connection was there
   * before any later leader, who makes it show a higher token, or hears its next life, which does
   * not have the connection, before starting the task elsewhere. What is left out goes with
   * answers.
   */
  public List<Command> commandsStillWanted(Decision.SendCommands decision, boolean leaseCertain) {
    return decision.commands().stream()
        .filter(
            command ->
                command.kind() != Command.Kind.START
                    || (leaseCertain
                        && (startWanted(command.jobId()) || accompaniedByStop(decision, command))))
        .toList();
  }

  /** Whether a start goes with its stop, of a job that is not over: nobody was told so yet. */
  private boolean accompaniedByStop(Decision.SendCommands decision, Command start) {
    return cluster.jobs.containsKey(start.jobId())
        && decision.commands().stream()
            .filter(command -> command.kind() == Command.Kind.STOP)
            .anyMatch(
                command ->
                    command.jobId().equals(start.jobId()) && command.index() == start.index());
  }

  private boolean startWanted(String jobId) {
    Job job = cluster.jobs.get(jobId);
    return job != null && job.state == Job.State.LIVE && !job.cancellationRequested;
  }

  /** Sends what was decided while a direct order to the machine waited or was under way. */
  private void requeueUrgentCommands(Machine machine) {
    if (CommandReconciler.urgentCommandDue(machine)) {
      cluster.commandsPending.add(machine);
      cluster.requestPass();
    }
  }

  /** Result of a direct order. {@code heartbeat} is null without an answer. */
  public void onCommandResult(
      String machineName, boolean outcomeUnknown, Heartbeat heartbeat, long nowMs) {
    commandReconciler.concurrencyLimit().onSettled(machineName, heartbeat != null, nowMs);
    Machine machine = cluster.machines.get(machineName);
    if (machine == null) {
      return;
    }
    CommandReconciler.onSettled(machine, outcomeUnknown);
    int heldBefore = machine.heldAttemptCount();
    if (heartbeat != null && heartbeat.machineName().equals(machineName)) {
      heartbeatReconciler.senderOf(heartbeat, nowMs);
      if (!heartbeatReconciler.deposed()) {
        machine.consecutiveUnanswered = 0;
        machine.staleMessageSeen = false;
        // What it says now is younger than all that was known when it was asked.
        if (!heartbeat.newerThan(machine.epochWhenCommandSent, machine.sequenceWhenCommandSent)) {
          cluster.onMachineRestarted(machine, nowMs);
        } else if (machine.restartSuspected
            && !cluster.incarnations.isProvenSameIncarnation(machine, heartbeat, nowMs)) {
          cluster.onPossibleRestart(machine, nowMs);
        }
        machine.restartSuspected = false;
        heartbeatReconciler.trackIncarnation(machine, heartbeat, true, nowMs);
        heartbeatReconciler.recordContact(machine, heartbeat, nowMs);
        heartbeatReconciler.reconcile(machine, heartbeat, false, nowMs);
        commandReconciler.dropNeverStarted(machine);
      }
    } else if (machine.epoch > 0 || machine.state == Machine.State.UNRECONCILED) {
      machine.directCommandLost |= outcomeUnknown;
      machine.directCommandFailures++;
      machine.silentCommandUnanswered |= machine.commandSentWhileSilent;
      machine.consecutiveUnanswered++;
      if (machine.consecutiveUnanswered == Machine.INBOUND_PARTITION_TRIES
          && !cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs)) {
        LOG.info("machine {} reports and answers nothing: nothing new goes there", machine.name);
      }
    }
    requeueUrgentCommands(machine);
    if (machine.heldAttemptCount() < heldBefore) {
      cluster.requestPass();
    }
  }

  // ---- the cloud ----

  /** One machine of a list. */
  public record ListedMachine(
      String name,
      String address,
      String typeName,
      String zone,
      boolean spot,
      String state,
      double ageS) {}

  /** A complete list that was asked for at {@code requestedMs} and arrived at {@code nowMs}. */
  public void onMachineList(
      Collection<ListedMachine> listedMachines, long requestedMs, long nowMs) {
    Set<String> listedNames = new HashSet<>();
    for (ListedMachine listedMachine : listedMachines) {
      listedNames.add(listedMachine.name());
      Machine machine = cluster.machines.get(listedMachine.name());
      if (listedMachine.state().equals("failed")) {
        cluster.removeMachine(listedMachine.name(), "listed as failed", nowMs);
        scaleIn.onFailed(listedMachine.name());
        continue;
      }
      if (machine == null) {
        if (cluster.removedMachines.contains(listedMachine.name())) {
          continue;
        }
        machine =
            new Machine(
                listedMachine.name(),
                listedMachine.address(),
                listedMachine.typeName(),
                listedMachine.zone(),
                listedMachine.spot(),
                Machine.State.BOOTING,
                // One that is up has its time to report from now on, however old it is.
                listedMachine.state().equals("running")
                    ? nowMs
                    : nowMs - (long) (listedMachine.ageS() * 1000));
        cluster.addMachine(machine);
        LOG.info(
            "machine {} ({} in {}) is listed and was not asked for: taken in",
            listedMachine.name(),
            listedMachine.typeName(),
            listedMachine.zone());
      }
      machine.lastListedMs = nowMs;
      machine.unverified = false;
      if (machine.address == null) {
        machine.address = listedMachine.address();
      }
    }
    long lagMs = (long) (2 * cluster.limits.listLagS() * 1000) + ClockBounds.CLOCK_MARGIN_MS;
    for (Machine machine : new ArrayList<>(cluster.allMachines())) {
      // Once listed, a machine stays listed until it is gone, and it is listed at the latest when
      // twice the lag has passed since it was there; but a list may be older than the last.
      if (!listedNames.contains(machine.name) && requestedMs > machine.lastListedMs + lagMs) {
        cluster.removeMachine(machine.name, "no longer listed", nowMs);
      }
    }
  }

  /** The cloud answered 200 to the return of these. */
  public void onMachinesReleased(List<String> machineNames, long nowMs) {
    scaleIn.onReleased(machineNames, nowMs);
  }

  /** A return did not get its answer: it is asked for again by a later pass. */
  public void onReleaseFailed(List<String> machineNames) {
    scaleIn.onReleaseFailed(machineNames);
  }

  // ---- the pass ----

  /**
   * One pass: placement, commands, records, and from time to time what is due by the clock. Up to
   * {@code leaseCertainUntilMs} no other node can have led beside this one.
   */
  public List<Decision> pass(long nowMs, long leaseCertainUntilMs) {
    cluster.clearPassRequest();
    cluster.incarnations.extendLeaseCertainty(leaseCertainUntilMs);
    List<Decision> decisions = new ArrayList<>();
    boolean sweep = nowMs - lastSweepMs >= SWEEP_INTERVAL_MS;
    if (sweep) {
      lastSweepMs = nowMs;
      for (Machine machine : cluster.allMachines()) {
        expireLease(machine, Math.min(nowMs, leaseCertainUntilMs));
        cluster.heartbeatTiming.logOutboundPartition(machine, nowMs);
      }
      failureDetector.assessFleet(nowMs);
      fleetVisibility = failureDetector.fleetVisibility();
      Decision.ProbeThroughPeers peerProbe = failureDetector.nextPeerProbe(nowMs);
      if (peerProbe != null) {
        decisions.add(peerProbe);
      }
    }
    placement.runPass(nowMs);
    List<Machine> machinesWithCommands = new ArrayList<>(cluster.commandsPending);
    cluster.commandsPending.clear();
    for (Machine machine : machinesWithCommands) {
      if (!commandReconciler.maySendNow(machine)) {
        cluster.commandsPending.add(machine);
        continue;
      }
      Decision.SendCommands urgentCommands =
          commandReconciler.urgentCommands(machine, nowMs < leaseCertainUntilMs, nowMs);
      if (urgentCommands != null) {
        decisions.add(urgentCommands);
      } else if (machine.commandInFlight) {
        cluster.commandsPending.add(machine);
      }
    }
    if (sweep) {
      commandReconciler.concurrencyLimit().removeLost(nowMs);
      for (Machine machine : cluster.allMachines()) {
        Decision.SendCommands fenceOrProbe =
            commandReconciler.fenceOrProbe(machine, nowMs < leaseCertainUntilMs, nowMs);
        if (fenceOrProbe != null) {
          decisions.add(fenceOrProbe);
        }
      }
    }
    for (Machine machine : cluster.unregistered) {
      if (!machine.unverified && outstandingDecisions.add(Kind.REGISTER_MACHINE, machine.name)) {
        decisions.add(
            new Decision.RegisterMachine(
                machine.name,
                machine.address,
                machine.typeName,
                machine.zone,
                machine.spot,
                false));
        machine.registeringIncarnation = machine.incarnation;
      }
    }
    for (Job job : cluster.jobsToOpen) {
      if (!job.cancellationRequested
          && !job.attempts.isEmpty()
          && outstandingDecisions.add(Kind.OPEN_JOB, job.spec.id())) {
        decisions.add(new Decision.OpenJob(job.spec.id(), job.replicaMachineNames()));
      }
    }
    for (Job job : cluster.placementsToPersist) {
      if (job.state == Job.State.LIVE && !job.attempts.isEmpty()) {
        decisions.add(new Decision.PersistPlacement(job.spec.id(), job.replicaMachineNames()));
      }
    }
    cluster.placementsToPersist.clear();
    cluster.completionCandidates.removeIf(job -> !job.complete());
    for (Job job : cluster.completionCandidates) {
      if (outstandingDecisions.add(Kind.FINISH_JOB, job.spec.id())) {
        decisions.add(new Decision.FinishJob(job.spec.id()));
      }
    }
    boolean planDue = nowMs - lastPlanMs >= PROVISION_PLAN_INTERVAL_MS || scaleOut.planDue();
    if (planDue && !cluster.machineTypes.all().isEmpty()) {
      lastPlanMs = nowMs;
      plan(decisions, nowMs, nowMs < leaseCertainUntilMs);
    }
    List<Decision.DeregisterMachine> deregistrations =
        cluster.removedMachines.drainDeregistrations();
    deregistrations.forEach(
        deregistration ->
            outstandingDecisions.onSettled(Kind.REGISTER_MACHINE, deregistration.machineName()));
    decisions.addAll(deregistrations);
    return decisions;
  }

  private void plan(List<Decision> decisions, long nowMs, boolean leaseCertain) {
    costStatistics.accrue(cluster.allMachines(), nowMs);
    scaleIn.plan(decisions, leaseCertain, nowMs);
    firstPlanMs = firstPlanMs < 0 ? nowMs : firstPlanMs;
    // What is still to be heard of will take most of the queue, or runs it already.
    if (!cluster.anyUnreconciled() || nowMs - firstPlanMs > PROVISION_AFTER_FAILOVER_MS) {
      scaleOut.plan(decisions, nowMs);
    }
  }

  /**
   * A lease that has run out proves that the machine's tasks are gone, but only for the time in
   * which this node alone can have answered its reports: a leader that was cut off or stood still
   * must not take its own silence for the silence of all.
   */
  private void expireLease(Machine machine, long leaseCertainMs) {
    boolean leaseMatters =
        machine.state == Machine.State.LIVE || machine.state == Machine.State.RELEASING;
    long silentMs = leaseCertainMs - machine.leaseFromMs;
    if (!leaseMatters || !machine.fenced || silentMs <= leaseMs(cluster.limits)) {
      return;
    }
    int dropped = cluster.attempts.dropNonPending(machine);
    for (TaskAttempt attempt : machine.attempts.values()) {
      attempt.startLeaseExpired = true;
    }
    if (machine.state == Machine.State.LIVE || dropped > 0) {
      LOG.info("machine {} was not heard for {} ms: its lease has run out", machine.name, silentMs);
    }
    // A machine that is being returned is no more to be used, also while the cloud is away.
    if (machine.state == Machine.State.LIVE) {
      cluster.enterState(machine, Machine.State.LEASE_EXPIRED);
    }
  }

  /**
   * Counted from the receipt of the last report answered, which is later than its sending, or of
   * the first word of a new session, which is later than its beginning, plus the drift between
   * steady clocks and a margin.
   */
  private static long leaseMs(DeploymentLimits limits) {
    return (long) (limits.leaseS() * 1000 * (1 + 2 * ClockBounds.CLOCK_DRIFT_SHARE))
        + ClockBounds.CLOCK_MARGIN_MS;
  }

  // ---- what users and operators see ----

  /** State of a live job for its user; null if this leader does not look after it. */
  public JobProgress progress(String jobId) {
    Job job = cluster.jobs.get(jobId);
    if (job == null) {
      return null;
    }
    int running = job.runningCount();
    return new JobProgress(running > 0, job.doneCount(), running, job.complete());
  }

  /** A live job as its user sees it. */
  public record JobProgress(boolean running, int doneTasks, int runningTasks, boolean complete) {}

  /** The done tasks of jobs whose record lags behind. */
  public Map<String, BitSet> drainUnpersistedProgress() {
    Map<String, BitSet> doneTasksByJob = new LinkedHashMap<>();
    for (Job job : cluster.unpersistedProgress) {
      if (!job.complete()) {
        doneTasksByJob.put(job.spec.id(), (BitSet) job.doneTasks.clone());
      }
    }
    cluster.unpersistedProgress.clear();
    return doneTasksByJob;
  }

  /** These tasks of the job are done on record. */
  public void onProgressPersisted(String jobId, BitSet doneTasks) {
    Job job = cluster.jobs.get(jobId);
    if (job != null) {
      job.persistedDoneTasks.or(doneTasks);
    }
  }

  /** One line for the log. */
  public String summary() {
    int live = 0;
    int booting = 0;
    int waiting = 0;
    for (Machine machine : cluster.allMachines()) {
      live += machine.state == Machine.State.LIVE ? 1 : 0;
      booting += machine.state == Machine.State.BOOTING ? 1 : 0;
    }
    for (Job job : cluster.waitingJobs) {
      waiting += job.waitingCount();
    }
    return cluster.jobs.size()
        + " jobs, "
        + waiting
        + " tasks wait, "
        + live
        + " machines live, "
        + booting
        + " booting, "
        + (cluster.machines.size() - live - booting)
        + " other, "
        + cluster.utilization.summary()
        + ", "
        + commandReconciler.concurrencyLimit()
        + "; "
        + costStatistics;
  }

  /** A line for the log: what each class and team got; warns of one that gets nothing. */
  public String serviceSummary(long nowMs) {
    // What runs on machines not heard yet seems to wait.
    if (!cluster.anyUnreconciled()) {
      cluster.serviceStatistics.warnOfUnstarted(
          cluster.waitingJobs, cluster::teamQuotaAllows, nowMs);
    }
    return cluster.serviceStatistics.summary(cluster.jobs.values(), nowMs);
  }

  /** For tests: looks at a job for a machine so far. */
  long candidateChecks() {
    return cluster.candidateChecks;
  }

  /** For tests: decisions asked for once that have not been carried out yet. */
  int outstandingDecisionCount() {
    return outstandingDecisions.size();
  }

  /** For tests, which sum its books up anew. */
  ClusterState cluster() {
    return cluster;
  }

  /** For traces: a job as it stands. */
  Job job(String jobId) {
    return cluster.jobs.get(jobId);
  }
}
