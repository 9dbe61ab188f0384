package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.LeaderFault;
import static org.astershift.simulation.CombinedFaults.apply;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.Priority;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * More work than room over slow links while the leader changes: no job starves while there is room
 * for it.
 */
class OverloadCombinedFaultsTest {
  private static final int SEEDS = 6;

  /**
   * More work than there is room, urgent and not, large tasks and small, over links that take up to
   * a second, and the leader changes meanwhile. No invariant is violated, and once the links are
   * fast again no job waits while there is room for it, although there is still more work than
   * room.
   */
  @Test
  void noJobStarvesUnderOverloadOverSlowLinks() {
    int preempted = 0;
    int waitedAfter = 0;
    long longestMs = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = createOverloadedSimulation(seed);
        ControllerModel old = simulation.leaders().get(0);
        simulation.after(
            20_000 + simulation.random.nextLong(5000), () -> apply(simulation, old, fault));
        simulation.runTo(60);
        setLinkDelays(simulation, 0);
        waitedAfter += countWaitingTasks(simulation);
        preempted += simulation.checker.stopped;
        simulation.starvationCheck.onFaultsHealed();
        simulation.runTo(75);
        submitUrgentJob(simulation, 40);
        simulation.runTo(160);
        longestMs = Math.max(longestMs, simulation.starvationCheck.longestWaitMs());
        assertNoViolations(simulation);
      }
    }
    int played = LeaderFault.values().length * SEEDS;
    assertTrue(preempted >= played, preempted + " tasks stopped for urgent work");
    assertTrue(longestMs > 30_000, "longest wait while there was room: " + longestMs + " ms");
    assertTrue(
        waitedAfter >= 50 * played, waitedAfter + " tasks waited when the faults were healed");
  }

  private static int countWaitingTasks(Simulation simulation) {
    return simulation.users.accepted().stream()
        .mapToInt(job -> simulation.checker.waitingTasks(simulation.users.spec(job)).size())
        .sum();
  }

  private static void setLinkDelays(Simulation simulation, long addedMs) {
    for (ControllerModel controller : simulation.controllers) {
      for (String host : List.of("workers", "state", "cloud")) {
        simulation.delayLink(controller.name, host, host.equals("state") ? addedMs / 4 : addedMs);
        simulation.delayLink(host, controller.name, host.equals("state") ? addedMs / 4 : addedMs);
      }
    }
  }

  private static Simulation createOverloadedSimulation(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 12));
    simulation.cloud.capacity.put(CloudModel.TYPE, 12);
    simulation.objectives.add(new ServiceLevelObjective("wait", "u", 2, 0.9, 1));
    simulation.objectives.add(new ServiceLevelObjective("wait", "n", 30, 0.9, 1));
    setLinkDelays(simulation, 1000);
    simulation.runTo(6);
    for (int i = 0; i < 10; i++) {
      // Low-priority work of a class without an objective, and large and small work of another
      // class.
      JobDraft lowPriority = JobDraft.array("wk-g" + i, 12).classAndPriority("g", Priority.LOW);
      simulation.submit(lowPriority.saves(i % 2 == 0 ? 2 : 0).spec(), 15_000L);
      boolean large = i % 3 == 0;
      JobDraft normal =
          JobDraft.array("wk-n" + i, large ? 60 : 8).classAndPriority("n", Priority.NORMAL);
      simulation.submit(normal.takes(large ? 3 : 2, 0).spec(), 12_000L);
    }
    for (int i = 0; i < 10; i++) {
      int id = i;
      simulation.after(5000 * i, () -> submitUrgentJob(simulation, id));
    }
    simulation.runTo(18);
    return simulation;
  }

  private static void submitUrgentJob(Simulation simulation, int id) {
    JobDraft draft = JobDraft.array("wk-u" + id, 6).classAndPriority("u", Priority.HIGH);
    simulation.submit(draft.takes(id % 2 == 0 ? 2 : 1, 0).spec(), 8_000L);
  }
}
