package org.astershift.simulation;

import static org.astershift.simulation.FleetUnderLoad.assertNoViolations;
import static org.astershift.simulation.FleetUnderLoad.countRunningTasks;
import static org.astershift.simulation.FleetUnderLoad.createLoadedSimulation;
import static org.astershift.simulation.FleetUnderLoad.follower;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Network partitions between controllers, workers and the store: no machine is released that some
 * controller reaches, and in the end all work runs.
 */
class PartitionTest {
  private static final int SEEDS = 25;

  /**
   * Without a leadership transfer the leader that is partitioned from its workers stays, and the
   * worker leases expire.
   */
  @Test
  void withoutLeadershipTransferWorkerLeasesExpire() {
    Simulation simulation = createLoadedSimulation(1, Setup.of(3, 60));
    simulation.mutations.add(Mutation.NO_LEADERSHIP_TRANSFER);
    simulation.cutBoth(simulation.leaders().get(0).name, "workers");
    simulation.runTo(60);
    assertNotEquals(
        0,
        simulation.checker.killedOnLeaseExpiry,
        "no worker lease expired without a leadership transfer");
  }

  @Test
  void thirdControllerLeadsWhenFirstTwoAreCutFromWorkers() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      ControllerModel first = simulation.leaders().get(0);
      ControllerModel second = follower(simulation, 0);
      ControllerModel third = follower(simulation, 1);
      simulation.cutBoth(first.name, "workers");
      simulation.cutBoth(second.name, "workers");
      simulation.runTo(35);
      assertEquals(List.of(third), simulation.leaders(), simulation.recentLog());
      simulation.runTo(95);
      assertEquals(0, simulation.checker.killedOnLeaseExpiry, simulation.recentLog());
      simulation.healBoth(first.name, "workers");
      simulation.healBoth(second.name, "workers");
      simulation.runTo(120);
      assertNoViolations(simulation);
      assertEquals(List.of(), simulation.checker.releasedAsSilent, simulation.recentLog());
    }
  }

  @Test
  void leaderStaysWhileNoControllerReachesWorkers() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      simulation.controllers.forEach(controller -> simulation.cutBoth(controller.name, "workers"));
      int before = simulation.checker.termLeaders.size();
      simulation.runTo(90);
      assertEquals(
          before,
          simulation.checker.termLeaders.size(),
          "no controller reaches the workers, so the leader must stay\n" + simulation.recentLog());
      ControllerModel back = follower(simulation, 1);
      simulation.healBoth(back.name, "workers");
      simulation.runTo(110);
      assertEquals(List.of(back), simulation.leaders(), simulation.recentLog());
      simulation.controllers.forEach(controller -> simulation.healBoth(controller.name, "workers"));
      simulation.runTo(150);
      assertNoViolations(simulation);
      assertEquals(before + 1, simulation.checker.termLeaders.size(), simulation.recentLog());
      assertEquals(List.of(), simulation.checker.releasedAsSilent, simulation.recentLog());
      assertTrue(
          countRunningTasks(simulation) >= 180,
          countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
    }
  }

  @Test
  void outboundPartitionedLeaderReleasesNoMachines() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      ControllerModel first = simulation.leaders().get(0);
      simulation.cut(first.name, "workers");
      simulation.runTo(80);
      assertNoViolations(simulation);
      assertEquals(List.of(), simulation.checker.releasedAsSilent, simulation.recentLog());
      simulation.heal(first.name, "workers");
      simulation.runTo(110);
      assertNoViolations(simulation);
    }
  }

  @Test
  void onlyDeadMachinesAreReleasedWhenLeaderIsPartitioned() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      ControllerModel first = simulation.leaders().get(0);
      for (int i = 0; i < 12; i++) {
        simulation.cloud.killMachine("vm-" + i);
      }
      simulation.runTo(23.5 + seed % 25 * 0.1);
      simulation.cutBoth(first.name, "workers");
      simulation.runTo(60);
      assertNoViolations(simulation);
      assertNotEquals(List.of(first), simulation.leaders(), simulation.recentLog());
      assertEquals(12, simulation.checker.releasedAsSilent.size(), simulation.recentLog());
      simulation.healBoth(first.name, "workers");
      simulation.runTo(100);
      assertNoViolations(simulation);
    }
  }

  /**
   * Heartbeats of a zone arrive, but nothing that is sent to the zone does, while the leader
   * changes.
   */
  @Test
  void workMovesOutOfInboundPartitionedZoneAfterFailover() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      simulation.controllers.forEach(controller -> simulation.cut(controller.name, "zone a"));
      simulation.runTo(21 + seed % 10);
      simulation.leaders().get(0).crash();
      simulation.runTo(40);
      simulation.submit(JobDraft.job("wk-3", JobKind.ARRAY, 60), 5_000L);
      simulation.runTo(100);
      assertNoViolations(simulation);
      // What was opened before does not wait for these machines indefinitely: they are released and
      // replaced.
      assertTrue(
          countRunningTasks(simulation) >= 180,
          countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
      assertTrue(
          simulation.checker.releasedAsSilent.stream()
              .allMatch(machine -> simulation.workers.get(machine).zone.equals("a")),
          simulation.recentLog());
      simulation.controllers.forEach(controller -> simulation.heal(controller.name, "zone a"));
      simulation.runTo(130);
      assertNoViolations(simulation);
    }
  }

  /**
   * A machine is inbound-partitioned for a while under a leader that stays: it gets no new tasks,
   * and is used again after the partition.
   */
  @Test
  void workContinuesWhileMachineIsInboundPartitioned() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      simulation.controllers.forEach(controller -> simulation.cut(controller.name, "vm-7"));
      simulation.submit(JobDraft.job("wk-3", JobKind.SERVICE, 30), null);
      simulation.runTo(32);
      assertTrue(
          countRunningTasks(simulation) >= 210,
          countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
      simulation.controllers.forEach(controller -> simulation.heal(controller.name, "vm-7"));
      simulation.runTo(80);
      assertNoViolations(simulation);
      assertTrue(
          countRunningTasks(simulation) >= 210,
          countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
    }
  }

  /**
   * The next leader cannot send to one machine, though the other controller reaches it. The machine
   * is kept for a while, but not for as long as the cut lasts, since all jobs opened before wait
   * for it.
   */
  @Test
  void oneUnreconciledMachineDoesNotBlockAllJobs() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      simulation.leaders().get(0).crash();
      simulation.controllers.stream()
          .filter(controller -> !controller.isCrashed())
          .forEach(controller -> simulation.cut(controller.name, "vm-3"));
      simulation.runTo(24);
      ControllerModel next = simulation.leaders().get(0);
      simulation.controllers.stream()
          .filter(controller -> controller != next)
          .forEach(controller -> simulation.heal(controller.name, "vm-3"));
      simulation.submit(JobDraft.job("wk-3", JobKind.ARRAY, 60), 5_000L);
      simulation.runTo(70);
      assertNoViolations(simulation);
      assertFalse(next.isReconciling(), simulation.recentLog());
      assertTrue(
          countRunningTasks(simulation) >= 180,
          countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
    }
  }

  /**
   * The old leader, which reaches only its workers, continues for as long as no worker knows a
   * newer token.
   */
  @Test
  void leaderPartitionedFromAllButItsWorkersKeepsThem() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      ControllerModel old = simulation.leaders().get(0);
      for (String host :
          List.of("state", follower(simulation, 0).name, follower(simulation, 1).name)) {
        simulation.cutBoth(old.name, host);
      }
      simulation.runTo(30);
      if (seed % 2 == 0) {
        simulation.leaders().stream()
            .filter(controller -> controller != old)
            .forEach(ControllerModel::crash); // during the election
      }
      simulation.submit(JobDraft.job("wk-3", JobKind.ARRAY, 60), 5_000L);
      simulation.runTo(70);
      assertNoViolations(simulation);
      assertEquals(0, simulation.checker.killedOnLeaseExpiry, simulation.recentLog());
      assertEquals(List.of(), simulation.checker.releasedAsSilent, simulation.recentLog());
      assertTrue(
          countRunningTasks(simulation) >= 180,
          countRunningTasks(simulation) + " tasks run\n" + simulation.recentLog());
      assertEquals(
          1,
          simulation.leaders().stream().filter(controller -> controller != old).count(),
          simulation.recentLog());
    }
  }

  @Test
  void zonePartitionedWithLeaderIsReleased() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
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
      // No controller that could use the zone's machines reaches them, so they are released and
      // replaced, and so are those that were provisioned there before.
      assertTrue(simulation.checker.releasedAsSilent.size() >= 20, simulation.recentLog());
      assertTrue(
          simulation.checker.releasedAsSilent.stream()
              .allMatch(machine -> simulation.workers.get(machine).zone.equals("a")),
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
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      follower(simulation, 0).crash();
      follower(simulation, 1).crash();
      for (int i = 0; i < 10; i++) {
        simulation.cloud.killMachine("vm-" + i);
      }
      simulation.runTo(45); // before the cloud lists them as failed
      assertNoViolations(simulation);
      assertEquals(10, simulation.checker.releasedAsSilent.size(), simulation.recentLog());
    }
  }

  /**
   * The leader is partitioned from a zone while the other controllers start: it keeps the zone
   * until they can report on it. If they stay down and nobody reaches the zone, the zone is
   * released all the same.
   */
  @Test
  void loneLeaderKeepsZoneUntilPeersReturn() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, Setup.of(3, 60));
      ControllerModel leader = simulation.leaders().get(0);
      List<ControllerModel> others =
          simulation.controllers.stream().filter(controller -> controller != leader).toList();
      others.forEach(ControllerModel::crash);
      simulation.cutBoth(leader.name, "zone a");
      others.forEach(
          controller ->
              simulation.after(7000 + simulation.random.nextLong(3000), controller::start));
      simulation.runTo(60);
      assertNoViolations(simulation);
      // Released by the leader's own evidence alone, before most of the zone was overdue.
      int releasedAlone = simulation.checker.releasedAsSilent.size();
      assertTrue(releasedAlone <= 4, simulation.recentLog());
      simulation.controllers.forEach(controller -> simulation.cutBoth(controller.name, "zone a"));
      simulation.controllers.stream()
          .filter(controller -> !controller.leads())
          .forEach(ControllerModel::crash);
      simulation.runTo(85);
      assertNoViolations(simulation);
      assertTrue(
          simulation.checker.releasedAsSilent.size() - releasedAlone >= 16, simulation.recentLog());
    }
  }

  @Test
  void leadershipSettlesWhenControllersReachDifferentHalvesOfWorkers() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation =
          createLoadedSimulation(seed, new Setup(5, 60, List.of("a", "b"), 2000, 14_000));
      for (int i = 0; i < 5; i++) {
        simulation.cutBoth("n" + i, i < 3 ? "zone a" : "zone b");
      }
      simulation.runTo(100);
      assertNoViolations(simulation);
      assertTrue(
          simulation.checker.termLeaders.size() <= 4,
          simulation.checker.termLeaders + "\n" + simulation.recentLog());
    }
  }
}
