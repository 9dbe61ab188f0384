package org.astershift.scheduler;

import java.util.List;

/** The heartbeats of a worker: one at a time, to one controller until that fails to answer. */
final class FuzzHeartbeats {
  private final FuzzSimulation sim;
  private final FuzzWorker worker;
  private FuzzController target;

  /** Number of the heartbeat that waits for its answer; what answers an earlier one is late. */
  private int outstanding;

  private boolean awaitingAnswer;
  private long lastSentMs = -1000;

  FuzzHeartbeats(FuzzSimulation sim, FuzzWorker worker) {
    this.sim = sim;
    this.worker = worker;
  }

  /** The worker restarts. */
  void reset() {
    outstanding++;
    awaitingAnswer = false;
  }

  void sendIfDue() {
    boolean due =
        sim.now - lastSentMs
            >= FuzzSimulation.HEARTBEAT_INTERVAL_MS * 3 / 4
                + sim.random.nextInt((int) FuzzSimulation.HEARTBEAT_INTERVAL_MS / 2);
    if (!worker.hung
        && !awaitingAnswer
        && (due || (worker.changed && sim.now - lastSentMs >= 500))) {
      send();
    }
  }

  private void send() {
    worker.changed = false;
    lastSentMs = sim.now;
    if (target == null || target.over) {
      target =
          sim.controllers.isEmpty()
              ? null
              : sim.controllers.get(sim.random.nextInt(sim.controllers.size()));
    }
    long sentMs = sim.now;
    long sentEpoch = worker.epoch;
    Heartbeat heartbeat = worker.heartbeat();
    if (sim.chance(sim.copies)) {
      sim.count("copies");
      if (sim.random.nextInt(3) == 0) {
        sim.keptHeartbeats.add(heartbeat);
      } else {
        sim.after(500 + sim.random.nextInt(30_000), () -> sendCopyToAny(heartbeat));
      }
    }
    int number = ++outstanding;
    awaitingAnswer = true;
    worker.later(FuzzSimulation.ANSWER_TIMEOUT_MS, () -> onTimeout(number));
    FuzzController controller = target;
    if (controller == null) {
      return;
    }
    long delayMs = controller.linkDelayMs(worker.name, "up");
    if (delayMs < 0) {
      return;
    }
    int lifeThen = worker.incarnation;
    sim.after(
        delayMs,
        () ->
            controller.handle(
                () -> {
                  List<Command> commands =
                      controller.scheduler.onHeartbeat(
                          heartbeat, controller.clock(), controller.clock());
                  boolean accepted = commands != null && !controller.scheduler.isDeposed();
                  long backMs = controller.linkDelayMs(worker.name, "down");
                  if (backMs >= 0) {
                    sim.after(
                        backMs,
                        () -> {
                          if (worker.alive && lifeThen == worker.incarnation) {
                            worker.serve(
                                () ->
                                    onAnswer(
                                        number,
                                        accepted,
                                        controller.token,
                                        commands,
                                        sentMs,
                                        sentEpoch));
                          }
                        });
                  }
                }));
  }

  private void sendCopyToAny(Heartbeat heartbeat) {
    if (!sim.controllers.isEmpty()) {
      FuzzController controller = sim.controllers.get(sim.random.nextInt(sim.controllers.size()));
      controller.handle(
          () ->
              controller.scheduler.onHeartbeat(heartbeat, controller.clock(), controller.clock()));
    }
  }

  private void onTimeout(int number) {
    if (awaitingAnswer && outstanding == number) {
      changeController();
    }
  }

  private void changeController() {
    target = null;
    outstanding++;
    int number = outstanding;
    worker.later(
        1000,
        () -> {
          if (outstanding == number) {
            awaitingAnswer = false;
            worker.changed = true;
          }
        });
  }

  private void onAnswer(
      int number,
      boolean accepted,
      long fencingToken,
      List<Command> commands,
      long sentMs,
      long sentEpoch) {
    if (!awaitingAnswer || outstanding != number) {
      return;
    }
    if (sim.now - sentMs > FuzzSimulation.ANSWER_TIMEOUT_MS || !accepted) {
      changeController();
      return;
    }
    awaitingAnswer = false;
    if (fencingToken >= worker.token && sentEpoch == worker.epoch) {
      worker.onAnswer(fencingToken, commands, sentMs);
    }
  }
}
