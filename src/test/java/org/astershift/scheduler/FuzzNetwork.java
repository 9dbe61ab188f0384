package org.astershift.scheduler;

import java.util.List;

/** Carries direct commands from a controller to a machine, and the answers back. */
final class FuzzNetwork {
  private final FuzzSimulation sim;

  FuzzNetwork(FuzzSimulation sim) {
    this.sim = sim;
  }

  /** Sends commands to a machine and reports the answer, or the lack of one, to the controller. */
  void sendDirect(FuzzController controller, Decision.SendCommands decision) {
    controller.handle(
        () -> {
          if (!controller.scheduler.areDirectCommandsStillDue(decision, controller.clock())) {
            return;
          }
          List<Command> commands =
              controller.scheduler.selectSendableCommands(
                  decision, controller.clock() < controller.leaseCertainUntilMs);
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
                if (!worker.alive
                    || (worker.incarnation != incarnation
                        && (!reachesNext || sim.store.leaseHolder != controller))) {
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
