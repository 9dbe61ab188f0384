package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The cloud: it boots, lists and deletes machines, late and with lost answers. */
final class FuzzCloud {
  private final FuzzSimulation sim;
  private final Map<String, List<String>> rentalAnswers = new HashMap<>();
  private int machineNumber;

  FuzzCloud(FuzzSimulation sim) {
    this.sim = sim;
  }

  FuzzWorker create(String type, String zone, boolean spot, long bootMs) {
    String name = String.format("vm-%06d", ++machineNumber);
    FuzzWorker w = new FuzzWorker(sim, name, type, zone, spot);
    w.createdMs = sim.now;
    sim.workers.put(name, w);
    sim.after(bootMs, w::up);
    return w;
  }

  void rent(FuzzController ctl, String name, Decision.ProvisionMachines r) {
    sim.after(
        20 + sim.random.nextInt(sim.chance(sim.slow) ? 8000 : 200),
        () -> {
          if (sim.cloudAway) {
            rent(ctl, name, r);
            return;
          }
          List<String> names =
              rentalAnswers.computeIfAbsent(
                  name,
                  n -> {
                    List<String> out = new ArrayList<>();
                    long there = sim.workers.values().stream().filter(w -> w.goneMs < 0).count();
                    for (int i = 0;
                        i < r.count() && there + i < FuzzSimulation.MOST_MACHINES;
                        i++) {
                      boolean quick = sim.random.nextInt(4) == 0;
                      long ms = quick ? sim.random.nextInt(2000) : 5000 + sim.random.nextInt(9000);
                      long boot = sim.random.nextInt(20) == 0 ? 1_000_000 : ms;
                      out.add(create(r.typeName(), r.zone(), r.spot(), boot).name);
                    }
                    return out;
                  });
          sim.after(
              5,
              () ->
                  ctl.handle(
                      () -> {
                        for (String m : names) {
                          Decision.RegisterMachine e =
                              new Decision.RegisterMachine(
                                  m, null, r.typeName(), r.zone(), r.spot(), true);
                          sim.store.write(
                              ctl, () -> sim.store.machines.putIfAbsent(m, e), ok -> {}, "f" + m);
                        }
                        if (names.isEmpty()) {
                          ctl.scheduler.onProvisioningFailed(name, r, true, ctl.clock());
                        } else {
                          ctl.scheduler.onMachinesProvisioned(name, names, r, ctl.clock());
                        }
                        sim.store.write(
                            ctl, () -> sim.store.rentals.remove(name), ok -> {}, "i" + name);
                      }));
        });
  }

  void giveBack(FuzzController ctl, List<String> names) {
    boolean lost = sim.chance(sim.slow) || sim.cloudAway;
    sim.after(
        10 + sim.random.nextInt(sim.chance(sim.slow) ? 8000 : 100),
        () -> {
          if (!lost) {
            for (String n : names) {
              FuzzWorker w = sim.workers.get(n);
              if (w != null && w.goneMs < 0) {
                sim.note(n + " is given back");
                w.die(0);
                w.deleted = true;
              }
            }
          }
          sim.after(
              5 + sim.random.nextInt(50),
              () ->
                  ctl.handle(
                      () -> {
                        if (lost) {
                          ctl.scheduler.onReleaseFailed(names);
                        } else {
                          ctl.scheduler.onMachinesReleased(names, ctl.clock());
                        }
                      }));
        });
  }

  /** A list as of some moment within twice the lag, which may be before that of the last one. */
  void list(FuzzController ctl) {
    if (ctl.over) {
      return;
    }
    if (!sim.cloudAway && !ctl.paused) {
      long asked = ctl.clock();
      sim.after(
          sim.random.nextInt(100),
          () -> {
            long asOf =
                sim.now - (long) (sim.random.nextDouble() * 2 * FuzzSimulation.LIST_LAG_S * 1000);
            List<Scheduler.ListedMachine> out = new ArrayList<>();
            for (FuzzWorker w : sim.workers.values()) {
              boolean gone = w.goneMs >= 0 && (w.deleted || w.taken) && w.goneMs <= asOf;
              if (w.createdMs <= asOf && !gone) {
                boolean failed = w.goneMs >= 0 && !w.deleted && !w.taken && w.goneMs < asOf - 30000;
                String state = failed ? "failed" : w.upMs < 0 ? "starting" : "running";
                double age = (asOf - w.createdMs) / 1000.0;
                out.add(
                    new Scheduler.ListedMachine(
                        w.name, w.name, w.type, w.zone, w.spot, state, age));
              }
            }
            sim.after(
                sim.random.nextInt(sim.chance(sim.slow) ? 4000 : 50),
                () -> ctl.handle(() -> ctl.scheduler.onMachineList(out, asked, ctl.clock())));
          });
    }
    sim.after(1500 + sim.random.nextInt(1500), () -> list(ctl));
  }
}
