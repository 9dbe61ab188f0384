package org.astershift.simulation;

import java.util.List;
import java.util.function.Consumer;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.HeartbeatResponse;

/** Sends a leader's commands to workers. */
final class CommandSenderModel {
  private static final long DIRECT_START_TIMEOUT_MS = 2500;

  private final ControllerModel controller;
  private final Simulation simulation;
  private final LeaderTermModel term;

  CommandSenderModel(ControllerModel controller, LeaderTermModel term) {
    this.controller = controller;
    this.simulation = controller.simulation;
    this.term = term;
  }

  /** Sends commands at once, or over a connection. */
  void send(Decision.SendCommands decision) {
    Request request =
        new Request(
            decision.machineName(), decision.fencingToken(), decision.epoch(), decision.commands());
    if (!simulation.connectionOriented) {
      deliver(request, null, decision.timeoutMs());
      return;
    }
    long deadlineMs = controller.clock() + decision.timeoutMs();
    connect(
        decision.address(),
        decision.timeoutMs(),
        workerIncarnation -> {
          if (workerIncarnation == null && term.isCurrent()) {
            term.scheduler()
                .onCommandResult(
                    decision.machineName(), false, null, controller.clock(), controller.clock());
          } else if (workerIncarnation != null) {
            deliver(request, workerIncarnation, Math.max(1, deadlineMs - controller.clock()));
          }
        });
  }

  /** Commands to a machine under a token, for an epoch. */
  private record Request(String machine, long token, long epoch, List<Command> commands) {}

  /** Sends the starts of a heartbeat response directly as well, as {@link Mutation} asks for. */
  void sendStartsDirectly(Heartbeat heartbeat, HeartbeatResponse response) {
    List<Command> starts =
        response.commands().stream()
            .filter(command -> command.kind() == Command.Kind.START)
            .toList();
    if (!starts.isEmpty()) {
      Request request =
          new Request(heartbeat.machineName(), response.fencingToken(), heartbeat.epoch(), starts);
      deliver(request, null, DIRECT_START_TIMEOUT_MS);
    }
  }

  /**
   * Opens a connection to an incarnation of the machine; {@code done} gets null if none opened in
   * time. A connection that opened while this process was paused is found on resuming.
   */
  private void connect(String machine, long timeoutMs, Consumer<Integer> done) {
    int startedIn = controller.incarnation();
    Integer[] workerIncarnation = new Integer[1];
    boolean[] isOver = new boolean[1];
    Runnable finish =
        () ->
            controller.runIn(
                startedIn,
                () -> {
                  if (!isOver[0]) {
                    isOver[0] = true;
                    done.accept(workerIncarnation[0]);
                  }
                });
    simulation.send(
        controller.name,
        machine,
        () -> {
          WorkerModel worker = simulation.workers.get(machine);
          if (worker != null && worker.isAlive()) {
            int acceptedBy = worker.incarnation();
            simulation.send(
                machine,
                controller.name,
                () -> {
                  workerIncarnation[0] = acceptedBy;
                  finish.run();
                });
          }
        });
    simulation.after(timeoutMs, finish);
  }

  /**
   * Delivers commands. {@code workerIncarnation} is the only incarnation that may receive them;
   * null for any.
   */
  private void deliver(Request request, Integer workerIncarnation, long timeoutMs) {
    List<Command> commands = permitted(request.commands());
    controller.request(
        request.machine(),
        timeoutMs,
        answer -> {
          WorkerModel worker = simulation.workers.get(request.machine());
          if (worker != null
              && (workerIncarnation == null || workerIncarnation == worker.incarnation())) {
            worker.serve(
                () -> answer.accept(worker.onCommands(request.token(), request.epoch(), commands)));
          }
        },
        (WorkerModel.CommandAnswer answer) ->
            simulation.messageQueueing.handleInTurn(
                controller,
                () -> {
                  if (term.isCurrent()) {
                    onAnswer(request.machine(), answer);
                  }
                }));
  }

  private void onAnswer(String machine, WorkerModel.CommandAnswer answer) {
    Heartbeat heartbeat = answer == null ? null : answer.heartbeat();
    if (heartbeat != null) {
      if (controller.hasMutation(Mutation.BELIEVE_OVERTAKEN_ANSWERS)) {
        heartbeat = simulation.messageQueueing.asNewest(controller.name, heartbeat);
      }
      simulation.messageQueueing.onHandled(controller.name, heartbeat, true);
    }
    term.schedulerWithLease()
        .onCommandResult(
            machine, answer == null, heartbeat, controller.clock(), controller.clock());
    if (heartbeat != null && controller.hasMutation(Mutation.COMMAND_ANSWERS_RENEW_LEASES)) {
      term.scheduler().onHeartbeat(heartbeat, controller.clock(), controller.clock());
    }
    term.stepDownIfDeposed(machine);
  }

  /** Returns all commands, except stops that a mutation withholds. */
  List<Command> permitted(List<Command> commands) {
    boolean withholdsStops =
        controller.hasMutation(Mutation.NO_STOPS_WITH_UNCERTAIN_LEASE) && !term.isLeaseCertain();
    boolean withholdsStopsOfEnded = controller.hasMutation(Mutation.NO_STOPS_FOR_ENDED_JOBS);
    return commands.stream()
        .filter(
            command ->
                command.kind() != Command.Kind.STOP
                    || !(withholdsStops
                        || (withholdsStopsOfEnded && !term.jobs().manages(command.jobId()))))
        .toList();
  }
}
