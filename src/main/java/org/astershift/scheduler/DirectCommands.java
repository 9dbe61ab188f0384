package org.astershift.scheduler;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Direct commands after their decision: whether they are still due when their turn to be sent
 * comes, and what their result shows of the machine.
 */
final class DirectCommands {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommands.class);

  private final ClusterState cluster;
  private final HeartbeatReconciler heartbeatReconciler;
  private final CommandReconciler commandReconciler;

  DirectCommands(
      ClusterState cluster,
      HeartbeatReconciler heartbeatReconciler,
      CommandReconciler commandReconciler) {
    this.cluster = cluster;
    this.heartbeatReconciler = heartbeatReconciler;
    this.commandReconciler = commandReconciler;
  }

  /** Whether the decision should still be carried out; if not, it is settled here. */
  boolean stillDue(Decision.SendCommands decision, long nowMs) {
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

  /** The commands of the decision without starts that must not go out any more. */
  List<Command> stillWanted(Decision.SendCommands decision, boolean leaseCertain) {
    return decision.commands().stream()
        .filter(
            command ->
                command.kind() != Command.Kind.START
                    || (leaseCertain
                        && (startWanted(command.jobId()) || accompaniedByStop(decision, command))))
        .toList();
  }

  /** Whether a start goes with its stop, of a job whose end was not confirmed to its user. */
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

  /** The result of a direct command; {@code heartbeat} is null without an answer. */
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
    CommandReconciler.onSettled(machine, outcomeUnknown);
    int heldBefore = machine.heldAttemptCount();
    if (heartbeat != null && heartbeat.machineName().equals(machineName)) {
      onAnswer(machine, heartbeat, nowMs - receivedMs, nowMs);
    } else if (machine.epoch > 0 || machine.state == Machine.State.UNRECONCILED) {
      onNoAnswer(machine, outcomeUnknown, nowMs);
    }
    requeueUrgentCommands(machine);
    if (machine.heldAttemptCount() < heldBefore) {
      cluster.requestPass();
    }
  }

  /** The machine's status in its answer is newer than all that was known when it was asked. */
  private void onAnswer(Machine machine, Heartbeat heartbeat, long waitedMs, long nowMs) {
    heartbeatReconciler.senderOf(heartbeat, nowMs);
    if (heartbeatReconciler.deposed()) {
      return;
    }
    machine.consecutiveUnanswered = 0;
    machine.staleMessageSeen = false;
    MachineEvent.Kind kind = kindOf(machine, heartbeat, nowMs);
    machine.history.add(MachineEvent.ofMessage(kind, heartbeat, waitedMs, nowMs));
    if (!heartbeat.newerThan(machine.epoch, machine.sequence)
        && kind != MachineEvent.Kind.ANSWER_RESTARTED) {
      cluster.reconciliationLog.onAnswerOvertaken(machine, nowMs);
    }
    switch (kind) {
      case ANSWER_RESTARTED -> {
        cluster.reconciliationLog.onRestartConfirmed();
        cluster.onMachineRestarted(machine, nowMs);
      }
      case ANSWER_MAYBE_RESTARTED -> {
        cluster.reconciliationLog.onRestartPresumed();
        cluster.onPossibleRestart(machine, nowMs);
      }
      default -> {
        if (machine.restartSuspected) {
          cluster.reconciliationLog.onRestartRefuted();
        }
      }
    }
    machine.restartSuspected = false;
    heartbeatReconciler.trackIncarnation(machine, heartbeat, true, nowMs);
    heartbeatReconciler.recordContact(machine, heartbeat, nowMs);
    heartbeatReconciler.reconcile(machine, heartbeat, false, nowMs);
    commandReconciler.dropNeverStarted(machine);
  }

  private MachineEvent.Kind kindOf(Machine machine, Heartbeat answer, long nowMs) {
    if (!machine.directCommands.precedes(answer)) {
      return MachineEvent.Kind.ANSWER_RESTARTED;
    }
    if (machine.restartSuspected
        && !cluster.incarnations.isProvenSameIncarnation(machine, answer, nowMs)) {
      return MachineEvent.Kind.ANSWER_MAYBE_RESTARTED;
    }
    return answer.newerThan(machine.epoch, machine.sequence)
        ? MachineEvent.Kind.ANSWER_CURRENT
        : MachineEvent.Kind.ANSWER_OVERTAKEN;
  }

  private void onNoAnswer(Machine machine, boolean outcomeUnknown, long nowMs) {
    machine.directCommands.onUnanswered(outcomeUnknown);
    machine.history.add(
        MachineEvent.withoutMessage(MachineEvent.Kind.NO_ANSWER, machine, 0, nowMs));
    machine.consecutiveUnanswered++;
    if (machine.consecutiveUnanswered == Machine.INBOUND_PARTITION_TRIES
        && !cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs)) {
      LOG.info("inbound partition, no new tasks: machine={}", machine.name);
    }
  }

  /** Has the next pass send what was decided while another command was in flight. */
  private void requeueUrgentCommands(Machine machine) {
    if (CommandReconciler.urgentCommandDue(machine)) {
      cluster.commandsPending.add(machine);
      cluster.requestPass();
    }
  }
}
