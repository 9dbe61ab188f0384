package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.astershift.simulation.CombinedFaults.createSimulationWithArrays;
import static org.astershift.simulation.CombinedFaults.hasOtherLeader;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.scheduler.JobKind;
import org.junit.jupiter.api.Test;

/**
 * Pairs of faults that meet, each shown to have occurred: no invariant is violated, and each user
 * gets an answer in the end. For most pairs a mutation shows that the checker detects the failure
 * that the test guards against.
 */
class CombinedFaultsTest {
  private static final int SEEDS = 20;
  private static final int MUTANT_SEEDS = 4 * SEEDS;

  /**
   * Guards against adopting a job from a read that is older than the end of the job. A follower
   * reads a live job for a user, or accepts it, and the thread that does so pauses; the job is
   * cancelled, the leader crashes, the follower leads, and the thread resumes.
   */
  @Test
  void staleJobReadIsNotAdopted() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertNoViolations(playDelayedJobRead(seed));
    }
    assertDetected(
        Mutation.ADOPT_STALE_JOBS,
        MUTANT_SEEDS,
        seed -> playDelayedJobRead(seed, Mutation.ADOPT_STALE_JOBS));
  }

  private static Simulation playDelayedJobRead(long seed, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 3, mutations);
    simulation.threadStallMs = 8000;
    for (ControllerModel controller : simulation.controllers) {
      for (int i = 10; i < 16; i++) {
        controller.jobState("wk-" + i, false, state -> {});
      }
    }
    for (int i = 10; i < 16; i++) {
      simulation.cancelAsUser("wk-" + i);
    }
    ControllerModel old = simulation.leaders().get(0);
    simulation.runUntil(() -> simulation.checker.cancelsConfirmed() >= 3, 40);
    old.crash();
    simulation.runTo(70);
    assertTrue(simulation.checker.cancelsConfirmed() >= 3, simulation.recentLog());
    return simulation;
  }

  /**
   * Two controllers believe that they lead; the one whose lease is uncertain must not trust that a
   * worker lease has expired.
   */
  @Test
  void leaseExpiryProvesNothingWhileLeaseUncertain() {
    assertDetected(
        Mutation.TRUST_EXPIRY_WITH_UNCERTAIN_LEASE,
        MUTANT_SEEDS,
        seed -> FleetUnderLoad.playTwoLeaders(seed, Mutation.TRUST_EXPIRY_WITH_UNCERTAIN_LEASE));
  }

  /**
   * A job is submitted, and the leader loses the store and the other controllers before the job is
   * opened on record.
   */
  @Test
  void partitionedLeaderStartsNoUnopenedJob() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertNoViolations(playIsolationOnSubmission(seed));
    }
    assertDetected(
        Mutation.START_BEFORE_JOB_OPENED,
        MUTANT_SEEDS,
        seed -> playIsolationOnSubmission(seed, Mutation.START_BEFORE_JOB_OPENED));
  }

  private static Simulation playIsolationOnSubmission(long seed, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 3, mutations);
    ControllerModel old = simulation.leaders().get(0);
    simulation.submit(JobDraft.job("wk-30", JobKind.ARRAY, 6), 60_000L);
    assertTrue(simulation.runUntil(() -> old.manages("wk-30"), 25), simulation.recentLog());
    simulation.cutBoth(old.name, "state");
    for (ControllerModel controller : simulation.controllers) {
      if (controller != old) {
        simulation.cutBoth(old.name, controller.name);
        simulation.cutBoth(controller.name, "zone a"); // only the old leader reaches zone a
      }
    }
    simulation.runTo(60);
    assertTrue(hasOtherLeader(simulation, old), simulation.recentLog());
    return simulation;
  }

  /**
   * A transaction gets no answer and is applied 2 to 12 s later, after newer ones of the same
   * controller, while machines boot; the leader crashes just after that.
   */
  @Test
  void delayedWritesDoNotOverwriteNewerOnes() {
    int late = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = playDelayedWrites(seed);
      assertNoViolations(simulation);
      late += simulation.store.appliedAfterNewer;
    }
    assertNotEquals(0, late, "no late write was applied after a newer one");
    assertDetected(
        Mutation.UNCONDITIONAL_RECORD_WRITES,
        MUTANT_SEEDS,
        seed -> playDelayedWrites(seed, Mutation.UNCONDITIONAL_RECORD_WRITES));
  }

  private static Simulation playDelayedWrites(long seed, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 6, 3, mutations);
    simulation.store.lateShare = 0.5;
    // Machines are provisioned for this service.
    simulation.submit(JobDraft.job("wk-40", JobKind.SERVICE, 40), null);
    simulation.runTo(24);
    simulation.store.lateShare = seed % 2 == 0 ? 0.3 : 0;
    for (int i = 0; i < 8; i++) {
      String job = "wk-5" + i;
      Runnable then = () -> simulation.after(3000, () -> simulation.cancelAsUser(job));
      simulation.submitAsUser(JobDraft.job(job, JobKind.ARRAY, 2), 5_000L, then);
    }
    simulation.runTo(33 + simulation.random.nextInt(4));
    simulation.store.lateShare = 0;
    simulation.leaders().forEach(ControllerModel::crash);
    simulation.runTo(80);
    return simulation;
  }

  /**
   * Jobs of two and three tasks, of which one ends early and the last late, and the leader changes
   * twice in between: once while the record of the early task is in flight or late, and once by a
   * hand-over.
   */
  @Test
  void jobsCompleteWhenTasksEndFarApartAcrossFailovers() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createSimulationWithArrays(seed, 12, 3);
      simulation.submitAsUser(JobDraft.job("wk-60", JobKind.ARRAY, 2), 8_000L, () -> {});
      simulation.submitAsUser(JobDraft.job("wk-61", JobKind.ARRAY, 3), 8_000L, () -> {});
      simulation.users.taskRunMs.put("wk-60/1", 45_000L);
      simulation.users.taskRunMs.put("wk-61/2", 45_000L);
      // The early task is done, its record is in flight or late, and the leader crashes.
      simulation.store.lateShare = seed % 2 == 0 ? 0.5 : 0;
      ControllerModel old = simulation.leaders().get(0);
      assertTrue(
          simulation.runUntil(() -> old.doneTasks("wk-60") == 1, 50), simulation.recentLog());
      simulation.runTo((simulation.now() + seed * 150) / 1000.0);
      old.crash();
      simulation.store.lateShare = 0;
      simulation.pollAllJobs();
      simulation.runTo(45);
      old.start();
      simulation.leaders().forEach(ControllerModel::resign);
      simulation.runTo(110);
      assertNoViolations(simulation);
      for (ControllerModel controller : simulation.controllers) {
        assertEquals(
            "done", simulation.checker.lastState("wk-60", controller.name), simulation.fullLog());
        assertEquals(
            "done", simulation.checker.lastState("wk-61", controller.name), simulation.fullLog());
      }
    }
  }

  /** Controllers hand over and back, all crash, and one restarts, all within a second or two. */
  @Test
  void cancellationsSurviveTransfersAndCrashOfAllControllers() {
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation simulation = createSimulationWithArrays(seed, 12, 3);
      simulation.pollAllJobs();
      for (int i = 10; i < 13; i++) {
        simulation.cancelAsUser("wk-" + i);
      }
      for (int i = 0; i < 6; i++) {
        simulation.after(
            simulation.random.nextLong(4000),
            () -> simulation.leaders().forEach(ControllerModel::resign));
      }
      simulation.runTo(20 + simulation.random.nextInt(5000) / 1000.0);
      simulation.controllers.forEach(ControllerModel::crash);
      ControllerModel first = simulation.controllers.get(simulation.random.nextInt(3));
      for (ControllerModel controller : simulation.controllers) {
        simulation.after(
            50 + simulation.random.nextLong(controller == first ? 300 : 6000), controller::start);
      }
      simulation.runTo(100);
      assertNoViolations(simulation);
      simulation.checker.checkAllAnswered(25_000);
      assertNoViolations(simulation);
      assertEquals(1, simulation.leaders().size(), simulation.recentLog());
      for (int i = 10; i < 13; i++) {
        assertNotNull(simulation.checker.cancelConfirmedMs("wk-" + i), simulation.fullLog());
      }
    }
  }

  /**
   * The leader crashes while machines with long tasks cannot be reached, or are inbound-partitioned
   * from the next leader; users cancel meanwhile. No cancellation is confirmed too early, and none
   * is put off indefinitely, since such machines are released. What is not cancelled runs in the
   * end.
   */
  @Test
  void unreachableMachinesDoNotBlockFailover() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = playUnreachableMachines(seed);
      assertNoViolations(simulation);
      for (int i = 10; i < 13; i++) {
        Long confirmed = simulation.checker.cancelConfirmedMs("wk-" + i);
        assertTrue(confirmed != null && confirmed < 60_000, simulation.fullLog());
      }
      for (int i = 13; i < 16; i++) {
        assertEquals(3, simulation.checker.tasksOnMachines("wk-" + i), simulation.fullLog());
      }
    }
    assertDetected(
        Mutation.NO_INHERITED_MACHINES,
        MUTANT_SEEDS,
        seed -> playUnreachableMachines(seed, Mutation.NO_INHERITED_MACHINES));
  }

  private static Simulation playUnreachableMachines(long seed, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 3, mutations);
    ControllerModel old = simulation.leaders().get(0);
    old.crash();
    for (ControllerModel controller : simulation.controllers) {
      simulation.cut(controller.name, "zone b");
      if (seed % 2 == 0) {
        simulation.cut("zone b", controller.name);
      }
      simulation.after(20_000 + seed * 1000, () -> simulation.healBoth(controller.name, "zone b"));
    }
    simulation.after(3000, old::start);
    simulation.runTo(22);
    for (int i = 10; i < 13; i++) {
      simulation.cancelAsUser("wk-" + i);
    }
    simulation.runTo(110);
    return simulation;
  }

  /**
   * Start and stop commands to a few machines are held for seconds and then arrive in any order;
   * under every other seed the leader hands over meanwhile.
   */
  @Test
  void tasksEndDespiteDelayedCommands() {
    int held = 0;
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation simulation = createSimulationWithArrays(seed, 12, 3);
      ControllerModel old = simulation.leaders().get(0);
      for (int i = 0; i < 4; i++) {
        String machine = "vm-" + (seed + 3 * i) % 12;
        simulation.cut(old.name, machine);
        simulation.after(
            1000 + simulation.random.nextLong(8000), () -> simulation.heal(old.name, machine));
      }
      for (int i = 0; i < 8; i++) {
        String job = "wk-5" + i;
        Runnable then =
            () ->
                simulation.after(
                    simulation.random.nextLong(6000), () -> simulation.cancelAsUser(job));
        simulation.submitAsUser(
            JobDraft.job(job, JobKind.ARRAY, 2), 3_000L, i % 2 == 0 ? then : () -> {});
      }
      if (seed % 2 == 0) {
        simulation.after(simulation.random.nextLong(6000), old::resign);
      }
      simulation.runTo(22);
      held += simulation.heldMessageCount();
      simulation.runTo(70);
      assertNoViolations(simulation);
      for (int i = 0; i < 8; i++) {
        assertEquals(0, simulation.checker.tasksOnMachines("wk-5" + i), simulation.fullLog());
      }
    }
    assertTrue(held > 50, held + " messages were held");
  }
}
