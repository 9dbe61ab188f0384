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

  /** Sends at once, or over a connection, where what is sent is decided once it is open. */
  void send(Decision.SendCommands decision) {
    if (!simulation.connectionOriented) {
      deliver(decision, decision.commands(), null, decision.timeoutMs());
      return;
    }
    long untilMs = controller.clock() + decision.timeoutMs();
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
            long timeoutMs = Math.max(1, untilMs - controller.clock());
            deliver(decision, wanted, workerIncarnation, timeoutMs);
          }
        });
  }

  private List<Command> commandsStillWanted(Decision.SendCommands decision) {
    boolean leaseCertain =
        term.isLeaseCertain() || controller.hasMutation(Mutation.STARTS_WITH_UNCERTAIN_LEASE);
    List<Command> wanted = term.scheduler().commandsStillWanted(decision, leaseCertain);
    controller.onStartsWithheld(decision.commands().size() - wanted.size());
    return wanted;
  }

  /**
   * Opens a connection to an incarnation of the machine; {@code done} gets null if none opened in
   * time. One that opened while this process paused is found when it resumes.
   */
  private void connect(String machine, long timeoutMs, Consumer<Integer> done) {
    int startedIn = controller.incarnation();
    Integer[] workerIncarnation = new Integer[1];
    boolean[] over = new boolean[1];
    Runnable end =
        () ->
            controller.runIn(
                startedIn,
                () -> {
                  if (!over[0]) {
                    over[0] = true;
                    done.accept(workerIncarnation[0]);
                  }
                });
    simulation.send(
        controller.name,
        machine,
        () -> {
          WorkerModel worker = simulation.workers.get(machine);
          if (worker != null && worker.isAlive()) {
            int accepted = worker.incarnation();
            simulation.send(
                machine,
                controller.name,
                () -> {
                  workerIncarnation[0] = accepted;
                  end.run();
                });
          }
        });
    simulation.after(timeoutMs, end);
  }

  /** {@code workerIncarnation}: the only one that may get them; null: any. */
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
                () -> answer.accept(worker.onCommands(term.token(), decision.epoch(), commands)));
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

  /** All of them, unless a mutation withholds stops. */
  List<Command> permitted(List<Command> commands) {
    boolean noStops =
        controller.hasMutation(Mutation.NO_STOPS_WITH_UNCERTAIN_LEASE) && !term.isLeaseCertain();
    boolean noStopsOfEnded = controller.hasMutation(Mutation.NO_STOPS_FOR_ENDED_JOBS);
    return commands.stream()
        .filter(
            command ->
                command.kind() != Command.Kind.STOP
                    || !(noStops || (noStopsOfEnded && !term.jobs().manages(command.jobId()))))
        .toList();
  }
}
