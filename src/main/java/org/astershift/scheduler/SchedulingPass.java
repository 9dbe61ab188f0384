package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import org.astershift.scheduler.OutstandingDecisions.Kind;

/**
 * Runs scheduling passes: places waiting tasks, sends urgent commands and requests the records that
 * they need. A sweep over the fleet and the scaling plan run as parts of a pass, at intervals.
 */
final class SchedulingPass {
  /** Interval between sweeps for expired leases and silent machines. */
  private static final long SWEEP_INTERVAL_MS = 250;

  /** Interval between plans for scaling in and out. */
  private static final long SCALING_PLAN_INTERVAL_MS = 1000;

  /** Time after a failover in which unreconciled machines block scaling out. */
  private static final long SCALE_OUT_DELAY_AFTER_FAILOVER_MS = 5000;

  private final ClusterState cluster;
  private final Placement placement;
  private final CommandReconciler commandReconciler;
  private final FailureDetector failureDetector;
  private final ScaleIn scaleIn;
  private final ScaleOut scaleOut;
  private final OutstandingDecisions outstandingDecisions;
  private final LeaseExpiry leaseExpiry;
  private final CostStatistics costStatistics = new CostStatistics();
  private long lastSweepMs = Long.MIN_VALUE / 2;
  private long lastPlanMs = Long.MIN_VALUE / 2;
  private long firstPlanMs = -1;
  private FleetVisibility fleetVisibility = new FleetVisibility(0, 0, false, false);

  SchedulingPass(
      ClusterState cluster,
      Placement placement,
      CommandReconciler commandReconciler,
      FailureDetector failureDetector,
      ScaleIn scaleIn,
      ScaleOut scaleOut,
      OutstandingDecisions outstandingDecisions) {
    this.cluster = cluster;
    this.placement = placement;
    this.commandReconciler = commandReconciler;
    this.failureDetector = failureDetector;
    this.scaleIn = scaleIn;
    this.scaleOut = scaleOut;
    this.outstandingDecisions = outstandingDecisions;
    this.leaseExpiry = new LeaseExpiry(cluster);
  }

  /** Runs one pass; no other node can lead before {@code leaseCertainUntilMs}. */
  List<Decision> run(long nowMs, long leaseCertainUntilMs) {
    cluster.clearPassRequest();
    cluster.incarnations.extendLeaseCertainty(leaseCertainUntilMs);
    boolean leaseCertain = nowMs < leaseCertainUntilMs;
    boolean sweepDue = nowMs - lastSweepMs >= SWEEP_INTERVAL_MS;
    List<Decision> decisions = new ArrayList<>();
    if (sweepDue) {
      lastSweepMs = nowMs;
      leaseExpiry.sweep(nowMs, leaseCertainUntilMs);
      detectFailures(decisions, nowMs);
    }
    placement.runPass(nowMs);
    sendUrgentCommands(decisions, leaseCertain, nowMs);
    if (sweepDue) {
      fenceAndProbeMachines(decisions, nowMs);
    }
    registerMachines(decisions, nowMs);
    openJobs(decisions);
    persistPlacements(decisions);
    finishJobs(decisions);
    planScaling(decisions, leaseCertain, nowMs);
    deregisterMachines(decisions);
    return decisions;
  }

  /** Makes the next pass plan the scaling, regardless of the interval. */
  void requestPlan() {
    lastPlanMs = Long.MIN_VALUE / 2;
  }

  /** Returns how much of the fleet was visible at the last sweep. */
  FleetVisibility fleetVisibility() {
    return fleetVisibility;
  }

  CostStatistics costStatistics() {
    return costStatistics;
  }

  private void detectFailures(List<Decision> decisions, long nowMs) {
    failureDetector.assessFleet(nowMs);
    fleetVisibility = failureDetector.fleetVisibility();
    Decision.ProbeThroughPeers peerProbe = failureDetector.startPeerProbe(nowMs);
    if (peerProbe != null) {
      decisions.add(peerProbe);
    }
  }

