package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.LeaderFault;
import static org.astershift.simulation.CombinedFaults.apply;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.MachineType;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/** Jobs bound to a zone lose their machines there, and run again once the zone is back. */
class ZoneLossCombinedFaultsTest {
  private static final int SEEDS = 6;

  /** How the machines of a zone are lost. */
  private enum Loss {
    DIE,
    PREEMPTED,
    ZONE_PARTITIONED
  }

  /**
   * Jobs bound to a zone, arrays among them, lose all their machines there, with and without a
   * change of leaders. Once the zone is back, the work that waits for it runs within the time of
   * two machine boots and what they involve.
   */
  @Test
  void zoneBoundJobsRunAgainAfterZoneLoss() {
    long longestMs = 0;
    int emptied = 0;
    int played = 0;
    for (Loss loss : Loss.values()) {
      for (boolean changes : new boolean[] {false, true}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = new Simulation(seed, Setup.of(3, 24));
          emptied += playZoneLoss(simulation, loss, changes) ? 1 : 0;
          played++;
          assertNoViolations(simulation);
          long restoredMs = simulation.now();
          assertTrue(
              simulation.runUntil(
                  () -> countZoneBoundTasks(simulation) == 12, (restoredMs + 90_000) / 1000.0),
              simulation.fullLog());
          longestMs = Math.max(longestMs, simulation.now() - restoredMs);
          runForS(simulation, 20);
          assertNoViolations(simulation);
        }
      }
    }
    assertTrue(emptied >= played * 2 / 3, emptied + " plays left no live machine in the zone");
    assertTrue(longestMs < 30_000, longestMs + " ms until all tasks ran after the zone was back");
  }

  /** Returns how many tasks of the jobs bound to zone a are on machines. */
  private static int countZoneBoundTasks(Simulation simulation) {
    return simulation.checker.tasksOnMachines("wk-a1")
        + simulation.checker.tasksOnMachines("wk-a2")
        + simulation.checker.tasksOnMachines("wk-a3");
  }

  /**
   * Plays the loss; returns whether no live machine was left in the zone when the fault was over.
   */
  private static boolean playZoneLoss(Simulation simulation, Loss loss, boolean changes) {
    boolean spot = loss == Loss.PREEMPTED;
    simulation.cloud.addType(
        new MachineType("brief", 4, 0, 16, 50, 0.5, 2, 0.1, 10, simulation.setup.zones()));
    for (int i = 0; spot && i < 4; i++) {
      simulation.cloud.addMachine("vm-spot" + i, new CloudModel.Kind("brief", "a", true), true);
    }
    simulation.runTo(4);
    simulation.submit(JobDraft.array("wk-all", 40).kind(JobKind.SERVICE).spec(), null);
    for (int i = 1; i <= 3; i++) {
      JobDraft draft = JobDraft.array("wk-a" + i, 4).zone("a");
      draft = i == 1 ? draft.kind(JobKind.SERVICE) : i == 2 ? draft.oneZone() : draft;
      simulation.submit(
          (spot ? draft.spot().machineTypes("brief") : draft).spec(), i == 1 ? null : 300_000L);
    }
    simulation.runTo(22);
    assertEquals(12, countZoneBoundTasks(simulation), simulation.recentLog());
    long forMs = 20_000 + 5000 * (simulation.seed % 6);
    List<String> zoneMachines = new ArrayList<>();
    simulation.workers.forEach(
        (name, worker) -> {
          if (worker.zone.equals("a") && worker.isAlive() && worker.kind.spot() == spot) {
            zoneMachines.add(name);
          }
        });
    if (loss == Loss.ZONE_PARTITIONED) {
      simulation.controllers.forEach(controller -> simulation.cutBoth(controller.name, "zone a"));
    } else {
      zoneMachines.forEach(
          loss == Loss.DIE ? simulation.cloud::killMachine : simulation.cloud::preempt);
    }
    if (changes) {
      ControllerModel old = simulation.leaders().get(0);
      simulation.after(
          simulation.random.nextLong(forMs),
          () -> apply(simulation, old, LeaderFault.values()[(int) simulation.seed % 3]));
    }
    simulation.runTo((22_000 + forMs) / 1000.0);
    boolean empty = zoneMachines.stream().noneMatch(name -> simulation.workers.get(name).isAlive());
    simulation.healAll();
    simulation.starvationCheck.onFaultsHealed();
    return empty;
  }
}
