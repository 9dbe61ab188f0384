package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertSound;
import static org.astershift.simulation.CombinedFaults.leadsBeside;
import static org.astershift.simulation.CombinedFaults.nowS;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.astershift.simulation.CombinedFaults.withArrays;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.junit.jupiter.api.Test;

/**
 * Two troubles that meet, each brought about and seen to have happened: no rule breaks, and whoever
 * asked gets an answer in the end. For each a fence is taken away, and the checker notices.
 */
class CombinedFaultsTest {
  private static final int SEEDS = 20;
  private static final int MUTANT_SEEDS = 4 * SEEDS;

  /** Which machines the other controllers reach once the leader is refused. */
  private enum PeerReach {
    ALL,
    SOME,
    NONE
  }

  /** What the new leader does just after it has confirmed a cancellation, or has won. */
  private enum LeaderFault {
    STAYS,
    CRASHES,
    BACK_AT_ONCE,
    HANDS_OVER
  }

  /** When the state service is down for all. */
  private enum OutageStart {
    AS_ANOTHER_WINS,
    AFTER_A_CONFIRMATION,
    AS_THE_NEXT_WINS,
    BEFORE_ANYBODY_WINS
  }

  private record OutageCase(PeerReach reach, LeaderFault fault, OutageStart outage) {}

  /**
   * The state service refuses the leader alone; another one confirms cancellations; then it is down
   * for all, for three times as long as a cancelled task may live, while workers go on reporting to
   * the old leader. And all that once more, with whoever leads then.
   */
  @Test
  void leaderRefusedByStoreThenStoreOutage() {
    int confirmedBefore = 0;
    int answeredByOld = 0;
    for (PeerReach heard : PeerReach.values()) {
      for (LeaderFault fault : LeaderFault.values()) {
        for (OutageStart down : OutageStart.values()) {
          for (long seed = 1; seed <= 6; seed++) {
            Played played = playOutage(new OutageCase(heard, fault, down), seed);
            assertSound(played.simulation);
            confirmedBefore += played.confirmedBefore;
            answeredByOld += played.answeredByOld;
            for (int i = 10; i < 14; i++) {
              assertNotNull(
                  played.simulation.checker.cancelConfirmedMs("wk-" + i),
                  played.simulation.fullLog());
            }
          }
        }
      }
    }
    assertTrue(confirmedBefore > 100, confirmedBefore + " confirmed before the outage");
    assertTrue(answeredByOld > 1000, answeredByOld + " reports answered by the old leader in it");
  }

  /**
   * {@code confirmedBefore}: by another, before the outage; {@code answeredByOld}: by the old
   * leader in it.
   */
  private record Played(Simulation simulation, int confirmedBefore, int answeredByOld) {}

