package org.astershift.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.astershift.scheduler.Command;

/**
 * Delivers copies of direct commands that were executed and answered: at any time, right after an
 * attempt that they start was forgotten, and after a restart of the machine. All draws come from a
 * stream of their own.
 */
final class CommandCopies {
  private static final long FORGET_WINDOW_MS = 300;
  private static final long RESTART_WINDOW_MS = 1000;
  private static final long MAX_DELAY_MS = 60_000;

  /** Share of the occasions on which a copy is delivered. */
  double share;

  /** Copies that a later incarnation of the machine executed, as it had no token yet. */
  int executedWithoutToken;

  /** Copies that a later incarnation of the machine refused. */
  int refusedAfterRestart;

  private final Simulation simulation;
  private final Random random;
  private final Map<String, List<Execution>> executions = new HashMap<>();

  /** Direct commands that a machine has executed. */
  private record Execution(int incarnation, long token, long epoch, List<Command> commands) {
    boolean starts(String job, int index, long attempt) {
      return commands.stream()
          .anyMatch(
              command ->
                  command.kind() == Command.Kind.START
                      && command.jobId().equals(job)
                      && command.index() == index
                      && command.attemptNumber() == attempt);
    }
  }

  CommandCopies(Simulation simulation) {
    this.simulation = simulation;
    this.random = new Random(simulation.seed);
  }

  void onExecuted(WorkerModel worker, long token, long epoch, List<Command> commands) {
    if (share == 0) {
      return;
    }
    Execution execution = new Execution(worker.incarnation(), token, epoch, commands);
    executions.computeIfAbsent(worker.name, name -> new ArrayList<>()).add(execution);
    deliverIfDrawn(worker, execution, MAX_DELAY_MS);
  }

  void onForgotten(WorkerModel worker, Command forget) {
    for (Execution execution : executionsAt(worker)) {
      if (execution.starts(forget.jobId(), forget.index(), forget.attemptNumber())) {
        deliverIfDrawn(worker, execution, FORGET_WINDOW_MS);
      }
    }
  }

  void onRestarted(WorkerModel worker) {
    for (Execution execution : executionsAt(worker)) {
      deliverIfDrawn(worker, execution, RESTART_WINDOW_MS);
    }
  }

  private List<Execution> executionsAt(WorkerModel worker) {
    return List.copyOf(executions.getOrDefault(worker.name, List.of()));
  }

  private void deliverIfDrawn(WorkerModel worker, Execution execution, long withinMs) {
    if (share > 0 && random.nextDouble() < share) {
      simulation.after(
          1 + random.nextLong(withinMs), () -> worker.serve(() -> deliver(worker, execution)));
    }
  }

  private void deliver(WorkerModel worker, Execution execution) {
    boolean laterIncarnation = worker.incarnation() != execution.incarnation();
    boolean withoutToken = laterIncarnation && worker.fencingToken() == 0;
    simulation.log(worker.name, "gets a copy of " + execution);
    WorkerModel.CommandAnswer answer =
        worker.executeCommands(execution.token(), execution.epoch(), execution.commands());
    executedWithoutToken += withoutToken && answer.accepted() ? 1 : 0;
    refusedAfterRestart += laterIncarnation && !answer.accepted() ? 1 : 0;
  }
}
