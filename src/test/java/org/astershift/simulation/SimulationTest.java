package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Priority;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/** Several controllers together, under cuts and deaths: nobody gives away what somebody hears. */
class SimulationTest {
  private static final int SEEDS = 25;
  private static final int MUTANT_SEEDS = 300;

  static JobSpec job(String id, JobKind kind, int tasks) {
    return job(id, kind, tasks, null, false, false);
  }

  static JobSpec job(
      String id, JobKind kind, int tasks, String zone, boolean oneZone, boolean spread) {
    return new JobSpec(
        id,
        "c",
        "team",
        kind,
        Priority.NORMAL,
        tasks,
        1,
        0,
        1,
        "i",
        1,
        null,
        zone,
        oneZone,
        spread,
        false,
        20,
        0,
        0,
        null);
  }

  /** A world with replicas on it that has come to rest. */
  private static Simulation loadedSimulation(long seed, Setup setup) {
    Simulation simulation = new Simulation(seed, setup);
    simulation.runTo(4);
    // Something is on each machine to the end, so that none is ever idle: each return is for
    // silence.
    simulation.submit(job("wk-1", JobKind.SERVICE, 3 * setup.machines()), null);
    simulation.submit(job("wk-2", JobKind.ARRAY, setup.machines()), 40_000L);
    simulation.runTo(20);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    assertTrue(
        running(simulation) >= 4 * setup.machines(),
        running(simulation) + " run\n" + simulation.recentLog());
    return simulation;
  }

  private static int running(Simulation simulation) {
    return simulation.workers.values().stream().mapToInt(WorkerModel::runningTasks).sum();
  }

  private static void assertSound(Simulation simulation) {
    assertEquals(List.of(), simulation.checker.violations, simulation.recentLog());
    assertEquals(List.of(), simulation.checker.healthyReleased, simulation.recentLog());
  }

  private static ControllerModel follower(Simulation simulation, int which) {
    return simulation.controllers.stream()
        .filter(controller -> !controller.leads())
        .toList()
        .get(which);
  }