  private static Played playOutage(OutageCase outageCase, long seed, Mutation... mutations) {
    Simulation simulation = withArrays(seed, 12, 3, mutations);
    ControllerModel old = simulation.leaders().get(0);
    List<ControllerModel> others =
        simulation.controllers.stream().filter(controller -> controller != old).toList();
    simulation.store.refuse(old.name, true);
    if (seed % 2 == 0) {
      others.forEach(
          controller -> simulation.cutBoth(old.name, controller.name)); // nobody tells it who leads
    }
    if (outageCase.reach != PeerReach.ALL) {
      String who = outageCase.reach == PeerReach.SOME ? "zone a" : "workers";
      others.forEach(controller -> simulation.cutBoth(controller.name, who));
    }
    simulation.store.answerDelayMs =
        seed % 3 == 0 ? 2500 : 0; // wins, and may be too late to catch up
    for (int i = 10; i < 14; i++) {
      String job = "wk-" + i;
      simulation.after(simulation.random.nextLong(1500), () -> simulation.userCancels(job));
    }
    for (int i = 20; i < 24; i++) {
      String job = "wk-" + i;
      Runnable then =
          () ->
              simulation.after(simulation.random.nextLong(400), () -> simulation.userCancels(job));
      simulation.userSubmits(JobDraft.job(job, JobKind.ARRAY, 2), 300_000L, then);
    }
    if (outageCase.outage != OutageStart.BEFORE_ANYBODY_WINS) {
      simulation.runUntil(() -> leadsBeside(simulation, old), 30);
    }
    if (outageCase.outage == OutageStart.AFTER_A_CONFIRMATION
        || outageCase.fault != LeaderFault.STAYS) {
      simulation.runUntil(() -> simulation.checker.anyCancelConfirmed(), 30);
    }
    ControllerModel winner =
        simulation.leaders().stream()
            .filter(controller -> controller != old)
            .findFirst()
            .orElse(others.get(0));
    apply(simulation, winner, outageCase.fault, others);
    if (outageCase.outage == OutageStart.AS_THE_NEXT_WINS) {
      simulation.runUntil(() -> leadsBeside(simulation, old) && !winner.leads(), 35);
    }
    simulation.runTo((simulation.now() + seed * 7) / 1000.0);
    int confirmed = simulation.checker.cancelsConfirmed();
    int answered = old.answeredWithUncertainLease();
    simulation.log("state", "is down");
    simulation.store.unavailable(true);
    simulation.store.answerDelayMs = 0;
    simulation.after(12_000, () -> simulation.store.refuse(old.name, false));
    double outageS = 3 * InvariantChecker.CANCEL_MS / 1000.0;
    runForS(simulation, outageS);
    answered = old.answeredWithUncertainLease() - answered;
    simulation.healAll();
    simulation.store.unavailable(false);
    runForS(simulation, 15);
    // The second meeting, as on the operators' day: refused 1.5 s before all are.
    if (winner.crashed()) {
      winner.start();
    }
    simulation.runUntil(() -> !simulation.leaders().isEmpty(), nowS(simulation) + 10);
    ControllerModel next = simulation.leaders().get(0);
    simulation.store.refuse(next.name, true);
    simulation.userCancels("wk-14");
    runForS(simulation, 1.5);
    simulation.store.unavailable(true);
    runForS(simulation, outageS);
    simulation.store.refuse(next.name, false);
    simulation.store.unavailable(false);
    runForS(simulation, 50);
    return new Played(simulation, confirmed, answered);
  }

  private static void apply(
      Simulation simulation,
      ControllerModel winner,
      LeaderFault fault,
      List<ControllerModel> others) {
    switch (fault) {
      case CRASHES -> {
        winner.crash();
        for (ControllerModel controller : others) {
          simulation.cutBoth(
              controller.name, "zone b"); // which the next leader hears when it is in doubt itself
          simulation.after(6000, () -> simulation.healBoth(controller.name, "zone b"));
        }
      }
      case BACK_AT_ONCE -> {
        winner.crash();
        simulation.after(300, winner::start);
      }
      case HANDS_OVER -> winner.resign();
      default -> {}
    }
  }

  /** A cancellation that does not wait for unheard machines is outlived at the old leader. */
  @Test
  void confirmingBeforeReconciliationIsDetected() {
    OutageCase outageCase =
        new OutageCase(PeerReach.NONE, LeaderFault.STAYS, OutageStart.AFTER_A_CONFIRMATION);
    assertDetected(
        Mutation.CONFIRM_CANCEL_UNRECONCILED,
        MUTANT_SEEDS,
        seed -> playOutage(outageCase, seed, Mutation.CONFIRM_CANCEL_UNRECONCILED).simulation);
  }

