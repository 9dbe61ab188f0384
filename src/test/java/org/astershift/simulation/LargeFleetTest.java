package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What happens to a few machines elsewhere, in a fleet of the size that operators run. */
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
   * The leader ends; its successor is refused by the state service for some seconds; then all
   * controllers end at once. Each time 200 machines restart within a second, in the midst of it.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void machinesRestartByTheHundredWheneverNobodyLeadsForCertain(int controllers) {
    Simulation w = new Simulation(controllers, Setup.of(controllers, MACHINES));
    w.runTo(4);
    for (int i = 0; i < SERVICES; i++) {
      w.submit(SimulationTest.job("wk-s" + i, JobKind.SERVICE, REPLICAS), null);
    }
    w.runTo(20);
    arrays(w, "wk-a");
    w.onlyLeader().crash();
    restart(w, 0);
    w.runTo(23);
    w.nodes.stream().filter(n -> !n.up()).forEach(ControllerModel::start);
    w.runTo(45);
    arrays(w, "wk-b");
    String refused = w.onlyLeader().name;
    w.cutBoth(refused, "state");
    w.runTo(46);
    restart(w, 1);
    w.runTo(52);
    w.healBoth(refused, "state");
    w.runTo(70);
    arrays(w, "wk-c");
    w.nodes.forEach(ControllerModel::crash);
    restart(w, 2);
    w.runTo(72);
    w.nodes.forEach(ControllerModel::start);
    w.runTo(140);
    assertEquals(List.of(), w.checker.broken);
    assertEquals(List.of(), w.checker.healthyReturned);
    int[] replicas = new int[1];
    w.checker.eachOnMachine((task, machine) -> replicas[0] += task.startsWith("wk-s") ? 1 : 0);
    assertEquals(SERVICES * REPLICAS, replicas[0]);
    for (String job : w.users.accepted()) {
      assertTrue(job.startsWith("wk-s") || w.checker.isOver(job), job + " is not over");
    }
  }

  private static void arrays(Simulation w, String prefix) {
    for (int i = 0; i < ARRAYS; i++) {
      w.submit(SimulationTest.job(prefix + i, JobKind.ARRAY, TASKS), TASK_MS);
    }
  }

  /** Others each time, in all zones, for up to a second. */
  private static void restart(Simulation w, int time) {
    for (int i = 0; i < RESTARTED; i++) {
      String machine = "vm-" + (i * (MACHINES / RESTARTED) + time);
      w.workers.get(machine).beginAnew(1 + w.random.nextLong(RESTART_MS));
    }
  }
}
