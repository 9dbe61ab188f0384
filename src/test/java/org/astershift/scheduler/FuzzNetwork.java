package org.astershift.scheduler;

import java.util.List;
import java.util.Random;

/**
 * Carries direct commands from a controller to a machine, and the answers back. Under every second
 * seed copies of executed commands arrive later; their draws come from a stream of their own.
 */
final class FuzzNetwork {
  private static final double COPY_SHARE = 0.4;
  private static final int SHORT_COPY_DELAY_MS = 3000;
  private static final int LONG_COPY_DELAY_MS = 90_000;

  private final FuzzSimulation sim;
  private final Random copyRandom;
  private final double copyShare;

  FuzzNetwork(FuzzSimulation sim, long seed) {
    this.sim = sim;
    this.copyRandom = new Random(seed);
    this.copyShare = seed % 2 == 0 ? COPY_SHARE : 0;
  }

  /** Delivers a copy of executed commands later, if drawn, to any incarnation of the machine. */
  private void copyIfDrawn(FuzzWorker worker, Decision.SendCommands decision, List<Command> sent) {
    if (copyShare == 0 || copyRandom.nextDouble() >= copyShare) {
      return;
    }
    int maxDelayMs = copyRandom.nextBoolean() ? SHORT_COPY_DELAY_MS : LONG_COPY_DELAY_MS;
    sim.after(
        copyRandom.nextInt(maxDelayMs),
        () -> {
          if (worker.alive) {
            sim.count("copy of commands");
            worker.runOrDefer(
                () -> worker.onDirectCommands(decision.fencingToken(), decision.epoch(), sent));
          }
        });
  }

  /** Sends commands to a machine and reports the answer, or the lack of one, to the controller. */
  void sendDirect(FuzzController controller, Decision.SendCommands decision) {
    controller.handle(
        () -> {
          if (!controller.scheduler.areDirectCommandsStillDue(decision, controller.clock())) {
            return;
          }
          List<Command> commands = decision.commands();
          FuzzWorker worker = sim.workers.get(decision.machineName());
          boolean[] hasResult = {false};
          if (worker == null || !worker.alive) {
            sim.after(
                sim.random.nextInt(decision.timeoutMs()),
                () ->
                    controller.handle(
                        () ->
                            controller.scheduler.onCommandResult(
                                decision.machineName(),
                                false,
                                null,
                                controller.clock(),
                                controller.clock())));
            return;
          }
          int incarnation = worker.incarnation;
          long sentMs = sim.nowMs;
          sim.after(
              decision.timeoutMs(),
              () -> {
                if (!hasResult[0]) {
                  hasResult[0] = true;
                  sim.count("command without answer");
                  controller.handle(
                      () ->
                          controller.scheduler.onCommandResult(
                              decision.machineName(),
                              true,
                              null,
                              controller.clock(),
                              controller.clock()));
                }
              });
          long delayMs = controller.linkDelayMs(worker.name, "down");
          if (delayMs < 0) {
            return;
          }
          boolean reachesNext = sim.chance(0.5);
          sim.after(
              delayMs,
              () -> {
                // Commands that were delayed in flight may reach the next incarnation of the
                // machine.
                if (!worker.alive || (worker.incarnation != incarnation && !reachesNext)) {
                  return;
                }
                worker.runOrDefer(
                    () -> {
                      if (sim.nowMs - sentMs > decision.timeoutMs()) {
                        sim.count("late command");
                      }
                      Heartbeat heartbeat =
                          worker.onDirectCommands(
                              decision.fencingToken(), decision.epoch(), commands);
                      copyIfDrawn(worker, decision, commands);
                      long backMs = controller.linkDelayMs(worker.name, "up");
                      if (backMs >= 0) {
                        sim.after(
                            backMs,
                            () -> {
                              if (!hasResult[0]) {
                                hasResult[0] = true;
                                controller.handle(
                                    () ->
                                        controller.scheduler.onCommandResult(
                                            decision.machineName(),
                                            false,
                                            heartbeat,
                                            controller.clock(),
                                            controller.clock()));
                              }
                            });
                      }
                    });
              });
        });
  }
}
