package org.astershift.scheduler;

import java.util.List;

/** Handles heartbeats: reconciles the machine, places tasks on it and returns its commands. */
final class HeartbeatHandler {
  private final ClusterState cluster;
  private final MessageClassifier classifier;
  private final HeartbeatReconciler heartbeatReconciler;
  private final CommandReconciler commandReconciler;
  private final Placement placement;

  HeartbeatHandler(
      ClusterState cluster,
      MessageClassifier classifier,
      HeartbeatReconciler heartbeatReconciler,
      CommandReconciler commandReconciler,
      Placement placement) {
    this.cluster = cluster;
    this.classifier = classifier;
    this.heartbeatReconciler = heartbeatReconciler;
    this.commandReconciler = commandReconciler;
    this.placement = placement;
  }

  /** Returns the response, or null if the heartbeat must not be answered. */
  HeartbeatResponse onHeartbeat(Heartbeat heartbeat, long receivedMs, long nowMs) {
    if (cluster.removedMachines.contains(heartbeat.machineName())) {
      // Delayed; the machine is gone.
      return new HeartbeatResponse(
          cluster.fencingToken, commandReconciler.stopsForEndedJobs(heartbeat));
    }
    Machine machine = heartbeatReconciler.resolveSender(heartbeat, nowMs);
    if (heartbeatReconciler.isDeposed()) {
      return null;
    }
    List<Command> commands = createCommands(machine, heartbeat, receivedMs, nowMs);
    return commands == null
        ? null
        : new HeartbeatResponse(cluster.fencingTokens.of(machine), commands);
  }

  private List<Command> createCommands(
      Machine machine, Heartbeat heartbeat, long receivedMs, long nowMs) {
    MessageClassifier.Evidence evidence = classifier.classifyHeartbeat(machine, heartbeat);
    machine.history.add(
        MachineEvent.ofMessage(
            MachineEvent.Kind.HEARTBEAT, heartbeat, evidence, nowMs - receivedMs, nowMs));
    return switch (evidence) {
      case STALE -> {
        machine.staleMessageSeen = true;
        yield commandReconciler.stopsForEndedJobs(heartbeat);
      }
      case CONTRADICTORY -> {
        machine.staleMessageSeen = true;
        yield null;
      }
      case LIVENESS_ONLY -> {
        machine.staleMessageSeen = true;
        renewLease(machine, nowMs);
        yield commandReconciler.stopsForEndedJobs(heartbeat);
      }
      case CURRENT -> onCurrentHeartbeat(machine, heartbeat, nowMs);
      case RESTARTED, MAYBE_RESTARTED ->
          throw new IllegalStateException("unexpected evidence for a heartbeat: " + evidence);
    };
  }

  private List<Command> onCurrentHeartbeat(Machine machine, Heartbeat heartbeat, long nowMs) {
    boolean unfenced =
        !machine.fenced
            && machine.messageOrder.hasHeartbeat()
            && heartbeat.fencingToken() < cluster.fencingToken;
    machine.unfencedHeartbeatCount += unfenced ? 1 : 0;
    machine.messageOrder.onHeartbeat(heartbeat);
    heartbeatReconciler.recordIncarnation(machine, heartbeat, false, nowMs);
    heartbeatReconciler.recordContact(machine, heartbeat, nowMs);
    boolean previousAnswered = nowMs - machine.leaseFromMs < cluster.limits.leaseS() * 500;
    renewLease(machine, nowMs);
    int heldBefore = machine.heldAttemptCount();
    if (!heartbeatReconciler.reconcile(machine, heartbeat, previousAnswered, nowMs)) {
      return commandReconciler.stopsForEndedJobs(heartbeat);
    }
    placement.placeOnMachine(machine, nowMs);
    if (machine.heldAttemptCount() < heldBefore && placement.hasWaitingGang(machine)) {
      cluster.requestPass();
    }
    List<Command> commands = commandReconciler.createHeartbeatResponse(machine, nowMs);
    if (!commands.isEmpty()) {
      machine.history.add(
          MachineEvent.withoutMessage(
              MachineEvent.Kind.COMMANDS_IN_RESPONSE, machine, commands.size(), nowMs));
    }
    return commands;
  }

  private static void renewLease(Machine machine, long nowMs) {
    machine.leaseFromMs = nowMs;
    machine.leaseRenewedMs = nowMs;
  }
}
