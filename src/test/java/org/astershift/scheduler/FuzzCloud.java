package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The cloud: it boots, lists and deletes machines, late and with lost answers. */
final class FuzzCloud {
  private final FuzzSimulation sim;
  private final Map<String, List<String>> machinesByRequest = new HashMap<>();
  private int lastMachineNumber;

  FuzzCloud(FuzzSimulation sim) {
    this.sim = sim;
  }

  FuzzWorker create(String type, String zone, boolean spot, long bootMs) {
    String name = String.format("vm-%06d", ++lastMachineNumber);
    FuzzWorker worker = new FuzzWorker(sim, name, type, zone, spot);
    worker.createdMs = sim.nowMs;
    sim.workers.put(name, worker);
    sim.after(bootMs, worker::boot);
    return worker;
  }

  void provision(FuzzController controller, String name, Decision.ProvisionMachines request) {
    sim.after(
        20 + sim.random.nextInt(sim.chance(sim.slow) ? 8000 : 200),
        () -> {
          if (sim.cloudDown) {
            provision(controller, name, request);
            return;
          }
          List<String> names =
              machinesByRequest.computeIfAbsent(
                  name,
                  workerName -> {
                    List<String> listed = new ArrayList<>();
                    long present =
                        sim.workers.values().stream()
                            .filter(worker -> worker.removedMs < 0)
                            .count();
                    for (int i = 0;
                        i < request.count() && present + i < FuzzSimulation.MAX_MACHINES;
                        i++) {
                      boolean quick = sim.random.nextInt(4) == 0;
                      long delayMs =
                          quick ? sim.random.nextInt(2000) : 5000 + sim.random.nextInt(9000);
                      long boot = sim.random.nextInt(20) == 0 ? 1_000_000 : delayMs;
                      listed.add(
                          create(request.typeName(), request.zone(), request.spot(), boot).name);
                    }
                    return listed;
                  });
          sim.after(
              5,
              () ->
                  controller.handle(
                      () -> {
                        for (String machineName : names) {
                          Decision.RegisterMachine registration =
                              new Decision.RegisterMachine(
                                  machineName,
                                  null,
                                  request.typeName(),
                                  request.zone(),
                                  request.spot(),
                                  true);
                          sim.store.write(
                              controller,
                              () -> sim.store.machines.putIfAbsent(machineName, registration),
                              ok -> {},
                              "f" + machineName);
                        }
                        if (names.isEmpty()) {
                          controller.scheduler.onProvisioningFailed(
                              name, request, true, controller.clock());
                        } else {
                          controller.scheduler.onMachinesProvisioned(
                              name, names, request, controller.clock());
                        }
                        sim.store.write(
                            controller,
                            () -> sim.store.provisionRequests.remove(name),
                            ok -> {},
                            "i" + name);
                      }));
        });
  }

  void release(FuzzController controller, List<String> names) {
    boolean lost = sim.chance(sim.slow) || sim.cloudDown;
    sim.after(
        10 + sim.random.nextInt(sim.chance(sim.slow) ? 8000 : 100),
        () -> {
          if (!lost) {
            for (String workerName : names) {
              FuzzWorker worker = sim.workers.get(workerName);
              if (worker != null && worker.removedMs < 0) {
                sim.logEvent(workerName + " is given back");
                worker.shutDown(0);
                worker.deleted = true;
              }
            }
          }
          sim.after(
              5 + sim.random.nextInt(50),
              () ->
                  controller.handle(
                      () -> {
                        if (lost) {
                          controller.scheduler.onReleaseFailed(names);
                        } else {
                          controller.scheduler.onMachinesReleased(names, controller.clock());
                        }
                      }));
        });
  }

  /** A list as of some moment within twice the lag, which may be before that of the last one. */
  void listRepeatedly(FuzzController controller) {
    if (controller.terminated) {
      return;
    }
    if (!sim.cloudDown && !controller.paused) {
      long asked = controller.clock();
      sim.after(
          sim.random.nextInt(100),
          () -> {
            long asOf =
                sim.nowMs - (long) (sim.random.nextDouble() * 2 * FuzzSimulation.LIST_LAG_S * 1000);
            List<ListedMachine> listed = new ArrayList<>();
            for (FuzzWorker worker : sim.workers.values()) {
              boolean gone =
                  worker.removedMs >= 0
                      && (worker.deleted || worker.preempted)
                      && worker.removedMs <= asOf;
              if (worker.createdMs <= asOf && !gone) {
                boolean failed =
                    worker.removedMs >= 0
                        && !worker.deleted
                        && !worker.preempted
                        && worker.removedMs < asOf - 30000;
                String state = failed ? "failed" : worker.bootedMs < 0 ? "starting" : "running";
                double age = (asOf - worker.createdMs) / 1000.0;
                listed.add(
                    new ListedMachine(
                        worker.name,
                        worker.name,
                        worker.type,
                        worker.zone,
                        worker.spot,
                        state,
                        age));
              }
            }
            sim.after(
                sim.random.nextInt(sim.chance(sim.slow) ? 4000 : 50),
                () ->
                    controller.handle(
                        () ->
                            controller.scheduler.onMachineList(listed, asked, controller.clock())));
          });
    }
    sim.after(1500 + sim.random.nextInt(1500), () -> listRepeatedly(controller));
  }
}
