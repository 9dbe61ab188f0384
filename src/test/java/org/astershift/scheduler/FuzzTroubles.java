package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Faults of machines, links, controllers, the store and the cloud, until the seed calms down. */
final class FuzzTroubles {
  private final FuzzSimulation sim;

  FuzzTroubles(FuzzSimulation sim) {
    this.sim = sim;
  }

  private FuzzWorker anyWorker() {
    List<FuzzWorker> up = new ArrayList<>();
    for (FuzzWorker w : sim.workers.values()) {
      if (w.alive) {
        up.add(w);
      }
    }
    return up.isEmpty() ? null : up.get(sim.random.nextInt(up.size()));
  }

  void troubles() {
    if (sim.now >= sim.troublesMs) {
      calm();
      return;
    }
    FuzzWorker w = anyWorker();
    if (w != null) {
      if (sim.chance(sim.deaths)) {
        sim.did("deaths");
        sim.note(w.name + " dies");
        w.die(0);
      } else if (sim.chance(sim.anews)) {
        sim.did("anew");
        sim.note(w.name + " begins anew");
        w.die(1 + sim.random.nextInt(4000));
      } else if (sim.chance(sim.hangs)) {
        sim.did("hangs");
        w.hang(
            sim.random.nextInt(3) == 0
                ? 8000 + sim.random.nextInt(12_000)
                : sim.random.nextInt(6000));
      } else if (w.spot && sim.chance(sim.recalls)) {
        sim.did("recalls");
        recall(w);
      }
      if (sim.chance(sim.cuts)) {
        cut();
      }
    }
    FuzzController holder = sim.store.holder;
    if (sim.chance(sim.successions)) {
      sim.did("succession");
      switch (sim.random.nextInt(4)) {
        case 0 -> holder.over("crash");
        case 1, 2 -> holder.storeCut = true;
        default -> {
          holder.over("resigns");
          sim.store.keyEndsMs = sim.now - 1;
        }
      }
    }
    if (!sim.controllers.isEmpty() && sim.chance(sim.pauses)) {
      sim.did("pauses");
      pause(sim.controllers.get(sim.random.nextInt(sim.controllers.size())));
    }
    if (sim.chance(sim.refusals)) {
      sim.did("outage");
      if (sim.random.nextInt(3) == 0) {
        sim.cloudAway = true;
        sim.after(1000 + sim.random.nextInt(10_000), () -> sim.cloudAway = false);
      } else {
        sim.outage = true;
        sim.after(
            1000 + sim.random.nextInt(sim.random.nextInt(4) == 0 ? 20_000 : 4000),
            () -> sim.outage = false);
      }
    }
    sim.after(sim.random.nextInt(1500), this::troubles);
  }

  private void recall(FuzzWorker w) {
    double s = 2 + sim.random.nextInt(6);
    if (sim.random.nextInt(3) > 0) {
      w.recallS = s;
      w.changed = true;
    }
    int of = w.life;
    sim.after(
        (long) (s * 1000),
        () -> {
          if (w.life == of) {
            sim.note(w.name + " is taken");
            w.die(0);
            w.taken = true;
          }
        });
  }

  /** Of one machine, or a zone, towards one controller or all, one way or both, held or lost. */
  private void cut() {
    sim.did("cuts");
    if (sim.controllers.isEmpty()) {
      return;
    }
    FuzzWorker one = anyWorker();
    boolean zone = one == null || sim.random.nextInt(3) == 0;
    String which = sim.random.nextBoolean() ? "a" : "b";
    boolean all = sim.random.nextInt(3) == 0;
    FuzzController only = sim.controllers.get(sim.random.nextInt(sim.controllers.size()));
    int ways = sim.random.nextInt(3);
    boolean hold = sim.random.nextBoolean();
    long until = sim.now + 500 + sim.random.nextInt(sim.random.nextInt(3) == 0 ? 30_000 : 6000);
    sim.note("cut of " + (zone ? which : one.name) + " ways " + ways + " until " + until);
    for (FuzzWorker w : sim.workers.values()) {
      if (zone ? !w.zone.equals(which) : w != one) {
        continue;
      }
      for (FuzzController ctl : sim.controllers) {
        if (all || ctl == only) {
          for (String direction : List.of("up", "down")) {
            if (ways == 2 || direction.equals(ways == 0 ? "up" : "down")) {
              ctl.cutUntil.put(w.name + direction, until);
              ctl.held.put(w.name + direction, hold);
            }
          }
        }
      }
    }
  }

  private void pause(FuzzController ctl) {
    if (ctl.paused) {
      return;
    }
    ctl.paused = true;
    sim.note("controller " + ctl.id + " stands still");
    sim.after(
        200 + sim.random.nextInt(sim.random.nextInt(3) == 0 ? 20_000 : 4000),
        () -> {
          ctl.paused = false;
          ctl.resumed = true;
          List<Runnable> all = new ArrayList<>(ctl.queued);
          ctl.queued.clear();
          Collections.shuffle(all, sim.random);
          all.forEach(r -> sim.after(sim.random.nextInt(300), () -> ctl.handle(r)));
        });
  }

  private void calm() {
    for (FuzzController ctl : new ArrayList<>(sim.controllers)) {
      ctl.cutUntil.clear();
      ctl.storeCut &= ctl != sim.store.holder;
      if (ctl != sim.store.holder) {
        ctl.over("ends");
      }
    }
    for (FuzzWorker w : sim.workers.values()) {
      w.faulty = false;
    }
  }
}
