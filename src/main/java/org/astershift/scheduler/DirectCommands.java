package org.astershift.scheduler;

import java.util.List;
import org.astershift.scheduler.MessageClassifier.Evidence;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles direct commands after they were decided: checks whether queued commands are still due,
 * and updates the machine from their results.
 */
final class DirectCommands {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommands.class);

  private final ClusterState cluster;
  private final MessageClassifier classifier;
  private final HeartbeatReconciler heartbeatReconciler;
  private final CommandReconciler commandReconciler;

  DirectCommands(
      ClusterState cluster,
      MessageClassifier classifier,
      HeartbeatReconciler heartbeatReconciler,
      CommandReconciler commandReconciler) {
    this.cluster = cluster;
    this.classifier = classifier;
    this.heartbeatReconciler = heartbeatReconciler;
    this.commandReconciler = commandReconciler;
  }

  /**
   * Returns whether the decision should still be carried out; if not, settles the machine's direct
   * command.
   */
  boolean isStillDue(Decision.SendCommands decision, long nowMs) {
    Machine machine = cluster.machines.get(decision.machineName());
    if (machine == null
        || !decision.commands().isEmpty()
        || commandReconciler.isFenceOrProbeStillDue(machine, nowMs)) {
      return true;
    }
    CommandReconciler.onUnanswered(machine, false);
    requeueUrgentCommands(machine);
    return false;
  }

  /** Returns the commands of the decision without starts that must no longer be sent. */
  List<Command> selectSendableCommands(Decision.SendCommands decision, boolean leaseCertain) {
    return decision.commands().stream()
        .filter(
            command ->
                command.kind() != Command.Kind.START
                    || (leaseCertain
                        && (isStartWanted(command.jobId())
                            || isAccompaniedByStop(decision, command))))
        .toList();
  }

  /** Returns whether a start is sent with its stop, for a job whose end is not confirmed yet. */
  private boolean isAccompaniedByStop(Decision.SendCommands decision, Command start) {
    return cluster.jobs.containsKey(start.jobId())
        && decision.commands().stream()
            .filter(command -> command.kind() == Command.Kind.STOP)
            .anyMatch(
                command ->
                    command.jobId().equals(start.jobId()) && command.index() == start.index());
  }

  private boolean isStartWanted(String jobId) {
    Job job = cluster.jobs.get(jobId);
    return job != null && job.state == Job.State.LIVE && !job.cancellationRequested;
  }

  /** Handles the result of a direct command; {@code heartbeat} is null if there was no answer. */
  void onResult(
      String machineName,
      boolean outcomeUnknown,
      Heartbeat heartbeat,
      long receivedMs,
      long nowMs) {
    commandReconciler.concurrencyLimit().onSettled(machineName, heartbeat != null, nowMs);
    Machine machine = cluster.machines.get(machineName);
    if (machine == null) {
      return;
    }
    int heldBefore = machine.heldAttemptCount();
    if (heartbeat != null && heartbeat.machineName().equals(machineName)) {
      onAnswer(machine, heartbeat, nowMs - receivedMs, nowMs);
    } else {
      CommandReconciler.onUnanswered(machine, outcomeUnknown);
      if (machine.epoch > 0 || machine.state == Machine.State.UNRECONCILED) {
        onNoAnswer(machine, outcomeUnknown, nowMs);
      }
    }
    requeueUrgentCommands(machine);
    if (machine.heldAttemptCount() < heldBefore) {
      cluster.requestPass();
    }
  }

  private void onAnswer(Machine machine, Heartbeat answer, long waitedMs, long nowMs) {
    CommandReconciler.onAnswered(machine, MessageClassifier.isOvertaken(machine, answer));
    heartbeatReconciler.resolveSender(answer, nowMs);
    if (heartbeatReconciler.isDeposed()) {
      return;
    }
    Evidence evidence = classifier.classifyAnswer(machine, answer, nowMs);
    machine.history.add(
        MachineEvent.ofMessage(MachineEvent.Kind.ANSWER, answer, evidence, waitedMs, nowMs));
    machine.directCommands.onReceiptProven();
    if (evidence == Evidence.STALE) {
      cluster.reconciliationLog.onAnswerOvertaken(machine, nowMs);
      machine.staleMessageSeen = machine.restartSuspected;
      return;
    }
    machine.staleMessageSeen = false;
    resolveRestartSuspicion(machine, evidence, answer, nowMs);
    heartbeatReconciler.recordIncarnation(machine, answer, true, nowMs);
    heartbeatReconciler.recordContact(machine, answer, nowMs);
    heartbeatReconciler.reconcile(machine, answer, false, nowMs);
    commandReconciler.dropNeverStartedOrRefused(machine, answer);
  }

  private void resolveRestartSuspicion(
      Machine machine, Evidence evidence, Heartbeat answer, long nowMs) {
    if (evidence == Evidence.RESTARTED) {
      cluster.reconciliationLog.onRestartConfirmed();
      cluster.onMachineRestarted(machine, answer, nowMs);
    } else if (evidence == Evidence.MAYBE_RESTARTED) {
      cluster.reconciliationLog.onRestartPresumed();
      cluster.onPossibleRestart(machine, answer, nowMs);
    } else if (machine.restartSuspected) {
      cluster.reconciliationLog.onRestartRefuted();
    }
    machine.restartSuspected = false;
    if (evidence != Evidence.CURRENT
        && machine.attempts.values().stream().anyMatch(TaskAttempt::isStartPending)) {
      // The next probe carries a token under which the machine refuses these starts.
      machine.staleMessageSeen = true;
      machine.directCommands.permitImmediateProbe();
    }
  }

  private void onNoAnswer(Machine machine, boolean outcomeUnknown, long nowMs) {
    machine.directCommands.onUnanswered(outcomeUnknown);
    machine.history.add(
        MachineEvent.withoutMessage(MachineEvent.Kind.NO_ANSWER, machine, 0, nowMs));
    if (machine.directCommands.consecutiveUnansweredCount() == Machine.INBOUND_PARTITION_TRIES
        && !cluster.heartbeatTiming.isHeartbeatOverdue(machine, nowMs)) {
      LOG.info("inbound partition, machine gets no new tasks: machine={}", machine.name);
    }
  }

  /** Makes the next pass send commands that became due while another one was in flight. */
  private void requeueUrgentCommands(Machine machine) {
    if (CommandReconciler.isUrgentCommandDue(machine)) {
      cluster.machinesWithPendingCommands.add(machine);
      cluster.requestPass();
    }
  }
}
