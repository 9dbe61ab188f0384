package org.astershift.simulation;

import static org.astershift.simulation.FleetUnderLoad.assertNoViolations;
import static org.astershift.simulation.FleetUnderLoad.countRunningTasks;
import static org.astershift.simulation.FleetUnderLoad.createLoadedSimulation;
import static org.astershift.simulation.FleetUnderLoad.playTwoLeaders;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Randomized scenarios, which violate no invariant, and single failovers with crashes, lost and
 * duplicate heartbeats.
 */
class SimulationTest {
  private static final int SEEDS = 25;
  private static final int MUTANT_SEEDS = 300;

  @Test
  void randomizedScenariosViolateNoInvariant() {
    int seeds = Integer.getInteger("simulation.seeds", 150);
    int gangs = 0;
    int taken = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      RandomizedScenario scenario = RandomizedScenario.play(seed);
      assertNoViolations(scenario.simulation);
      assertEquals("", scenario.unserved(), scenario.simulation.recentLog());
      gangs += scenario.simulation.gangs.started;
      taken += scenario.simulation.cloud.preemptedWithTasks;
    }
    assertTrue(gangs >= seeds / 2, gangs + " gangs ran");
    assertTrue(taken >= seeds / 2, taken + " machines with tasks were preempted");
  }

  /**
   * The checker can fail: each of these safety measures taken away is missed within so many seeds.
   */
  @Test
  void eachMutationIsDetected() {
    StringBuilder found = new StringBuilder();
    for (Mutation mutation :
        List.of(
            Mutation.PEER_PROBES_ALWAYS_FAIL,
            Mutation.NO_INHERITED_MACHINES,
            Mutation.FORGET_ONE_JOB,
            Mutation.CONFIRM_CANCEL_BEFORE_WRITE,
            Mutation.OVERWRITE_JOB_END)) {
      long seed = 1;
      while (seed <= MUTANT_SEEDS && !RandomizedScenario.play(seed, mutation).failed()) {
        seed++;
      }
      found.append(mutation).append(" by seed ").append(seed).append('\n');
    }
    assertFalse(found.toString().contains("by seed " + (MUTANT_SEEDS + 1)), found.toString());
  }

  /**
   * Two controllers believe that they lead: the old one, with an uncertain lease, reaches zones b
   * and c, the new one zone a only. Lease expiry proves nothing to the old one.
   */
  @Test
  void leaderWithUncertainLeaseTrustsNoExpiry() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = playTwoLeaders(seed);
      assertEquals(2, simulation.leaders().size(), simulation.recentLog());
      assertNoViolations(simulation);
    }
  }

  /**
   * Heartbeats find no place for longer than a lease and direct commands pass: epochs end, and what
   * the leader starts in the next ones lives by their own beginning, not by the last heartbeat.
   */
  @Test
  void workResumesWhenHeartbeatsAreRejectedButCommandsPass() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      simulation.controllers.forEach(controller -> controller.rejectHeartbeats(40_000));
      simulation.runTo(100);
      assertNoViolations(simulation);
      assertNotEquals(0, simulation.checker.killedByLease, simulation.recentLog());
      assertTrue(
          countRunningTasks(simulation) >= 180,
          countRunningTasks(simulation) + " run\n" + simulation.recentLog());
    }
  }

  @Test
  void manyDeadMachinesAreReplacedAfterFailover() {
    Simulation simulation = createLoadedSimulation(1, Setup.of(3, 600));
    ControllerModel first = simulation.leaders().get(0);
    for (int i = 0; i < 180; i++) {
      simulation.cloud.die("vm-" + i);
    }
    first.crash();
    simulation.runTo(60);
    assertNoViolations(simulation);
    assertEquals(180, simulation.checker.released.size(), simulation.recentLog());
    assertTrue(
        countRunningTasks(simulation) >= 1800,
        countRunningTasks(simulation) + " run\n" + simulation.recentLog());
  }

  /**
   * A team at its limit whose work also waits, a change of leaders, and a zone that says nothing:
   * what its machines may hold counts until they are gone.
   */
  @Test
  void teamLimitHoldsAcrossFailover() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createSimulationAtTeamLimit(seed);
      crashLeaderAndCutZone(simulation);
      simulation.runTo(90);
      assertNoViolations(simulation);
      assertEquals(120, countRunningTasks(simulation), simulation.recentLog());
    }
  }

  /**
   * Of each heartbeat a copy comes up to three leases later, at any controller, also after a
   * takeover.
   */
  @Test
  void lateDuplicateHeartbeatsViolateNoInvariant() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = playDuplicates(seed);
      assertNoViolations(simulation);
      assertEquals(List.of(), simulation.checker.released, simulation.recentLog());
      assertTrue(
          countRunningTasks(simulation) >= 180,
          countRunningTasks(simulation) + " run\n" + simulation.recentLog());
    }
    Simulation simulation = playDuplicates(1, Mutation.ACCEPT_DUPLICATE_HEARTBEATS);
    assertFalse(simulation.checker.violations.isEmpty(), "a safety measure was taken away");
  }

  private static Simulation playDuplicates(long seed, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
    simulation.mutations.addAll(List.of(mutations));
    simulation.duplicateShare = 1;
    for (int i = 0; i < 30; i++) {
      int id = i;
      simulation.after(
          i * 2000L, () -> simulation.submit(JobDraft.job("wk-1" + id, JobKind.ARRAY, 20), 8_000L));
    }
    simulation.runTo(40);
    simulation.leaders().get(0).crash();
    simulation.runTo(60);
    simulation.leaders().get(0).crash();
    simulation.controllers.stream()
        .filter(controller -> controller.crashed())
        .findFirst()
        .orElseThrow()
        .start();
    simulation.runTo(140);
    return simulation;
  }

  /** Machines are back within a second, under their names, in the middle of an election. */
  @Test
  void workResumesWhenMachinesRestartDuringElection() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      simulation.duplicateShare = 0.2;
      simulation.leaders().get(0).crash();
      for (int i = 0; i < 12; i++) {
        WorkerModel machine = simulation.workers.get("vm-" + (seed + 5 * i) % 60);
        simulation.after(
            simulation.random.nextLong(4000),
            () -> machine.restart(50 + simulation.random.nextLong(900)));
      }
      simulation.runTo(80);
      assertNoViolations(simulation);
      assertTrue(
          countRunningTasks(simulation) >= 180,
          countRunningTasks(simulation) + " run\n" + simulation.recentLog());
    }
  }

  private static void crashLeaderAndCutZone(Simulation simulation) {
    simulation.controllers.forEach(controller -> simulation.cutBoth(controller.name, "zone a"));
    simulation.leaders().get(0).crash();
  }

  private static Simulation createSimulationAtTeamLimit(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 60));
    simulation.teamCpuLimit = 120;
    simulation.runTo(4);
    simulation.submit(JobDraft.job("wk-1", JobKind.SERVICE, 110), null);
    simulation.runTo(20);
    simulation.submit(JobDraft.job("wk-2", JobKind.SERVICE, 40), null);
    simulation.runTo(25);
    assertEquals(120, countRunningTasks(simulation), simulation.recentLog());
    return simulation;
  }
}
