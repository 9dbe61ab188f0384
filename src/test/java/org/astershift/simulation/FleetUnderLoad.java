package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;

/**
 * A fleet in which every machine has work until the end, so that no machine is idle and every
 * release is for silence.
 */
final class FleetUnderLoad {
  private FleetUnderLoad() {}

  /** Creates a simulation in which a service and an array run and exactly one controller leads. */
  static Simulation createLoadedSimulation(long seed, Setup setup) {
    Simulation simulation = new Simulation(seed, setup);
    simulation.runTo(4);
    // Every machine has work until the end, so that none is ever idle: every release is for
    // silence.
    simulation.submit(JobDraft.job("wk-1", JobKind.SERVICE, 3 * setup.machines()), null);
    simulation.submit(JobDraft.job("wk-2", JobKind.ARRAY, setup.machines()), 40_000L);
    simulation.runTo(20);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    assertTrue(
        countRunningTasks(simulation) >= 4 * setup.machines(),
        countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
    return simulation;
  }

  static int countRunningTasks(Simulation simulation) {
    return simulation.workers.values().stream().mapToInt(WorkerModel::runningTasks).sum();
  }

  static void assertNoViolations(Simulation simulation) {
    assertEquals(List.of(), simulation.checker.violations, simulation.recentLog());
    assertEquals(List.of(), simulation.checker.healthyReleased, simulation.recentLog());
  }

  static ControllerModel follower(Simulation simulation, int index) {
    return simulation.controllers.stream()
        .filter(controller -> !controller.leads())
        .toList()
        .get(index);
  }

  /**
   * Plays a partition in which two controllers believe that they lead. The mutations take effect
   * once the fleet is under load.
   */
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