  private void sendUrgentCommands(List<Decision> decisions, boolean leaseCertain, long nowMs) {
    List<Machine> machinesWithCommands = new ArrayList<>(cluster.machinesWithPendingCommands);
    cluster.machinesWithPendingCommands.clear();
    for (Machine machine : machinesWithCommands) {
      if (commandReconciler.isDeferredResponseDue(machine)) {
        commandReconciler.releaseDeferredResponse(machine);
        decisions.add(new Decision.SendDeferredResponse(machine.name));
      }
      if (!commandReconciler.canSendNow(machine)) {
        cluster.machinesWithPendingCommands.add(machine);
        continue;
      }
      Decision.SendCommands urgentCommands =
          commandReconciler.createUrgentCommands(machine, leaseCertain, nowMs);
      if (urgentCommands != null) {
        decisions.add(urgentCommands);
      } else if (machine.directCommands.isInFlight()) {
        cluster.machinesWithPendingCommands.add(machine);
      }
    }
  }

  private void fenceAndProbeMachines(List<Decision> decisions, long nowMs) {
    commandReconciler.concurrencyLimit().removeLost(nowMs);
    for (Machine machine : cluster.allMachines()) {
      Decision.SendCommands fenceOrProbe = commandReconciler.createFenceOrProbe(machine, nowMs);
      if (fenceOrProbe != null) {
        decisions.add(fenceOrProbe);
      }
    }
  }

  private void registerMachines(List<Decision> decisions, long nowMs) {
    for (Machine machine : cluster.unregisteredMachines) {
      if (!machine.unverified) {
        registerMachine(decisions, machine);
      }
    }
    Machine machine = cluster.fencingTokens.pollMachineToRegister(nowMs);
    if (machine != null && machine.registered && cluster.machines.get(machine.name) == machine) {
      registerMachine(decisions, machine);
    }
  }

  private void registerMachine(List<Decision> decisions, Machine machine) {
    if (outstandingDecisions.add(Kind.REGISTER_MACHINE, machine.name)) {
      decisions.add(
          new Decision.RegisterMachine(
              machine.name, machine.address, machine.typeName, machine.zone, machine.spot, false));
      machine.registeringIncarnation = machine.incarnation;
    }
  }

  private void openJobs(List<Decision> decisions) {
    for (Job job : cluster.jobsToOpen) {
      if (!job.cancellationRequested
          && !job.attempts.isEmpty()
          && outstandingDecisions.add(Kind.OPEN_JOB, job.spec.id())) {
        decisions.add(new Decision.OpenJob(job.spec.id(), job.replicaMachineNames()));
      }
    }
  }

  private void persistPlacements(List<Decision> decisions) {
    for (Job job : cluster.servicesToPersist) {
      if (job.state == Job.State.LIVE && !job.attempts.isEmpty()) {
        decisions.add(new Decision.PersistPlacement(job.spec.id(), job.replicaMachineNames()));
      }
    }
    cluster.servicesToPersist.clear();
  }

  private void finishJobs(List<Decision> decisions) {
    cluster.completionCandidates.removeIf(job -> !job.isComplete());
    for (Job job : cluster.completionCandidates) {
      if (outstandingDecisions.add(Kind.FINISH_JOB, job.spec.id())) {
        decisions.add(new Decision.FinishJob(job.spec.id()));
      }
    }
  }

  private void planScaling(List<Decision> decisions, boolean leaseCertain, long nowMs) {
    boolean planDue = nowMs - lastPlanMs >= SCALING_PLAN_INTERVAL_MS || scaleOut.isPlanDue();
    if (!planDue || cluster.machineTypes.all().isEmpty()) {
      return;
    }
    lastPlanMs = nowMs;
    costStatistics.accrue(cluster.allMachines(), nowMs);
    scaleIn.plan(decisions, leaseCertain, nowMs);
    firstPlanMs = firstPlanMs < 0 ? nowMs : firstPlanMs;
    // Unreconciled machines may already run tasks that seem to wait, or can take them once fenced.
    if (!cluster.hasUnreconciledMachines()
        || nowMs - firstPlanMs > SCALE_OUT_DELAY_AFTER_FAILOVER_MS) {
      scaleOut.plan(decisions, nowMs);
    }
  }

  private void deregisterMachines(List<Decision> decisions) {
    for (Decision.DeregisterMachine deregistration :
        cluster.removedMachines.drainDeregistrations()) {
      outstandingDecisions.onSettled(Kind.REGISTER_MACHINE, deregistration.machineName());
      decisions.add(deregistration);
    }
  }
}
