package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.astershift.simulation.CombinedFaults.createSimulationWithArrays;
import static org.astershift.simulation.CombinedFaults.hasOtherLeader;
import static org.astershift.simulation.CombinedFaults.nowS;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.junit.jupiter.api.Test;

/**
 * The store refuses the leader, another controller confirms cancellations, and then the store is
 * unavailable to all. Each case asserts that its faults occurred together, and a mutation shows
 * that the checker detects the violations that they may cause.
 */
class StoreOutageCombinedFaultsTest {
  private static final int SEEDS = 20;
  private static final int MUTANT_SEEDS = 4 * SEEDS;

  /** Which machines the other controllers reach once the store refuses the leader. */
  private enum PeerReach {
    ALL,
    SOME,
    NONE
  }

  /**
   * What the new leader does just after it has confirmed a cancellation, or has won the election.
   */
  private enum LeaderFault {
    STAYS,
    CRASHES,
    RESTARTS_AT_ONCE,
    HANDS_OVER
  }

  /** When the store becomes unavailable to all. */
  private enum OutageStart {
    AS_ANOTHER_WINS,
    AFTER_A_CONFIRMATION,
    AS_THE_NEXT_WINS,
    BEFORE_ANYBODY_WINS
  }

  private record OutageCase(PeerReach reach, LeaderFault fault, OutageStart outage) {}

  /**
   * The store refuses the leader alone, and another controller confirms cancellations; then the
   * store is unavailable to all for three times as long as a cancelled task may live, while workers
   * keep sending heartbeats to the old leader. All of this happens once more to the controller that
   * leads then.
   */
  @Test
  void cancellationsHoldWhenStoreRefusesLeaderAndThenFails() {
    int confirmedBefore = 0;
    int answeredByOld = 0;
    for (PeerReach reach : PeerReach.values()) {
      for (LeaderFault fault : LeaderFault.values()) {
        for (OutageStart outage : OutageStart.values()) {
          for (long seed = 1; seed <= 6; seed++) {
            Played played = playOutage(new OutageCase(reach, fault, outage), seed);
            assertNoViolations(played.simulation);
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
    assertTrue(
        confirmedBefore > 100, confirmedBefore + " cancellations confirmed before the outage");
    assertTrue(
        answeredByOld > 1000,
        answeredByOld + " heartbeats answered by the old leader during the outage");
  }

  /**
   * {@code confirmedBefore}: cancellations that another controller confirmed before the outage;
   * {@code answeredByOld}: heartbeats that the old leader answered during the outage.
   */
  private record Played(Simulation simulation, int confirmedBefore, int answeredByOld) {}

  private static Played playOutage(OutageCase outageCase, long seed, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 3, mutations);
    ControllerModel old = simulation.leaders().get(0);
    List<ControllerModel> others =
        simulation.controllers.stream().filter(controller -> controller != old).toList();
    simulation.store.setRefused(old.name, true);
    if (seed % 2 == 0) {
      // Nobody tells the old leader who leads.
      others.forEach(controller -> simulation.cutBoth(old.name, controller.name));
    }
    if (outageCase.reach != PeerReach.ALL) {
      String unreachable = outageCase.reach == PeerReach.SOME ? "zone a" : "workers";
      others.forEach(controller -> simulation.cutBoth(controller.name, unreachable));
    }
    // With slow answers a controller wins the election, but may be too late to catch up.
    simulation.store.answerDelayMs = seed % 3 == 0 ? 2500 : 0;
    for (int i = 10; i < 14; i++) {
      String job = "wk-" + i;
      simulation.after(simulation.random.nextLong(1500), () -> simulation.cancelAsUser(job));
    }
    for (int i = 20; i < 24; i++) {
      String job = "wk-" + i;
      Runnable then =
          () ->
              simulation.after(simulation.random.nextLong(400), () -> simulation.cancelAsUser(job));
      simulation.submitAsUser(JobDraft.job(job, JobKind.ARRAY, 2), 300_000L, then);
    }
    if (outageCase.outage != OutageStart.BEFORE_ANYBODY_WINS) {
      simulation.runUntil(() -> hasOtherLeader(simulation, old), 30);
    }
    if (outageCase.outage == OutageStart.AFTER_A_CONFIRMATION
        || outageCase.fault != LeaderFault.STAYS) {
      simulation.runUntil(() -> simulation.checker.hasConfirmedCancels(), 30);
    }
    ControllerModel winner =
        simulation.leaders().stream()
            .filter(controller -> controller != old)
            .findFirst()
            .orElse(others.get(0));
    apply(simulation, winner, outageCase.fault, others);
    if (outageCase.outage == OutageStart.AS_THE_NEXT_WINS) {
      simulation.runUntil(() -> hasOtherLeader(simulation, old) && !winner.leads(), 35);
    }
    simulation.runTo((simulation.now() + seed * 7) / 1000.0);
    int confirmed = simulation.checker.cancelsConfirmed();
    int answered = old.answeredWithUncertainLease();
    simulation.log("state", "is unavailable");
    simulation.store.setUnavailable(true);
    simulation.store.answerDelayMs = 0;
    simulation.after(12_000, () -> simulation.store.setRefused(old.name, false));
    double outageS = 3 * InvariantChecker.CANCEL_DEADLINE_MS / 1000.0;
    runForS(simulation, outageS);
    answered = old.answeredWithUncertainLease() - answered;
    simulation.healAll();
    simulation.store.setUnavailable(false);
    runForS(simulation, 15);
    // The faults meet a second time, as in the operators' incident: the store refuses the leader
    // 1.5 s before it refuses everybody.
    if (winner.isCrashed()) {
      winner.start();
    }
    simulation.runUntil(() -> !simulation.leaders().isEmpty(), nowS(simulation) + 10);
    ControllerModel next = simulation.leaders().get(0);
    simulation.store.setRefused(next.name, true);
    simulation.cancelAsUser("wk-14");
    runForS(simulation, 1.5);
    simulation.store.setUnavailable(true);
    runForS(simulation, outageS);
    simulation.store.setRefused(next.name, false);
    simulation.store.setUnavailable(false);
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
          // The next leader receives heartbeats of zone b only while its own lease is uncertain.
          simulation.cutBoth(controller.name, "zone b");
          simulation.after(6000, () -> simulation.healBoth(controller.name, "zone b"));
        }
      }
      case RESTARTS_AT_ONCE -> {
        winner.crash();
        simulation.after(300, winner::start);
      }
      case HANDS_OVER -> winner.resign();
      default -> {}
    }
  }

