package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Faults of machines, links, controllers, the store and the cloud, until the seed calms down. */
final class FuzzFaults {
  private final FuzzSimulation sim;

  FuzzFaults(FuzzSimulation sim) {
    this.sim = sim;
  }

  private FuzzWorker anyWorker() {
    List<FuzzWorker> up = new ArrayList<>();
    for (FuzzWorker worker : sim.workers.values()) {
      if (worker.alive) {
        up.add(worker);
      }
    }
    return up.isEmpty() ? null : up.get(sim.random.nextInt(up.size()));
  }

  void injectFaults() {
    if (sim.nowMs >= sim.faultsEndMs) {
      endFaults();
      return;
    }
    FuzzWorker worker = anyWorker();
    if (worker != null) {
      if (sim.chance(sim.deaths)) {
        sim.count("deaths");
        sim.logEvent(worker.name + " dies");
        worker.shutDown(0);
      } else if (sim.chance(sim.restarts)) {
        sim.count("restarts");
        sim.logEvent(worker.name + " restarts");
        worker.shutDown(1 + sim.random.nextInt(4000));
      } else if (sim.chance(sim.hangs)) {
        sim.count("hangs");
        worker.hang(
            sim.random.nextInt(3) == 0
                ? 8000 + sim.random.nextInt(12_000)
                : sim.random.nextInt(6000));
      } else if (worker.spot && sim.chance(sim.preemptions)) {
        sim.count("preemptions");
        preempt(worker);
      }
      if (sim.chance(sim.cuts)) {
        cutLinks();
      }
    }
    FuzzController holder = sim.store.leaseHolder;
    if (sim.chance(sim.failovers)) {
      sim.count("failovers");
      switch (sim.random.nextInt(4)) {
        case 0 -> holder.terminated("crash");
        case 1, 2 -> holder.storeCut = true;
        default -> {
          holder.terminated("resigns");
          sim.store.leaseEndsMs = sim.nowMs - 1;
        }
      }
    }
    if (!sim.controllers.isEmpty() && sim.chance(sim.pauses)) {
      sim.count("pauses");
      pause(sim.controllers.get(sim.random.nextInt(sim.controllers.size())));
    }
    if (sim.chance(sim.outages)) {
      sim.count("outage");
      if (sim.random.nextInt(3) == 0) {
        sim.cloudDown = true;
        sim.after(1000 + sim.random.nextInt(10_000), () -> sim.cloudDown = false);
      } else {
        sim.storeDown = true;
        sim.after(
            1000 + sim.random.nextInt(sim.random.nextInt(4) == 0 ? 20_000 : 4000),
            () -> sim.storeDown = false);
      }
    }
    sim.after(sim.random.nextInt(1500), this::injectFaults);
  }

  private void preempt(FuzzWorker worker) {
    double noticeS = 2 + sim.random.nextInt(6);
    if (sim.random.nextInt(3) > 0) {
      worker.preemptionNoticeS = noticeS;
      worker.statusChanged = true;
    }
    int incarnation = worker.incarnation;
    sim.after(
        (long) (noticeS * 1000),
        () -> {
          if (worker.incarnation == incarnation) {
            sim.logEvent(worker.name + " is preempted");
            worker.shutDown(0);
            worker.preempted = true;
          }
        });
  }

  /** Of one machine, or a zone, towards one controller or all, one way or both, held or lost. */
  private void cutLinks() {
    sim.count("cuts");
    if (sim.controllers.isEmpty()) {
      return;
    }
    FuzzWorker one = anyWorker();
    boolean zone = one == null || sim.random.nextInt(3) == 0;
    String which = sim.random.nextBoolean() ? "a" : "b";
    boolean queued = sim.random.nextInt(3) == 0;
    FuzzController only = sim.controllers.get(sim.random.nextInt(sim.controllers.size()));
    int ways = sim.random.nextInt(3);
    boolean hold = sim.random.nextBoolean();
    long until = sim.nowMs + 500 + sim.random.nextInt(sim.random.nextInt(3) == 0 ? 30_000 : 6000);
    sim.logEvent("cut of " + (zone ? which : one.name) + " ways " + ways + " until " + until);
    for (FuzzWorker worker : sim.workers.values()) {
      if (zone ? !worker.zone.equals(which) : worker != one) {
        continue;
      }
      for (FuzzController controller : sim.controllers) {
        if (queued || controller == only) {
          for (String direction : List.of("up", "down")) {
            if (ways == 2 || direction.equals(ways == 0 ? "up" : "down")) {
              controller.cutUntilMs.put(worker.name + direction, until);
              controller.cutHoldsMessages.put(worker.name + direction, hold);
            }
          }
        }
      }
    }
  }

  private void pause(FuzzController controller) {
    if (controller.paused) {
      return;
    }
    controller.paused = true;
    sim.logEvent("controller " + controller.id + " stands still");
    sim.after(
        200 + sim.random.nextInt(sim.random.nextInt(3) == 0 ? 20_000 : 4000),
        () -> {
          controller.paused = false;
          controller.resumed = true;
          List<Runnable> queued = new ArrayList<>(controller.queuedInputs);
          controller.queuedInputs.clear();
          Collections.shuffle(queued, sim.random);
          queued.forEach(r -> sim.after(sim.random.nextInt(300), () -> controller.handle(r)));
        });
  }

  private void endFaults() {
    for (FuzzController controller : new ArrayList<>(sim.controllers)) {
      controller.cutUntilMs.clear();
      controller.storeCut &= controller != sim.store.leaseHolder;
      if (controller != sim.store.leaseHolder) {
        controller.terminated("ends");
      }
    }
    for (FuzzWorker worker : sim.workers.values()) {
      worker.faulty = false;
    }
  }
}
