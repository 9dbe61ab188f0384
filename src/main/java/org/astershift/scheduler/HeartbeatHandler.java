package org.astershift.scheduler;

import java.util.List;

/** Handles heartbeats: reconciles the machine, places tasks on it and returns its commands. */
final class HeartbeatHandler {
  private final ClusterState cluster;
  private final MessageClassifier classifier;
  private final HeartbeatReconciler heartbeatReconciler;
  private final CommandReconciler commandReconciler;
  private final Placement placement;
  private final ResponseDelay responseDelay;

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
    this.responseDelay = new ResponseDelay(cluster.limits);
  }

  /** Returns the response, or null if the heartbeat must not be answered. */
  HeartbeatResponse onHeartbeat(Heartbeat heartbeat, long receivedMs, long nowMs) {
    if (cluster.removedMachines.contains(heartbeat.machineName())) {
      // Delayed; the machine is gone.
      return HeartbeatResponse.immediate(
          cluster.fencingToken, commandReconciler.stopsForEndedJobs(heartbeat));
    }
    Machine machine = heartbeatReconciler.resolveSender(heartbeat, nowMs);
    if (heartbeatReconciler.isDeposed()) {
      return null;
    }
    MessageClassifier.Evidence evidence = classifier.classifyHeartbeat(machine, heartbeat);
    machine.history.add(
        MachineEvent.ofMessage(
            MachineEvent.Kind.HEARTBEAT, heartbeat, evidence, nowMs - receivedMs, nowMs));
    List<Command> commands = createCommands(machine, heartbeat, evidence, nowMs);
    if (commands == null) {
      return null;
    }
    boolean mayWait = evidence == MessageClassifier.Evidence.CURRENT && isDeferrable(commands);
    long maxDelayMs = mayWait ? responseDelay.maxDelayMs(machine, nowMs - receivedMs) : 0;
    return createResponse(machine, commands, maxDelayMs);
  }

  /** Returns whether none of the commands is more urgent than a command that may become due. */
  private static boolean isDeferrable(List<Command> commands) {
    return commands.stream().allMatch(command -> command.kind() == Command.Kind.FORGET);
  }

  private HeartbeatResponse createResponse(
      Machine machine, List<Command> commands, long maxDelayMs) {
    machine.token.sentOnce = false;
    return new HeartbeatResponse(cluster.fencingTokens.of(machine), commands, maxDelayMs);
  }

  /** Records that the response to the machine's newest heartbeat waits for commands. */
  void deferResponse(Heartbeat heartbeat) {
    Machine machine = cluster.machines.get(heartbeat.machineName());
    machine.response.deferred = new DeferredResponse(heartbeat);
  }

  /**
   * Returns the response to a heartbeat whose response was deferred, or null if it must not be sent
   * any more, because the machine has gone on to its next heartbeat or may have restarted.
   */
  HeartbeatResponse completeDeferredResponse(Heartbeat heartbeat, long nowMs) {
    Machine machine = cluster.machines.get(heartbeat.machineName());
    if (machine == null
        || machine.response.deferred == null
        || !machine.response.deferred.isFor(heartbeat)
        || heartbeatReconciler.isDeposed()) {
      return null;
    }
    machine.response.deferred = null;
    List<Command> commands =
        createCommandsFromState(machine, StartStatistics.Carrier.DEFERRED_RESPONSE, nowMs);
    return createResponse(machine, commands, 0);
  }

  private List<Command> createCommands(
      Machine machine, Heartbeat heartbeat, MessageClassifier.Evidence evidence, long nowMs) {
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
        cluster.fencingTokens.raiseToIdentifyIncarnation(machine, nowMs);
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
    StartStatistics.Carrier carrier =
        machine.response.isHeartbeatRequested()
            ? StartStatistics.Carrier.REQUESTED_HEARTBEAT
            : StartStatistics.Carrier.HEARTBEAT;
    machine.response.reset();
    machine.token.onShown(heartbeat.fencingToken(), nowMs);
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
    return createCommandsFromState(machine, carrier, nowMs);
  }

  private List<Command> createCommandsFromState(
      Machine machine, StartStatistics.Carrier carrier, long nowMs) {
    List<Command> commands = commandReconciler.createHeartbeatResponse(machine, carrier, nowMs);
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
