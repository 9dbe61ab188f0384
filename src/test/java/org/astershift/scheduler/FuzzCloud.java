package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A cloud that boots, lists and deletes machines, with delays and lost answers. */
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
                  requestName -> {
                    List<String> created = new ArrayList<>();
                    long machinesPresent =
                        sim.workers.values().stream()
                            .filter(worker -> worker.removedMs < 0)
                            .count();
                    for (int i = 0;
                        i < request.count() && machinesPresent + i < FuzzSimulation.MAX_MACHINES;
                        i++) {
                      boolean bootsFast = sim.random.nextInt(4) == 0;
                      long normalBootMs =
                          bootsFast ? sim.random.nextInt(2000) : 5000 + sim.random.nextInt(9000);
                      long actualBootMs = sim.random.nextInt(20) == 0 ? 1_000_000 : normalBootMs;
                      created.add(
                          create(request.typeName(), request.zone(), request.spot(), actualBootMs)
                              .name);
                    }
                    return created;
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
                sim.logEvent(workerName + " is released");
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

  /**
   * Lists the machines as they were at a random time within twice the list lag, which may be
   * earlier than the time that the previous list showed.
   */
  void listRepeatedly(FuzzController controller) {
    if (controller.terminated) {
      return;
    }
    if (!sim.cloudDown && !controller.paused) {
      long requestedMs = controller.clock();
      sim.after(
          sim.random.nextInt(100),
          () -> {
            long asOfMs =
                sim.nowMs - (long) (sim.random.nextDouble() * 2 * FuzzSimulation.LIST_LAG_S * 1000);
            List<ListedMachine> listed = new ArrayList<>();
            for (FuzzWorker worker : sim.workers.values()) {
              boolean isRemoved =
                  worker.removedMs >= 0
                      && (worker.deleted || worker.preempted)
                      && worker.removedMs <= asOfMs;
              if (worker.createdMs <= asOfMs && !isRemoved) {
                boolean hasFailed =
                    worker.removedMs >= 0
                        && !worker.deleted
                        && !worker.preempted
                        && worker.removedMs < asOfMs - 30000;
                String state = hasFailed ? "failed" : worker.bootedMs < 0 ? "starting" : "running";
                double ageS = (asOfMs - worker.createdMs) / 1000.0;
                listed.add(
                    new ListedMachine(
                        worker.name,
                        worker.name,
                        worker.type,
                        worker.zone,
                        worker.spot,
                        state,
                        ageS));
              }
            }
            sim.after(
                sim.random.nextInt(sim.chance(sim.slow) ? 4000 : 50),
                () ->
                    controller.handle(
                        () ->
                            controller.scheduler.onMachineList(
                                listed, requestedMs, controller.clock())));
          });
    }
    sim.after(1500 + sim.random.nextInt(1500), () -> listRepeatedly(controller));
  }
}
