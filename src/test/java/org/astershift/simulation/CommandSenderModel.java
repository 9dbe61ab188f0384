package org.astershift.simulation;

import java.util.List;
import java.util.function.Consumer;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Heartbeat;

/** Sends a leader's commands to workers. */
final class CommandSenderModel {
  private final ControllerModel controller;
  private final Simulation simulation;
  private final LeaderTermModel term;

  CommandSenderModel(ControllerModel controller, LeaderTermModel term) {
    this.controller = controller;
    this.simulation = controller.simulation;
    this.term = term;
  }

  /**
   * Sends commands at once, or over a connection, in which case the commands still wanted are
   * determined once it is open.
   */
  void send(Decision.SendCommands decision) {
    if (!simulation.connectionOriented) {
      deliver(decision, decision.commands(), null, decision.timeoutMs());
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
            List<Command> wanted = commandsStillWanted(decision);
            long timeoutMs = Math.max(1, deadlineMs - controller.clock());
            deliver(decision, wanted, workerIncarnation, timeoutMs);
          }
        });
  }

  private List<Command> commandsStillWanted(Decision.SendCommands decision) {
    boolean leaseCertain =
        term.isLeaseCertain() || controller.hasMutation(Mutation.STARTS_WITH_UNCERTAIN_LEASE);
    List<Command> wanted = term.scheduler().selectSendableCommands(decision, leaseCertain);
    controller.onStartsWithheld(decision.commands().size() - wanted.size());
    return wanted;
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
  private void deliver(
      Decision.SendCommands decision,
      List<Command> wanted,
      Integer workerIncarnation,
      long timeoutMs) {
    List<Command> commands = permitted(wanted);
    controller.request(
        decision.address(),
        timeoutMs,
        answer -> {
          WorkerModel worker = simulation.workers.get(decision.machineName());
          if (worker != null
              && (workerIncarnation == null || workerIncarnation == worker.incarnation())) {
            worker.serve(
                () ->
                    answer.accept(
                        worker.onCommands(
                            term.tokenToSend(decision.fencingToken()),
                            decision.epoch(),
                            commands)));
          }
        },
        (WorkerModel.CommandAnswer answer) ->
            simulation.messageQueueing.handleInTurn(
                controller,
                () -> {
                  if (term.isCurrent()) {
                    onAnswer(decision.machineName(), answer);
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
