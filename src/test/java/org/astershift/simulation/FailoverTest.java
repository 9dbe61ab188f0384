package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.astershift.simulation.CombinedFaults.createSimulationWithArrays;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.junit.jupiter.api.Test;

/**
 * Failovers in which the old leader's last writes are still in flight, or the next leader reads
 * what was written late.
 */
class FailoverTest {
  private static final int SEEDS = 10;
  private static final int MUTANT_SEEDS = 40;

  /**
   * Guards against writes of an old leader that are applied under the next one. The leader's
   * cancellation writes get no answer, it crashes, and they would be applied when the next leader
   * runs these jobs; a third controller, which does not reach that leader, reads what is on record.
   */
  @Test
  void delayedEndWritesAreFencedAfterFailover() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = playDelayedEnds(seed);
      assertNoViolations(simulation);
      for (int i = 10; i < 16; i++) {
        assertTrue(simulation.checker.cancelConfirmedMs("wk-" + i) != null, simulation.fullLog());
      }
    }
    assertDetected(
        Mutation.UNFENCED_WRITES,
        MUTANT_SEEDS,
        seed -> playDelayedEnds(seed, Mutation.UNFENCED_WRITES));
  }

  private static Simulation playDelayedEnds(long seed, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 2, mutations);
    ControllerModel old = simulation.leaders().get(0);
    List<ControllerModel> others =
        simulation.controllers.stream().filter(controller -> controller != old).toList();
    simulation.store.lateShare = 1;
    for (int i = 10; i < 16; i++) {
      simulation.cancelAsUser("wk-" + i);
    }
    simulation.runTo(20.4);
    old.crash();
    simulation.store.lateShare = 0;
    simulation.cutBoth(others.get(0).name, others.get(1).name);
    simulation.pollAllJobs();
    assertTrue(
        simulation.runUntil(() -> !simulation.leaders().isEmpty(), 30), simulation.recentLog());
    simulation.runTo(45);
    simulation.healAll();
    old.start();
    simulation.runTo(80);
    return simulation;
  }

  /**
   * A new leader knows what was accepted just before its term began, however far its watch cache
   * lags.
   */
  @Test
  void laggingWatchCacheHidesNoAcceptedJob() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertNoViolations(playLaggingWatchCache(seed));
    }
    assertDetected(
        Mutation.NO_CATCH_UP,
        MUTANT_SEEDS,
        seed -> playLaggingWatchCache(seed, Mutation.NO_CATCH_UP));
  }

  private static Simulation playLaggingWatchCache(long seed, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 2, mutations);
    ControllerModel old = simulation.leaders().get(0);
    simulation.store.answerDelayMs = 2500;
    for (int i = 20; i < 50; i++) {
      int id = i;
      simulation.after(
          simulation.random.nextLong(6000),
          () ->
              simulation.submitAsUser(
                  JobDraft.job("wk-" + id, JobKind.ARRAY, 1), 20_000L, () -> {}));
    }
    simulation.after(3000, old::resign);
    simulation.runTo(23.1);
    assertEquals(List.of(), simulation.leaders(), "expected no leader just after the hand-over");
    simulation.runTo(26);
    assertTrue(
        simulation.runUntil(() -> !simulation.leaders().isEmpty(), 60), simulation.recentLog());
    simulation.store.answerDelayMs = 0;
    runForS(simulation, 10);
    simulation.starvationCheck.onFaultsHealed();
    runForS(simulation, 98);
    return simulation;
  }

  /**
   * The leader crashes while every transaction is applied and none is answered: another controller
   * leads.
   */
  @Test
  void leaderIsElectedWhenKeyCreationAnswerIsLost() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createSimulationWithArrays(seed, 12, 2);
      ControllerModel old = simulation.leaders().get(0);
      simulation.store.unansweredShare = 1;
      old.crash();
      boolean led =
          simulation.runUntil(
              () -> simulation.leaders().stream().anyMatch(controller -> controller != old), 30);
      int unansweredClaims =
          simulation.store.unansweredWrites.getOrDefault(StoreModel.LEADER_KEY.substring(0, 2), 0);
      assertTrue(
          led && unansweredClaims > 0,
          unansweredClaims + " unanswered writes of the leader key\n" + simulation.recentLog());
      simulation.store.unansweredShare = 0;
      old.start();
      simulation.runTo(80);
      assertNoViolations(simulation);
    }
  }
}