  /** Tasks outlive a cancellation whose confirmation does not wait for unreconciled machines. */
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
   * The leader that confirmed a cancellation crashes before its stop commands go out; the next
   * leader receives heartbeats of one zone only while its own lease is uncertain, and keeps the
   * machines there all the same.
   */
  @Test
  void nextLeaderStopsTasksOfCancelledJobs() {
    int left = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = playCrashAfterConfirmation(seed);
      assertNoViolations(simulation);
      left += simulation.checker.leftAtConfirmation;
    }
    assertNotEquals(0, left, "no task was left when its cancellation was confirmed");
    assertDetected(
        Mutation.NO_STOPS_WITH_UNCERTAIN_LEASE,
        MUTANT_SEEDS,
        seed -> playCrashAfterConfirmation(seed, Mutation.NO_STOPS_WITH_UNCERTAIN_LEASE));
  }

  private static Simulation playCrashAfterConfirmation(long seed, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 3, mutations);
    ControllerModel first = simulation.leaders().get(0);
    for (int i = 10; i < 14; i++) {
      simulation.cancelAsUser("wk-" + i);
    }
    assertTrue(
        simulation.runUntil(simulation.checker::hasConfirmedCancels, 30), simulation.recentLog());
    apply(
        simulation,
        first,
        LeaderFault.CRASHES,
        simulation.controllers.stream().filter(controller -> controller != first).toList());
    assertTrue(
        simulation.runUntil(() -> hasOtherLeader(simulation, first), 35), simulation.recentLog());
    simulation.store.setUnavailable(true);
    simulation.runTo((simulation.now() + 3 * InvariantChecker.CANCEL_DEADLINE_MS) / 1000.0);
    simulation.store.setUnavailable(false);
    runForS(simulation, 30);
    return simulation;
  }
}
