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
 * Randomized scenarios, which violate no invariant, and single failovers with crashes and with lost
 * and duplicate heartbeats.
 */
class SimulationTest {
  private static final int SEEDS = 25;
  private static final int MUTANT_SEEDS = 300;

  @Test
  void randomizedScenariosViolateNoInvariant() {
    int seeds = Integer.getInteger("simulation.seeds", 150);
    int gangs = 0;
    int preempted = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      RandomizedScenario scenario = RandomizedScenario.play(seed);
      assertNoViolations(scenario.simulation);
      assertEquals("", scenario.describeUnserved(), scenario.simulation.recentLog());
      gangs += scenario.simulation.gangs.started;
      preempted += scenario.simulation.cloud.preemptedWithTasks;
    }
    assertTrue(gangs >= seeds / 2, gangs + " gangs ran");
    assertTrue(preempted >= seeds / 2, preempted + " machines with tasks were preempted");
  }

  /**
   * Shows that the checker can fail: with each of these safety measures taken away, one of the
   * seeds up to {@link #MUTANT_SEEDS} fails.
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
      while (seed <= MUTANT_SEEDS && !RandomizedScenario.play(seed, mutation).hasFailed()) {
        seed++;
      }
      found.append(mutation).append(" by seed ").append(seed).append('\n');
    }
    assertFalse(found.toString().contains("by seed " + (MUTANT_SEEDS + 1)), found.toString());
  }

  /**
   * Two controllers believe that they lead: the old one, whose lease is uncertain, reaches zones b
   * and c, and the new one reaches zone a only. The old leader must not trust that a worker lease
   * has expired.
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
   * Heartbeats are rejected for longer than a lease while direct commands pass: epochs end, and the
   * lease of what the leader starts in the next epochs counts from the beginning of the epoch, not
   * from the last heartbeat.
   */
  @Test
  void workResumesWhenHeartbeatsAreRejectedButCommandsPass() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      simulation.controllers.forEach(controller -> controller.rejectHeartbeats(40_000));
      simulation.runTo(100);
      assertNoViolations(simulation);
      assertNotEquals(0, simulation.checker.killedOnLeaseExpiry, simulation.recentLog());
      assertTrue(
          countRunningTasks(simulation) >= 180,
          countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
    }
  }

  @Test
  void manyDeadMachinesAreReplacedAfterFailover() {
    Simulation simulation = createLoadedSimulation(1, Setup.of(3, 600));
    ControllerModel first = simulation.leaders().get(0);
    for (int i = 0; i < 180; i++) {
      simulation.cloud.killMachine("vm-" + i);
    }
    first.crash();
    simulation.runTo(60);
    assertNoViolations(simulation);
    assertEquals(180, simulation.checker.releasedAsSilent.size(), simulation.recentLog());
    assertTrue(
        countRunningTasks(simulation) >= 1800,
        countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
  }

  /**
   * A team is at its limit and more of its work waits, the leader changes, and a zone is silent:
   * what the machines of the zone may hold counts until they are gone.
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
   * A duplicate of each heartbeat arrives up to three leases later, at any controller, also after a
   * failover.
   */
  @Test
  void lateDuplicateHeartbeatsViolateNoInvariant() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = playDuplicates(seed);
      assertNoViolations(simulation);
      assertEquals(List.of(), simulation.checker.releasedAsSilent, simulation.recentLog());
      assertTrue(
          countRunningTasks(simulation) >= 180,
          countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
    }
    Simulation simulation = playDuplicates(1, Mutation.ACCEPT_DUPLICATE_HEARTBEATS);
    assertFalse(
        simulation.checker.violations.isEmpty(), "accepted duplicates violate no invariant");
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
        .filter(controller -> controller.isCrashed())
        .findFirst()
        .orElseThrow()
        .start();
    simulation.runTo(140);
    return simulation;
  }

  /** Machines restart within a second, under their names, during an election. */
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
          countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
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
