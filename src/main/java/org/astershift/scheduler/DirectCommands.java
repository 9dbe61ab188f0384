package org.astershift.scheduler;

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
        || commandReconciler.isEmptyCommandStillDue(machine, nowMs)) {
      return true;
    }
    machine.directCommands.onSettled();
    requeueUrgentCommands(machine, nowMs);
    return false;
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
      machine.directCommands.onSettled();
      if (machine.epoch > 0 || machine.state == Machine.State.UNRECONCILED) {
        onNoAnswer(machine, outcomeUnknown, nowMs);
      }
    }
    requeueUrgentCommands(machine, nowMs);
    if (machine.heldAttemptCount() < heldBefore) {
      cluster.requestPass();
    }
  }

  private void onAnswer(Machine machine, Heartbeat answer, long waitedMs, long nowMs) {
    machine.directCommands.onSettled();
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
    resolveRestartSuspicion(machine, evidence, nowMs);
    heartbeatReconciler.recordIncarnation(machine, answer, true, nowMs);
    heartbeatReconciler.recordContact(machine, answer, nowMs);
    machine.token.onShown(answer.fencingToken(), nowMs);
    heartbeatReconciler.reconcile(machine, answer, false, nowMs);
    commandReconciler.dropNeverStarted(machine);
  }

  private void resolveRestartSuspicion(Machine machine, Evidence evidence, long nowMs) {
    if (evidence == Evidence.RESTARTED) {
      cluster.reconciliationLog.onRestartConfirmed();
      cluster.onMachineRestarted(machine, nowMs);
    } else if (evidence == Evidence.MAYBE_RESTARTED) {
      cluster.reconciliationLog.onRestartPresumed();
      cluster.onPossibleRestart(machine, nowMs);
    } else if (machine.restartSuspected) {
      cluster.reconciliationLog.onRestartRefuted();
    }
    machine.restartSuspected = false;
    if (answerLacksIncarnationToken(machine, evidence)) {
      // The next probe carries a token that identifies the new incarnation.
      machine.staleMessageSeen = true;
      machine.directCommands.permitImmediateProbe();
    }
  }

  private boolean answerLacksIncarnationToken(Machine machine, Evidence evidence) {
    return evidence != Evidence.CURRENT
        && cluster.fencingTokens.of(machine) < machine.token.minOfIncarnation;
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
  private void requeueUrgentCommands(Machine machine, long nowMs) {
    if (CommandReconciler.isUrgentCommandDue(machine, nowMs)) {
      cluster.machinesWithPendingCommands.add(machine);
      cluster.requestPass();
    }
  }
}
