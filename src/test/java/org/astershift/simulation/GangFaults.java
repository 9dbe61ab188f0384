package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.simulation.Simulation.Setup;

/** Set-up of the tests with gangs, and faults of the machines that run their tasks. */
final class GangFaults {
  private GangFaults() {}

  static final List<String> GANGS = List.of("wk-g0", "wk-g1", "wk-g2", "wk-g3");

  /** A fault of a machine that has tasks of the gangs. */
  enum MachineFault {
    PARTITIONED,
    INBOUND_PARTITIONED,
    PAUSED
  }

  static Simulation createLoadedSimulation(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 12));
    simulation.runTo(4);
    simulation.submit(JobDraft.array("wk-all", 6).kind(JobKind.SERVICE).spec(), null);
    simulation.runTo(20);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    return simulation;
  }

  static void applyToMachine(
      Simulation simulation, MachineFault machineFault, String machine, long forMs) {
    if (machineFault == MachineFault.PAUSED) {
      simulation.workers.get(machine).pause(forMs);
      return;
    }
    for (ControllerModel controller : simulation.controllers) {
      simulation.cut(controller.name, machine);
      if (machineFault == MachineFault.PARTITIONED) {
        simulation.cut(machine, controller.name);
      }
      simulation.after(forMs, () -> simulation.healBoth(controller.name, machine));
    }
  }

  /**
   * Returns four gangs: one that may run anywhere, one that runs in any one zone, one that runs in
   * zone a, and one with at most half of its tasks in one zone.
   */
  static List<JobSpec> createGangs() {
    return List.of(
        JobDraft.gang(GANGS.get(0), 6).saves(1).spec(),
        JobDraft.gang(GANGS.get(1), 6).oneZone().spec(),
        JobDraft.gang(GANGS.get(2), 4).zone("a").saves(1).spec(),
        JobDraft.gang(GANGS.get(3), 5).spread().spec());
  }

  /** Returns the names of the machines that have tasks of the jobs, sorted. */
  static List<String> machinesRunning(Simulation simulation, List<String> jobs) {
    Set<String> machines = new HashSet<>();
    simulation.checker.forEachPlacement(
        (task, machine) -> {
          if (jobs.contains(task.substring(0, task.indexOf('/')))) {
            machines.add(machine);
          }
        });
    return machines.stream().sorted().toList();
  }

  static List<String> pickRandomMachines(
      Simulation simulation, List<String> machines, int maxCount) {
    List<String> remaining = new ArrayList<>(machines);
    List<String> picked = new ArrayList<>();
    while (!remaining.isEmpty() && picked.size() < maxCount) {
      picked.add(remaining.remove(simulation.random.nextInt(remaining.size())));
    }
    return picked;
  }

  static long countJobs(Simulation simulation, Predicate<String> condition) {
    return simulation.users.accepted().stream().filter(condition).count();
  }
}
