package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Faults that other tests play on a few machines, in a fleet of the size that operators run. */
class LargeFleetTest {
  private static final int MACHINES = 4000;
  private static final int SERVICES = 20;
  private static final int REPLICAS = 200;
  private static final int ARRAYS = 10;
  private static final int TASKS = 100;
  private static final long TASK_MS = 8000;
  private static final int RESTARTED = 200;
  private static final long RESTART_MS = 900;

  /**
   * The leader crashes; the store refuses its successor for some seconds; then all controllers
   * crash at once. Each time 200 machines restart within a second meanwhile.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void jobsSurviveHundredsOfRestartsWhileLeadershipUncertain(int controllers) {
    Simulation simulation = new Simulation(controllers, Setup.of(controllers, MACHINES));
    simulation.runTo(4);
    for (int i = 0; i < SERVICES; i++) {
      simulation.submit(JobDraft.job("wk-s" + i, JobKind.SERVICE, REPLICAS), null);
    }
    simulation.runTo(20);
    submitArrays(simulation, "wk-a");
    simulation.onlyLeader().crash();
    restartMachines(simulation, 0);
    simulation.runTo(23);
    simulation.controllers.stream()
        .filter(controller -> !controller.isUp())
        .forEach(ControllerModel::start);
    simulation.runTo(45);
    submitArrays(simulation, "wk-b");
    String refused = simulation.onlyLeader().name;
    simulation.cutBoth(refused, "state");
    simulation.runTo(46);
    restartMachines(simulation, 1);
    simulation.runTo(52);
    simulation.healBoth(refused, "state");
    simulation.runTo(70);
    submitArrays(simulation, "wk-c");
    simulation.controllers.forEach(ControllerModel::crash);
    restartMachines(simulation, 2);
    simulation.runTo(72);
    simulation.controllers.forEach(ControllerModel::start);
    simulation.runTo(140);
    assertEquals(List.of(), simulation.checker.violations);
    assertEquals(List.of(), simulation.checker.healthyReleased);
    int[] replicas = new int[1];
    simulation.checker.forEachPlacement(
        (task, machine) -> replicas[0] += task.startsWith("wk-s") ? 1 : 0);
    assertEquals(SERVICES * REPLICAS, replicas[0]);
    for (String job : simulation.users.accepted()) {
      assertTrue(job.startsWith("wk-s") || simulation.checker.isEnded(job), job + " has not ended");
    }
  }

  private static void submitArrays(Simulation simulation, String prefix) {
    for (int i = 0; i < ARRAYS; i++) {
      simulation.submit(JobDraft.job(prefix + i, JobKind.ARRAY, TASKS), TASK_MS);
    }
  }

  /** Restarts other machines each time, in all zones, each for up to a second. */
  private static void restartMachines(Simulation simulation, int round) {
    for (int i = 0; i < RESTARTED; i++) {
      String machine = "vm-" + (i * (MACHINES / RESTARTED) + round);
      simulation.workers.get(machine).restart(1 + simulation.random.nextLong(RESTART_MS));
    }
  }
}
