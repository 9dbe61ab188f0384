package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reconciles the known state of machines and their tasks with the status that workers send. */
final class HeartbeatReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

  private final ClusterState cluster;
  private final TaskExitHandler exitHandler;
  private final AttemptAdoption adoption;
  private boolean higherTokenSeen;

  HeartbeatReconciler(ClusterState cluster) {
    this.cluster = cluster;
    this.exitHandler = new TaskExitHandler(cluster);
    this.adoption = new AttemptAdoption(cluster, exitHandler);
  }

  /** Returns whether a worker sent a higher fencing token, so another leader has taken over. */
  boolean isDeposed() {
    return higherTokenSeen;
  }

  /**
   * Returns the machine that sent the message, regardless of the message's age. Fencing tokens only
   * grow, so a higher token deposes this leader even in a delayed copy. An unknown machine is added
   * to the cluster, but gets no tasks until it is verified.
   */
  Machine resolveSender(Heartbeat heartbeat, long nowMs) {
    if (cluster.fencingTokens.isOfLaterTerm(heartbeat.fencingToken())) {
      higherTokenSeen = true;
    }
    Machine machine = cluster.machines.get(heartbeat.machineName());
    if (machine == null) {
      machine =
          new Machine(
              heartbeat.machineName(),
              heartbeat.address(),
              heartbeat.typeName(),
              heartbeat.zone(),
              heartbeat.spot(),
              Machine.State.LIVE,
              nowMs);
      machine.unverified = true;
      cluster.addMachine(machine);
      LOG.info(
          "unknown machine adopted from its heartbeat: machine={} type={} zone={}",
          machine.name,
          machine.typeName,
          machine.zone);
    }
    return machine;
  }

  /**
   * Records to which incarnation a message belongs.
   *
   * @param isDirectAnswer whether the message answers direct commands of this leader
   */
  void recordIncarnation(Machine machine, Heartbeat heartbeat, boolean isDirectAnswer, long nowMs) {
    if (!machine.isNewestMessage(heartbeat)) {
      return;
    }
    boolean leaseUncertain = cluster.incarnations.isLeaseUncertain(nowMs);
    if (leaseUncertain
        && !cluster.incarnations.isSameIncarnation(machine, heartbeat, isDirectAnswer, nowMs)) {
      cluster.onUnprovenIncarnation(machine);
    }
    cluster.incarnations.onMessage(machine, heartbeat, isDirectAnswer, nowMs);
  }

  /**
   * Records the time of a message, and makes the machine live if its state allows. A message that
   * is not newer than the last one has no effect, because it may be a delayed copy from before the
   * machine's release, its loss or a failover.
   */
  void recordContact(Machine machine, Heartbeat heartbeat, long nowMs) {
    if (!machine.isNewestMessage(heartbeat)) {
      return;
    }
    machine.address = heartbeat.address();
    machine.lastMessageMs = nowMs;
    machine.firstMessageMs = machine.firstMessageMs < 0 ? nowMs : machine.firstMessageMs;
    cluster.zonePartitions.clear(machine.zone);
    if (cluster.fencingTokens.isOfThisTerm(heartbeat.fencingToken()) && !machine.fenced) {
      machine.messageOrder.onFenced(heartbeat);
      cluster.fence(machine, nowMs);
    }
    if (machine.state == Machine.State.BOOTING || machine.state == Machine.State.LEASE_EXPIRED) {
      LOG.info(
          "machine up: machine={} type={} zone={} after_ms={}",
          machine.name,
          machine.typeName,
          machine.zone,
          nowMs - machine.firstKnownMs);
      machine.idleSinceMs = nowMs;
      cluster.enterState(machine, Machine.State.LIVE);
    } else if (machine.state == Machine.State.UNRECONCILED && machine.fenced) {
      machine.idleSinceMs = nowMs;
      cluster.enterState(machine, Machine.State.LIVE);
    }
  }

  /**
   * Reconciles the machine's attempts with a message. Returns false if the message is not newer
   * than the last one.
   *
   * @param previousAnswered whether the previous heartbeat was answered well within a lease
   */
  boolean reconcile(Machine machine, Heartbeat heartbeat, boolean previousAnswered, long nowMs) {
    if (!machine.isNewestMessage(heartbeat)) {
      return false;
    }
    if (machine.epoch > 0 && heartbeat.epoch() > machine.epoch) {
      onNewEpoch(machine, previousAnswered);
    }
    if (heartbeat.epoch() > machine.epoch) {
      // The lease of the new epoch counts from the start of that epoch, possibly long after the
      // last heartbeat that arrived here. Counted from that heartbeat, the lease would appear
      // expired while tasks of the new epoch are running.
      machine.leaseFromMs = Math.max(machine.leaseFromMs, nowMs);
    }
    machine.epoch = heartbeat.epoch();
    machine.sequence = heartbeat.sequence();
    if (!machine.isInboundPartitionedUnreconciled()) {
      machine.directCommands.clearUnanswered();
    }
    recordPreemptionNotice(machine, heartbeat);
    List<Heartbeat.TaskStatus> unknownTasks = updateKnownAttempts(machine, heartbeat, nowMs);
    dropAbsentAttempts(machine, heartbeat);
    for (Heartbeat.TaskStatus status : unknownTasks) {
      adoption.adopt(machine, status, heartbeat.sequence(), nowMs);
    }
    if (!machine.isIdle()) {
      machine.idleSinceMs = nowMs;
    }
    return true;
  }

  /** Handles a later epoch: the worker's lease has expired, so tasks of earlier epochs are gone. */
  private void onNewEpoch(Machine machine, boolean previousAnswered) {
    if (previousAnswered) {
      machine.staleMessageSeen = true; // lease expired despite the answer: responses may be lost
    }
    List<TaskAttempt> ended = new ArrayList<>(machine.attempts.values());
    cluster.attempts.dropAll(machine, ended, DropReason.NEW_EPOCH);
  }

  private void recordPreemptionNotice(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.preemptionNoticeS() != null && machine.preemptionNoticeS == null) {
      LOG.info(
          "preemption notice: machine={} in_s={}", machine.name, heartbeat.preemptionNoticeS());
      cluster.requestPass();
    }
    machine.preemptionNoticeS = heartbeat.preemptionNoticeS();
  }

  /** Updates the known attempts that the message reports, and returns the unknown tasks. */
  private List<Heartbeat.TaskStatus> updateKnownAttempts(
      Machine machine, Heartbeat heartbeat, long nowMs) {
    List<Heartbeat.TaskStatus> unknownTasks = new ArrayList<>(0);
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      TaskAttempt attempt =
          machine.attempts.get(
              new TaskAttempt.Key(status.jobId(), status.index(), status.attemptNumber()));
      if (attempt == null) {
        unknownTasks.add(status);
      } else if (attempt.isExited() && status.phase() != Heartbeat.TaskPhase.EXITED) {
        // A direct start of an earlier version's leader was executed once more.
        cluster.reconciliationLog.onExitContradicted(attempt, status.phase(), nowMs);
        cluster.attempts.drop(attempt);
        unknownTasks.add(status);
      } else {
        attempt.lastReportedSequence = heartbeat.sequence();
        updateAttempt(attempt, status, nowMs);
      }
    }
    return unknownTasks;
  }

  /** Drops attempts that the machine reported before but not in the latest message. */
  private void dropAbsentAttempts(Machine machine, Heartbeat heartbeat) {
    List<TaskAttempt> absentAttempts = new ArrayList<>(0);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.phase != null && attempt.lastReportedSequence != heartbeat.sequence()) {
        absentAttempts.add(attempt);
      }
    }
    cluster.attempts.dropAll(machine, absentAttempts, DropReason.NOT_LISTED);
  }

  private void updateAttempt(TaskAttempt attempt, Heartbeat.TaskStatus status, long nowMs) {
    if (attempt.isExited() || attempt.phase == status.phase()) {
      return;
    }
    Job job = attempt.job;
    attempt.startSent = true;
    if (status.closesAttempt()) {
      job.closeAttempt(attempt.attemptNumber);
    }
    if (attempt.phase == null) {
      attempt.machine.directCommands.onReceiptProven();
    }
    if (status.phase() == Heartbeat.TaskPhase.EXITED) {
      exitHandler.onReportedExit(attempt, status, nowMs);
      return;
    }
    if (status.phase() != Heartbeat.TaskPhase.FETCHING) {
      onImagePresent(attempt, status.phase(), nowMs);
    }
    job.updatePhase(attempt, status.phase());
    cluster.attempts.stopRestOfGang(attempt);
  }

  private void onImagePresent(TaskAttempt attempt, Heartbeat.TaskPhase phase, long nowMs) {
    Job job = attempt.job;
    Machine machine = attempt.machine;
    if (attempt.phase == null || attempt.phase == Heartbeat.TaskPhase.FETCHING) {
      machine.touchImage(job.spec.image(), job.spec.imageGb());
    }
    if (phase == Heartbeat.TaskPhase.RUNNING && attempt.runningSinceMs < 0) {
      attempt.runningSinceMs = nowMs;
      cluster.serviceStatistics.onStarted(job, nowMs);
      LOG.debug(
          "task running: task={} machine={} after_ms={}",
          attempt.name(),
          machine.name,
          nowMs - attempt.placedMs);
    }
  }
}