  /**
   * Who confirmed it ends before its stops go out; who leads next hears a zone only when it is in
   * doubt itself, and keeps the machines there all the same.
   */
  @Test
  void nextLeaderStopsTasksOfCancelledJobs() {
    int left = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = crashAfterConfirmation(seed);
      assertSound(simulation);
      left += simulation.checker.leftAtConfirmation;
    }
    assertNotEquals(0, left, "none was left when it was confirmed");
    assertDetected(
        Mutation.NO_STOPS_WITH_UNCERTAIN_LEASE,
        MUTANT_SEEDS,
        seed -> crashAfterConfirmation(seed, Mutation.NO_STOPS_WITH_UNCERTAIN_LEASE));
  }

  private static Simulation crashAfterConfirmation(long seed, Mutation... mutations) {
    Simulation simulation = withArrays(seed, 12, 3, mutations);
    ControllerModel first = simulation.leaders().get(0);
    for (int i = 10; i < 14; i++) {
      simulation.userCancels("wk-" + i);
    }
    assertTrue(
        simulation.runUntil(simulation.checker::anyCancelConfirmed, 30), simulation.recentLog());
    apply(
        simulation,
        first,
        LeaderFault.CRASHES,
        simulation.controllers.stream().filter(controller -> controller != first).toList());
    assertTrue(
        simulation.runUntil(() -> leadsBeside(simulation, first), 35), simulation.recentLog());
    simulation.store.unavailable(true);
    simulation.runTo((simulation.now() + 3 * InvariantChecker.CANCEL_MS) / 1000.0);
    simulation.store.unavailable(false);
    runForS(simulation, 30);
    return simulation;
  }

  /**
   * A follower reads a live job for a user, or accepts it, and the thread that did stands still;
   * the job is cancelled, its leader ends, the follower leads, and the thread goes on.
   */
  @Test
  void staleJobReadIsNotAdopted() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertSound(delayedJobRead(seed));
    }
    assertDetected(
        Mutation.ADOPT_STALE_JOBS,
        MUTANT_SEEDS,
        seed -> delayedJobRead(seed, Mutation.ADOPT_STALE_JOBS));
  }

  private static Simulation delayedJobRead(long seed, Mutation... mutations) {
    Simulation simulation = withArrays(seed, 12, 3, mutations);
    simulation.threadStallMs = 8000;
    for (ControllerModel controller : simulation.controllers) {
      for (int i = 10; i < 16; i++) {
        controller.jobState("wk-" + i, false, state -> {});
      }
    }
    for (int i = 10; i < 16; i++) {
      simulation.userCancels("wk-" + i);
    }
    ControllerModel old = simulation.leaders().get(0);
    simulation.runUntil(() -> simulation.checker.cancelsConfirmed() >= 3, 40);
    old.crash();
    simulation.runTo(70);
    assertTrue(simulation.checker.cancelsConfirmed() >= 3, simulation.recentLog());
    return simulation;
  }

  /** Two that both believe; in the one that is in doubt no lease proves anything. */
  @Test
  void leaseExpiryProvesNothingWhileLeaseUncertain() {
    assertDetected(
        Mutation.TRUST_EXPIRY_WITH_UNCERTAIN_LEASE,
        MUTANT_SEEDS,
        seed -> SimulationTest.twoLeaders(seed, Mutation.TRUST_EXPIRY_WITH_UNCERTAIN_LEASE));
  }

  /** A job comes, and the leader loses the state service and the others before it is opened. */
  @Test
  void leaderPartitionedWhileJobIsOpened() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertSound(isolatedOnSubmission(seed));
    }
    assertDetected(
        Mutation.START_BEFORE_JOB_OPENED,
        MUTANT_SEEDS,
        s -> isolatedOnSubmission(s, Mutation.START_BEFORE_JOB_OPENED));
  }

  private static Simulation isolatedOnSubmission(long seed, Mutation... mutations) {
    Simulation simulation = withArrays(seed, 12, 3, mutations);
    ControllerModel old = simulation.leaders().get(0);
    simulation.submit(JobDraft.job("wk-30", JobKind.ARRAY, 6), 60_000L);
    assertTrue(simulation.runUntil(() -> old.manages("wk-30"), 25), simulation.recentLog());
    simulation.cutBoth(old.name, "state");
    for (ControllerModel controller : simulation.controllers) {
      if (controller != old) {
        simulation.cutBoth(old.name, controller.name);
        simulation.cutBoth(controller.name, "zone a"); // which only the old leader reaches
      }
    }
    simulation.runTo(60);
    assertTrue(leadsBeside(simulation, old), simulation.recentLog());
    return simulation;
  }

  /**
   * A transaction gets no answer and is carried out 2 to 12 s later, after newer ones of the same
   * controller, with machines that boot meanwhile and a leader that ends just after it.
   */
  @Test
  void delayedWriteAppliedAfterNewerOnes() {
    int late = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = delayedWrites(seed);
      assertSound(simulation);
      late += simulation.store.appliedAfterNewer;
    }
    assertNotEquals(0, late, "none came after a newer one");
    assertDetected(
        Mutation.UNCONDITIONAL_RECORD_WRITES,
        MUTANT_SEEDS,
        s -> delayedWrites(s, Mutation.UNCONDITIONAL_RECORD_WRITES));
  }

  private static Simulation delayedWrites(long seed, Mutation... mutations) {
    Simulation simulation = withArrays(seed, 6, 3, mutations);
    simulation.store.lateShare = 0.5;
    simulation.submit(
        JobDraft.job("wk-40", JobKind.SERVICE, 40), null); // machines are rented for it
    simulation.runTo(24);
    simulation.store.lateShare = seed % 2 == 0 ? 0.3 : 0;
    for (int i = 0; i < 8; i++) {
      String job = "wk-5" + i;
      Runnable then = () -> simulation.after(3000, () -> simulation.userCancels(job));
      simulation.userSubmits(JobDraft.job(job, JobKind.ARRAY, 2), 5_000L, then);
    }
    simulation.runTo(33 + simulation.random.nextInt(4));
    simulation.store.lateShare = 0;
    simulation.leaders().forEach(ControllerModel::crash);
    simulation.runTo(80);
    return simulation;
  }

  /**
   * Jobs of two and three tasks of which one ends early and the last late, and in between the
   * leader changes, twice, once with the machine that had the early task gone.
   */
  @Test
  void tasksEndFarApartAcrossFailovers() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = withArrays(seed, 12, 3);
      simulation.userSubmits(JobDraft.job("wk-60", JobKind.ARRAY, 2), 8_000L, () -> {});
      simulation.userSubmits(JobDraft.job("wk-61", JobKind.ARRAY, 3), 8_000L, () -> {});
      simulation.users.taskRunMs.put("wk-60/1", 45_000L);
      simulation.users.taskRunMs.put("wk-61/2", 45_000L);
      // The early tasks are done, their record is on its way or late, and the leader ends.
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
      assertSound(simulation);
      for (ControllerModel controller : simulation.controllers) {
        assertEquals(
            "done",
            simulation.checker.lastReportedState("wk-60", controller.name),
            simulation.fullLog());
        assertEquals(
            "done",
            simulation.checker.lastReportedState("wk-61", controller.name),
            simulation.fullLog());
      }
    }
  }

  /** Controllers hand over and back, all end, and one returns, all within a second or two. */
  @Test
  void leadershipTransfersAndAllControllersCrash() {
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation simulation = withArrays(seed, 12, 3);
      simulation.pollAllJobs();
      for (int i = 10; i < 13; i++) {
        simulation.userCancels("wk-" + i);
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
      assertSound(simulation);
      simulation.checker.checkAllAnswered(25_000);
      assertSound(simulation);
      assertEquals(1, simulation.leaders().size(), simulation.recentLog());
      for (int i = 10; i < 13; i++) {
        assertNotNull(simulation.checker.cancelConfirmedMs("wk-" + i), simulation.fullLog());
      }
    }
  }

  /**
   * A leader ends while machines with long tasks cannot be reached, or hear nothing of what the
   * next one says; users cancel meanwhile. Nothing is confirmed too early, and it is not put off
   * for ever: such machines are given up. What nobody cancelled runs in the end.
   */
  @Test
  void failoverWhileMachinesAreUnreachable() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = unreachableMachines(seed);
      assertSound(simulation);
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
        seed -> unreachableMachines(seed, Mutation.NO_INHERITED_MACHINES));
  }

  private static Simulation unreachableMachines(long seed, Mutation... mutations) {
    Simulation simulation = withArrays(seed, 12, 3, mutations);
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
      simulation.userCancels("wk-" + i);
    }
    simulation.runTo(110);
    return simulation;
  }

  /**
   * Orders are held on their way to a few machines for seconds, starts and stops in all orders, and
   * then arrive; in the middle of it the leader changes, or not.
   */
  @Test
  void commandsHeldWhileMachinesContinue() {
    int held = 0;
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation simulation = withArrays(seed, 12, 3);
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
                    simulation.random.nextLong(6000), () -> simulation.userCancels(job));
        simulation.userSubmits(
            JobDraft.job(job, JobKind.ARRAY, 2), 3_000L, i % 2 == 0 ? then : () -> {});
      }
      if (seed % 2 == 0) {
        simulation.after(simulation.random.nextLong(6000), old::resign);
      }
      simulation.runTo(22);
      held += simulation.heldMessageCount();
      simulation.runTo(70);
      assertSound(simulation);
      for (int i = 0; i < 8; i++) {
        assertEquals(0, simulation.checker.tasksOnMachines("wk-5" + i), simulation.fullLog());
      }
    }
    assertTrue(held > 50, held + " messages were held");
  }
}
