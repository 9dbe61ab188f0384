package org.astershift.scheduler;

import java.util.List;

/** The heartbeats of a worker: one at a time, to one controller until that fails to answer. */
final class FuzzHeartbeats {
  private final FuzzSimulation sim;
  private final FuzzWorker worker;
  private FuzzController target;

  /** Number of the heartbeat that waits for its answer; what answers an earlier one is late. */
  private int outstanding;

  private boolean waits;
  private long lastSentMs = -1000;

  FuzzHeartbeats(FuzzSimulation sim, FuzzWorker worker) {
    this.sim = sim;
    this.worker = worker;
  }

  /** The worker restarts. */
  void reset() {
    outstanding++;
    waits = false;
  }

  void sendIfDue() {
    boolean due =
        sim.now - lastSentMs
            >= FuzzSimulation.REPORT_MS * 3 / 4
                + sim.random.nextInt((int) FuzzSimulation.REPORT_MS / 2);
    if (!worker.hung && !waits && (due || (worker.changed && sim.now - lastSentMs >= 500))) {
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
    long sentSession = worker.session;
    Heartbeat r = worker.heartbeat();
    if (sim.chance(sim.copies)) {
      sim.did("copies");
      if (sim.random.nextInt(3) == 0) {
        sim.kept.add(r);
      } else {
        sim.after(500 + sim.random.nextInt(30_000), () -> anywhere(r));
      }
    }
    int mine = ++outstanding;
    waits = true;
    worker.later(FuzzSimulation.ANSWER_MS, () -> gaveUp(mine));
    FuzzController to = target;
    if (to == null) {
      return;
    }
    long ms = to.way(worker.name, "up");
    if (ms < 0) {
      return;
    }
    int of = worker.life;
    sim.after(
        ms,
        () ->
            to.handle(
                () -> {
                  List<Command> orders = to.scheduler.onHeartbeat(r, to.clock());
                  boolean ok = orders != null && !to.scheduler.deposed();
                  long back = to.way(worker.name, "down");
                  if (back >= 0) {
                    sim.after(
                        back,
                        () -> {
                          if (worker.alive && of == worker.life) {
                            worker.serve(
                                () -> answered(mine, ok, to.token, orders, sentMs, sentSession));
                          }
                        });
                  }
                }));
  }

  private void anywhere(Heartbeat r) {
    if (!sim.controllers.isEmpty()) {
      FuzzController to = sim.controllers.get(sim.random.nextInt(sim.controllers.size()));
      to.handle(() -> to.scheduler.onHeartbeat(r, to.clock()));
    }
  }

  private void gaveUp(int mine) {
    if (waits && outstanding == mine) {
      next();
    }
  }

  private void next() {
    target = null;
    outstanding++;
    int mine = outstanding;
    worker.later(
        1000,
        () -> {
          if (outstanding == mine) {
            waits = false;
            worker.changed = true;
          }
        });
  }

  private void answered(
      int mine, boolean ok, long token, List<Command> orders, long sentMs, long sentSession) {
    if (!waits || outstanding != mine) {
      return;
    }
    if (sim.now - sentMs > FuzzSimulation.ANSWER_MS || !ok) {
      next();
      return;
    }
    waits = false;
    if (token >= worker.token && sentSession == worker.session) {
      worker.onAnswer(token, orders, sentMs);
    }
  }
}