  @Test
  void randomizedScenariosViolateNoInvariant() {
    int seeds = Integer.getInteger("simulation.seeds", 150);
    int gangs = 0;
    int taken = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      RandomizedScenario scenario = RandomizedScenario.play(seed);
      assertSound(scenario.simulation);
      assertEquals("", scenario.unserved(), scenario.simulation.recentLog());
      gangs += scenario.simulation.gangs.started;
      taken += scenario.simulation.cloud.preemptedWithTasks;
    }
    assertTrue(gangs >= seeds / 2, gangs + " gangs ran");
    assertTrue(taken >= seeds / 2, taken + " machines with tasks were taken back");
  }

  /** The checker can fail: each of these fences taken away is missed within so many seeds. */
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
   * Two that both believe: the old leader, in doubt, hears zones b and c and nothing of zone a, the
   * new one hears zone a only. That a lease has run out it must not take for a proof.
   */
  @Test
  void leaderWithUncertainLeaseTrustsNoExpiry() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = twoLeaders(seed);
      assertEquals(2, simulation.leaders().size(), simulation.recentLog());
      assertSound(simulation);
    }
  }

  /** With fences taken away once all are at rest. */
  static Simulation twoLeaders(long seed, Mutation... mutations) {
    Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
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

  /** Without handing over the deaf leader stays, and the leases run out. */
  @Test
  void withoutLeadershipTransferWorkerLeasesExpire() {
    Simulation simulation = loadedSimulation(1, Setup.of(3, 60));
    simulation.mutations.add(Mutation.NO_LEADERSHIP_TRANSFER);
    simulation.cutBoth(simulation.leaders().get(0).name, "workers");
    simulation.runTo(60);
    assertNotEquals(0, simulation.checker.killedByLease, "a fence was taken away");
  }

  @Test
  void secondLeaderPartitionedFromWorkersLikeFirst() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      ControllerModel first = simulation.leaders().get(0);
      ControllerModel second = follower(simulation, 0);
      ControllerModel third = follower(simulation, 1);
      simulation.cutBoth(first.name, "workers");
      simulation.cutBoth(second.name, "workers");
      simulation.runTo(35);
      assertEquals(List.of(third), simulation.leaders(), simulation.recentLog());
      simulation.runTo(95);
      assertEquals(0, simulation.checker.killedByLease, simulation.recentLog());
      simulation.healBoth(first.name, "workers");
      simulation.healBoth(second.name, "workers");
      simulation.runTo(120);
      assertSound(simulation);
      assertEquals(List.of(), simulation.checker.released, simulation.recentLog());
    }
  }

  @Test
  void allControllersPartitionedAndHealedOneByOne() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      simulation.controllers.forEach(controller -> simulation.cutBoth(controller.name, "workers"));
      int before = simulation.checker.leaders.size();
      simulation.runTo(90);
      assertEquals(
          before,
          simulation.checker.leaders.size(),
          "nobody reaches them: one stays\n" + simulation.recentLog());
      ControllerModel back = follower(simulation, 1);
      simulation.healBoth(back.name, "workers");
      simulation.runTo(110);
      assertEquals(List.of(back), simulation.leaders(), simulation.recentLog());
      simulation.controllers.forEach(controller -> simulation.healBoth(controller.name, "workers"));
      simulation.runTo(150);
      assertSound(simulation);
      assertEquals(before + 1, simulation.checker.leaders.size(), simulation.recentLog());
      assertEquals(List.of(), simulation.checker.released, simulation.recentLog());
      assertTrue(
          running(simulation) >= 180, running(simulation) + " run\n" + simulation.recentLog());
    }
  }

  @Test
  void leaderOutboundPartitionedFromWorkers() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      ControllerModel first = simulation.leaders().get(0);
      simulation.cut(first.name, "workers");
      simulation.runTo(80);
      assertSound(simulation);
      assertEquals(List.of(), simulation.checker.released, simulation.recentLog());
      simulation.heal(first.name, "workers");
      simulation.runTo(110);
      assertSound(simulation);
    }
  }

  /**
   * Reports find no place for longer than a lease and direct orders pass: sessions end, and what
   * the leader starts in the next ones lives by their own beginning, not by the last report.
   */
  @Test
  void heartbeatsLostWhileCommandsPass() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      simulation.controllers.forEach(controller -> controller.rejectHeartbeats(40_000));
      simulation.runTo(100);
      assertSound(simulation);
      assertNotEquals(0, simulation.checker.killedByLease, simulation.recentLog());
      assertTrue(
          running(simulation) >= 180, running(simulation) + " run\n" + simulation.recentLog());
    }
  }

  @Test
  void leaderPartitionedDuringScaleIn() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      ControllerModel first = simulation.leaders().get(0);
      for (int i = 0; i < 12; i++) {
        simulation.cloud.die("vm-" + i);
      }
      simulation.runTo(23.5 + seed % 25 * 0.1);
      simulation.cutBoth(first.name, "workers");
      simulation.runTo(60);
      assertSound(simulation);
      assertNotEquals(List.of(first), simulation.leaders(), simulation.recentLog());
      assertEquals(12, simulation.checker.released.size(), simulation.recentLog());
      simulation.healBoth(first.name, "workers");
      simulation.runTo(100);
      assertSound(simulation);
    }
  }

  @Test
  void manyMachinesDeadAtFailover() {
    Simulation simulation = loadedSimulation(1, Setup.of(3, 600));
    ControllerModel first = simulation.leaders().get(0);
    for (int i = 0; i < 180; i++) {
      simulation.cloud.die("vm-" + i);
    }
    first.crash();
    simulation.runTo(60);
    assertSound(simulation);
    assertEquals(180, simulation.checker.released.size(), simulation.recentLog());
    assertTrue(
        running(simulation) >= 1800, running(simulation) + " run\n" + simulation.recentLog());
  }

  /**
   * A team at its limit whose work also waits, a change of leaders, and a zone that says nothing:
   * what its machines may hold counts until they are gone.
   */
  @Test
  void teamLimitHoldsAcrossFailover() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = simulationAtTeamLimit(seed);
      crashLeaderAndCutZone(simulation);
      simulation.runTo(90);
      assertSound(simulation);
      assertEquals(120, running(simulation), simulation.recentLog());
    }
  }

  /** Reports of a zone arrive and nothing that is said to it, while leaders change. */
  @Test
  void zoneInboundPartitionedDuringFailover() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      simulation.controllers.forEach(controller -> simulation.cut(controller.name, "zone a"));
      simulation.runTo(21 + seed % 10);
      simulation.leaders().get(0).crash();
      simulation.runTo(40);
      simulation.submit(job("wk-3", JobKind.ARRAY, 60), 5_000L);
      simulation.runTo(100);
      assertSound(simulation);
      // What was opened before waits for none of them for ever: they are given up, and replaced.
      assertTrue(
          running(simulation) >= 180, running(simulation) + " run\n" + simulation.recentLog());
      assertTrue(
          simulation.checker.released.stream()
              .allMatch(m -> simulation.workers.get(m).zone.equals("a")),
          simulation.recentLog());
      simulation.controllers.forEach(controller -> simulation.heal(controller.name, "zone a"));
      simulation.runTo(130);
      assertSound(simulation);
    }
  }

  /** A few such machines under a leader that stays: they get nothing new, and are used again. */
  @Test
  void machineInboundPartitionedForAWhile() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      simulation.controllers.forEach(controller -> simulation.cut(controller.name, "vm-7"));
      simulation.submit(job("wk-3", JobKind.SERVICE, 30), null);
      simulation.runTo(32);
      assertTrue(
          running(simulation) >= 210, running(simulation) + " run\n" + simulation.recentLog());
      simulation.controllers.forEach(controller -> simulation.heal(controller.name, "vm-7"));
      simulation.runTo(80);
      assertSound(simulation);
      assertTrue(
          running(simulation) >= 210, running(simulation) + " run\n" + simulation.recentLog());
    }
  }

  /**
   * The next leader cannot make one machine listen, though the other controller reaches it: for a
   * while it is kept, but not for as long as the cut lasts, since all jobs opened before wait for
   * it.
   */
  @Test
  void oneUnreconciledMachineDoesNotBlockAllJobs() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      simulation.leaders().get(0).crash();
      simulation.controllers.stream()
          .filter(controller -> !controller.crashed())
          .forEach(controller -> simulation.cut(controller.name, "vm-3"));
      simulation.runTo(24);
      ControllerModel next = simulation.leaders().get(0);
      simulation.controllers.stream()
          .filter(controller -> controller != next)
          .forEach(controller -> simulation.heal(controller.name, "vm-3"));
      simulation.submit(job("wk-3", JobKind.ARRAY, 60), 5_000L);
      simulation.runTo(70);
      assertSound(simulation);
      assertFalse(next.reconciling(), simulation.recentLog());
      assertTrue(
          running(simulation) >= 180, running(simulation) + " run\n" + simulation.recentLog());
    }
  }

  /** Of each report a copy comes up to three leases later, at any node, also after a takeover. */
  @Test
  void duplicateHeartbeatsArriveLate() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = playDuplicates(seed);
      assertSound(simulation);
      assertEquals(List.of(), simulation.checker.released, simulation.recentLog());
      assertTrue(
          running(simulation) >= 180, running(simulation) + " run\n" + simulation.recentLog());
    }
    Simulation simulation = playDuplicates(1, Mutation.ACCEPT_DUPLICATE_HEARTBEATS);
    assertFalse(simulation.checker.violations.isEmpty(), "a fence was taken away");
  }

  private static Simulation playDuplicates(long seed, Mutation... mutations) {
    Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
    simulation.mutations.addAll(List.of(mutations));
    simulation.duplicateShare = 1;
    for (int i = 0; i < 30; i++) {
      int id = i;
      simulation.after(
          i * 2000L, () -> simulation.submit(job("wk-1" + id, JobKind.ARRAY, 20), 8_000L));
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
  void machinesRestartDuringElection() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      simulation.duplicateShare = 0.2;
      simulation.leaders().get(0).crash();
      for (int i = 0; i < 12; i++) {
        WorkerModel machine = simulation.workers.get("vm-" + (seed + 5 * i) % 60);
        simulation.after(
            simulation.random.nextLong(4000),
            () -> machine.restart(50 + simulation.random.nextLong(900)));
      }
      simulation.runTo(80);
      assertSound(simulation);
      assertTrue(
          running(simulation) >= 180, running(simulation) + " run\n" + simulation.recentLog());
    }
  }

  /** Alone with its workers the old leader goes on for as long as none has heard of another. */
  @Test
  void leaderPartitionedFromAllButItsWorkers() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      ControllerModel old = simulation.leaders().get(0);
      for (String host :
          List.of("state", follower(simulation, 0).name, follower(simulation, 1).name)) {
        simulation.cutBoth(old.name, host);
      }
      simulation.runTo(30);
      if (seed % 2 == 0) {
        simulation.leaders().stream()
            .filter(controller -> controller != old)
            .forEach(ControllerModel::crash); // in the election
      }
      simulation.submit(job("wk-3", JobKind.ARRAY, 60), 5_000L);
      simulation.runTo(70);
      assertSound(simulation);
      assertEquals(0, simulation.checker.killedByLease, simulation.recentLog());
      assertEquals(List.of(), simulation.checker.released, simulation.recentLog());
      assertTrue(
          running(simulation) >= 180, running(simulation) + " run\n" + simulation.recentLog());
      assertEquals(
          1,
          simulation.leaders().stream().filter(controller -> controller != old).count(),
          simulation.recentLog());
    }
  }

  private static void crashLeaderAndCutZone(Simulation simulation) {
    simulation.controllers.forEach(controller -> simulation.cutBoth(controller.name, "zone a"));
    simulation.leaders().get(0).crash();
  }

  private static Simulation simulationAtTeamLimit(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 60));
    simulation.teamCpuLimit = 120;
    simulation.runTo(4);
    simulation.submit(job("wk-1", JobKind.SERVICE, 110), null);
    simulation.runTo(20);
    simulation.submit(job("wk-2", JobKind.SERVICE, 40), null);
    simulation.runTo(25);
    assertEquals(120, running(simulation), simulation.recentLog());
    return simulation;
  }

  @Test
  void zonePartitionedWithLeader() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      ControllerModel first = simulation.leaders().get(0);
      for (String host :
          List.of(
              "state",
              "cloud",
              "zone b",
              "zone c",
              follower(simulation, 0).name,
              follower(simulation, 1).name)) {
        simulation.cutBoth(first.name, host);
      }
      for (ControllerModel controller : simulation.controllers) {
        if (controller != first) {
          simulation.cutBoth(controller.name, "zone a");
        }
      }
      simulation.runTo(50);
      assertEquals(List.of(), simulation.checker.violations, simulation.recentLog());
      // The zone's machines are reached by nobody who could use them: given up, and replaced.
      assertTrue(
          simulation.checker.released.size() >= 20,
          simulation.recentLog()); // and what was rented there before
      assertTrue(
          simulation.checker.released.stream()
              .allMatch(m -> simulation.workers.get(m).zone.equals("a")),
          simulation.recentLog());
      assertTrue(
          simulation.controllers.stream()
              .anyMatch(controller -> controller != first && controller.leads()),
          simulation.recentLog());
    }
  }

  @Test
  void loneControllerReleasesDeadMachines() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      follower(simulation, 0).crash();
      follower(simulation, 1).crash();
      for (int i = 0; i < 10; i++) {
        simulation.cloud.die("vm-" + i);
      }
      simulation.runTo(45); // before the cloud says that they failed
      assertSound(simulation);
      assertEquals(10, simulation.checker.released.size(), simulation.recentLog());
    }
  }

  /**
   * A leader is cut off from a zone while the others are starting: it keeps the zone until they can
   * tell. Where they stay away, and nobody reaches the zone, it goes all the same.
   */
  @Test
  void loneLeaderKeepsZoneUntilPeersReturn() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = loadedSimulation(seed, Setup.of(3, 60));
      ControllerModel leader = simulation.leaders().get(0);
      List<ControllerModel> others =
          simulation.controllers.stream().filter(controller -> controller != leader).toList();
      others.forEach(ControllerModel::crash);
      simulation.cutBoth(leader.name, "zone a");
      others.forEach(
          controller ->
              simulation.after(7000 + simulation.random.nextLong(3000), controller::start));
      simulation.runTo(60);
      assertSound(simulation);
      int few =
          simulation.checker.released
              .size(); // by its own ears, before most of the zone was overdue
      assertTrue(few <= 4, simulation.recentLog());
      simulation.controllers.forEach(controller -> simulation.cutBoth(controller.name, "zone a"));
      simulation.controllers.stream()
          .filter(controller -> !controller.leads())
          .forEach(ControllerModel::crash);
      simulation.runTo(85);
      assertSound(simulation);
      assertTrue(simulation.checker.released.size() - few >= 16, simulation.recentLog());
    }
  }

  @Test
  void controllersSplitBetweenHalvesOfWorkers() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation =
          loadedSimulation(seed, new Setup(5, 60, List.of("a", "b"), 2000, 14_000));
      for (int i = 0; i < 5; i++) {
        simulation.cutBoth("n" + i, i < 3 ? "zone a" : "zone b");
      }
      simulation.runTo(100);
      assertSound(simulation);
      assertTrue(
          simulation.checker.leaders.size() <= 4,
          simulation.checker.leaders + "\n" + simulation.recentLog());
    }
  }
}
