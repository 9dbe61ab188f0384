package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;

/**
 * A fleet on which each machine has work to the end, so that none is idle and each release is for
 * silence.
 */
final class FleetUnderLoad {
  private FleetUnderLoad() {}

  /** A simulation with replicas on it that has come to rest. */
  static Simulation createLoadedSimulation(long seed, Setup setup) {
    Simulation simulation = new Simulation(seed, setup);
    simulation.runTo(4);
    // Something is on each machine to the end, so that none is ever idle: each return is for
    // silence.
    simulation.submit(JobDraft.job("wk-1", JobKind.SERVICE, 3 * setup.machines()), null);
    simulation.submit(JobDraft.job("wk-2", JobKind.ARRAY, setup.machines()), 40_000L);
    simulation.runTo(20);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    assertTrue(
        countRunningTasks(simulation) >= 4 * setup.machines(),
        countRunningTasks(simulation) + " run\n" + simulation.recentLog());
    return simulation;
  }

  static int countRunningTasks(Simulation simulation) {
    return simulation.workers.values().stream().mapToInt(WorkerModel::runningTasks).sum();
  }

  static void assertNoViolations(Simulation simulation) {
    assertEquals(List.of(), simulation.checker.violations, simulation.recentLog());
    assertEquals(List.of(), simulation.checker.healthyReleased, simulation.recentLog());
  }

  static ControllerModel follower(Simulation simulation, int which) {
    return simulation.controllers.stream()
        .filter(controller -> !controller.leads())
        .toList()
        .get(which);
  }

  /** With safety measures taken away once all are at rest. */
  static Simulation playTwoLeaders(long seed, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
    simulation.mutations.addAll(List.of(mutations));
    ControllerModel old = simulation.leaders().get(0);
    ControllerModel later = follower(simulation, 0);
    for (String host :
        List.of("state", "cloud", "zone a", later.name, follower(simulation, 1).name)) {
      simulation.cutBoth(old.name, host);
    }
    simulation.cutBoth(later.name, "zone b");
    simulation.cutBoth(later.name, "zone c");
    simulation.cutBoth(follower(simulation, 1).name, "workers");
    simulation.runTo(60);
    return simulation;
  }
}
