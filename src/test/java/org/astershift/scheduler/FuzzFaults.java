package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Injects faults of machines, links, controllers, the store and the cloud until the time at which
 * the faults of the seed end.
 */
final class FuzzFaults {
  private final FuzzSimulation sim;

  FuzzFaults(FuzzSimulation sim) {
    this.sim = sim;
  }

  private FuzzWorker anyWorker() {
    List<FuzzWorker> aliveWorkers = new ArrayList<>();
    for (FuzzWorker worker : sim.workers.values()) {
      if (worker.alive) {
        aliveWorkers.add(worker);
      }
    }
    return aliveWorkers.isEmpty()
        ? null
        : aliveWorkers.get(sim.random.nextInt(aliveWorkers.size()));
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
        sim.logEvent(worker.name + " fails");
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
    FuzzController leader = sim.store.leaseHolder;
    if (sim.chance(sim.failovers)) {
      sim.count("failovers");
      switch (sim.random.nextInt(4)) {
        case 0 -> leader.terminated("crashed");
        case 1, 2 -> leader.storeCut = true;
        default -> {
          leader.terminated("resigned");
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

  /**
   * Cuts the links of one machine or of a zone, to one controller or to all of them, in one or both
   * directions. Messages on a cut link are either held until the cut ends or lost.
   */
  private void cutLinks() {
    sim.count("cuts");
    if (sim.controllers.isEmpty()) {
      return;
    }
    FuzzWorker singleWorker = anyWorker();
    boolean wholeZone = singleWorker == null || sim.random.nextInt(3) == 0;
    String zoneName = sim.random.nextBoolean() ? "a" : "b";
    boolean allControllers = sim.random.nextInt(3) == 0;
    FuzzController singleController =
        sim.controllers.get(sim.random.nextInt(sim.controllers.size()));
    int directions = sim.random.nextInt(3);
    boolean holdsMessages = sim.random.nextBoolean();
    long untilMs = sim.nowMs + 500 + sim.random.nextInt(sim.random.nextInt(3) == 0 ? 30_000 : 6000);
    sim.logEvent(
        "links cut: "
            + (wholeZone ? zoneName : singleWorker.name)
            + " directions="
            + directions
            + " until_ms="
            + untilMs);
    for (FuzzWorker worker : sim.workers.values()) {
      if (wholeZone ? !worker.zone.equals(zoneName) : worker != singleWorker) {
        continue;
      }
      for (FuzzController controller : sim.controllers) {
        if (allControllers || controller == singleController) {
          for (String direction : List.of("up", "down")) {
            if (directions == 2 || direction.equals(directions == 0 ? "up" : "down")) {
              controller.cutUntilMs.put(worker.name + direction, untilMs);
              controller.cutHoldsMessages.put(worker.name + direction, holdsMessages);
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
    sim.logEvent("controller " + controller.id + " is paused");
    sim.after(
        200 + sim.random.nextInt(sim.random.nextInt(3) == 0 ? 20_000 : 4000),
        () -> {
          controller.paused = false;
          controller.resumed = true;
          List<Runnable> inputs = new ArrayList<>(controller.queuedInputs);
          controller.queuedInputs.clear();
          Collections.shuffle(inputs, sim.random);
          inputs.forEach(
              input -> sim.after(sim.random.nextInt(300), () -> controller.handle(input)));
        });
  }

  private void endFaults() {
    for (FuzzController controller : new ArrayList<>(sim.controllers)) {
      controller.cutUntilMs.clear();
      controller.storeCut &= controller != sim.store.leaseHolder;
      if (controller != sim.store.leaseHolder) {
        controller.terminated("not the lease holder when faults end");
      }
    }
    for (FuzzWorker worker : sim.workers.values()) {
      worker.faulty = false;
    }
  }
}
