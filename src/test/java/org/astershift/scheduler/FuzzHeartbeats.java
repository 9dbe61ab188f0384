package org.astershift.scheduler;

/**
 * Sends the heartbeats of a worker, one at a time, to the same controller until that controller
 * fails to answer.
 */
final class FuzzHeartbeats {
  private final FuzzSimulation sim;
  private final FuzzWorker worker;
  private FuzzController target;

  /** Number of the heartbeat whose answer is awaited; answers to earlier ones are discarded. */
  private int outstandingNumber;

  private boolean awaitingAnswer;
  private long lastSentMs = -1000;

  FuzzHeartbeats(FuzzSimulation sim, FuzzWorker worker) {
    this.sim = sim;
    this.worker = worker;
  }

  /** Discards the outstanding heartbeat when the worker restarts. */
  void reset() {
    outstandingNumber++;
    awaitingAnswer = false;
  }

  void sendIfDue() {
    boolean isDue =
        sim.nowMs - lastSentMs
            >= FuzzSimulation.HEARTBEAT_INTERVAL_MS * 3 / 4
                + sim.random.nextInt((int) FuzzSimulation.HEARTBEAT_INTERVAL_MS / 2);
    if (!worker.hung
        && !awaitingAnswer
        && (isDue || (worker.statusChanged && sim.nowMs - lastSentMs >= 500))) {
      send();
    }
  }

  private void send() {
    worker.statusChanged = false;
    lastSentMs = sim.nowMs;
    if (target == null || target.terminated) {
      target =
          sim.controllers.isEmpty()
              ? null
              : sim.controllers.get(sim.random.nextInt(sim.controllers.size()));
    }
    long sentMs = sim.nowMs;
    long sentEpoch = worker.epoch;
    Heartbeat heartbeat = worker.heartbeat();
    if (sim.chance(sim.copies)) {
      sim.count("copies");
      if (sim.random.nextInt(3) == 0) {
        sim.heartbeatsForNextLeader.add(heartbeat);
      } else {
        sim.after(500 + sim.random.nextInt(30_000), () -> sendCopyToAny(heartbeat));
      }
    }
    int number = ++outstandingNumber;
    awaitingAnswer = true;
    worker.afterInIncarnation(FuzzSimulation.ANSWER_TIMEOUT_MS, () -> onTimeout(number));
    FuzzController controller = target;
    if (controller == null) {
      return;
    }
    long delayMs = controller.linkDelayMs(worker.name, "up");
    if (delayMs < 0) {
      return;
    }
    int sentIncarnation = worker.incarnation;
    sim.after(
        delayMs,
        () ->
            controller.handle(
                () -> {
                  controller.answerHeartbeat(
                      heartbeat,
                      (response, accepted) -> {
                        long backMs = controller.linkDelayMs(worker.name, "down");
                        if (backMs >= 0) {
                          sim.after(
                              backMs,
                              () -> {
                                if (worker.alive && sentIncarnation == worker.incarnation) {
                                  worker.runOrDefer(
                                      () ->
                                          onAnswer(number, accepted, response, sentMs, sentEpoch));
                                }
                              });
                        }
                      });
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
    if (awaitingAnswer && outstandingNumber == number) {
      switchController();
    }
  }

  private void switchController() {
    target = null;
    outstandingNumber++;
    int number = outstandingNumber;
    worker.afterInIncarnation(
        1000,
        () -> {
          if (outstandingNumber == number) {
            awaitingAnswer = false;
            worker.statusChanged = true;
          }
        });
  }

  private void onAnswer(
      int number, boolean accepted, HeartbeatResponse response, long sentMs, long sentEpoch) {
    if (!awaitingAnswer || outstandingNumber != number) {
      return;
    }
    if (sim.nowMs - sentMs > FuzzSimulation.ANSWER_TIMEOUT_MS || !accepted) {
      switchController();
      return;
    }
    awaitingAnswer = false;
    if (response.fencingToken() >= worker.token && sentEpoch == worker.epoch) {
      worker.onAnswer(response.fencingToken(), response.commands(), sentMs);
    }
  }
}
