package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.nowS;
import static org.astershift.simulation.LeaderLossFaults.LeaderLoss;
import static org.astershift.simulation.LeaderLossFaults.MACHINES;
import static org.astershift.simulation.LeaderLossFaults.apply;
import static org.astershift.simulation.LeaderLossFaults.assertAllJobsServed;
import static org.astershift.simulation.LeaderLossFaults.cancelJobs;
import static org.astershift.simulation.LeaderLossFaults.createLoadedSimulation;
import static org.astershift.simulation.LeaderLossFaults.hasNewerLeader;
import static org.astershift.simulation.LeaderLossFaults.newestLeader;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.astershift.simulation.DelayedHeartbeats.FailoverStep;
import org.junit.jupiter.api.Test;

/**
 * Duplicate and delayed heartbeats that meet a change of leaders. Each case asserts that its faults
 * occurred together.
 */
class HeartbeatCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 60;

  /**
   * Longest time until a new leader has reconciled all machines of the term before, in
   * milliseconds.
   */
  private static final long MAX_RECONCILE_MS = 6000;

  /**
   * Duplicates of earlier heartbeats, which show tasks that have ended, moved or been cancelled
   * since or come from earlier incarnations, reach all controllers at once: just before a
   * controller wins the election, as it wins, as it catches up, as its term begins, and after it
   * has acted; twice in a row. No invariant is violated, and jobs opened before do not wait longer
   * for machines to be reconciled.
   */
  @Test
  void duplicateHeartbeatsAtTermBeginDoNotDelayReconciliation() {
    Map<FailoverStep, Integer> atLeader = new EnumMap<>(FailoverStep.class);
    int ended = 0;
    int incarnations = 0;
    int dead = 0;
    for (LeaderLoss loss : LeaderLoss.values()) {
      for (long seed = 1; seed <= 2 * SEEDS; seed++) {
        ReconcilePlay played = playDuplicates(loss, seed);
        assertAllJobsServed(played.simulation);
        assertTrue(
            played.reconciledMs <= MAX_RECONCILE_MS,
            played.reconciledMs + " ms to reconcile\n" + played.simulation.fullLog());
        DelayedHeartbeats delayed = played.simulation.delayedHeartbeats;
        delayed.duplicatesAtLeader.forEach((moment, n) -> atLeader.merge(moment, n, Integer::sum));
        ended += delayed.withEndedTasks;
        incarnations += delayed.ofEarlierIncarnations;
        dead += delayed.ofDeadMachines;
      }
    }
    for (FailoverStep moment : FailoverStep.values()) {
      assertTrue(atLeader.getOrDefault(moment, 0) >= 20, atLeader + " duplicates reached a leader");
    }
    assertTrue(ended > 100, ended + " duplicates showed a task that was no longer there");
    assertTrue(
        incarnations > 10 && dead > 10,
        incarnations + " duplicates of earlier incarnations, " + dead + " of dead machines");
    for (Mutation mutation :
        List.of(Mutation.ACCEPT_DUPLICATE_HEARTBEATS, Mutation.DUPLICATES_CARRY_CURRENT_TOKEN)) {
      assertDetected(
          mutation,
          MUTANT_SEEDS,
          seed -> playDuplicates(LeaderLoss.values()[(int) seed % 5], seed, mutation).simulation);
    }
  }

  /**
   * {@code reconciledMs}: time until the first new leader had reconciled all machines of the term
   * before.
   */
  private record ReconcilePlay(Simulation simulation, long reconciledMs) {}

  private static ReconcilePlay playDuplicates(LeaderLoss loss, long seed, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, seed % 2 == 0 ? 0.4 : 0.1, mutations);
    simulation.pollAllJobs();
    // One machine cannot be reached and is released, some restart, and users cancel.
    String unreachable = "vm-" + seed % MACHINES;
    simulation.controllers.forEach(controller -> simulation.cut(controller.name, unreachable));
    simulation.after(
        14_500,
        () ->
            simulation.controllers.forEach(
                controller -> simulation.heal(controller.name, unreachable)));
    simulation.runTo(20);
    for (int i = 1; i < 6; i++) {
      WorkerModel restarted = simulation.workers.get("vm-" + (seed + i) % MACHINES);
      simulation.after(simulation.random.nextLong(4000), () -> restarted.restart(100));
    }
    cancelJobs(simulation, 20, 23, 4000);
    simulation.runTo(24 + simulation.random.nextInt(2000) / 1000.0);
    ControllerModel old = newestLeader(simulation);
    long token = old.token();
    apply(simulation, old, loss);
    assertTrue(
        simulation.runUntil(() -> hasNewerLeader(simulation, token), 60), simulation.recentLog());
    long wonMs = simulation.now();
    simulation.runUntil(
        () -> newestLeader(simulation) != null && !newestLeader(simulation).isReconciling(), 100);
    long reconciledMs = simulation.now() - wonMs;
    simulation.runTo(nowS(simulation) + simulation.random.nextInt(5000) / 1000.0);
    if (newestLeader(simulation) != null) {
      apply(
          simulation, newestLeader(simulation), LeaderLoss.values()[simulation.random.nextInt(3)]);
    }
    simulation.runTo(100);
    return new ReconcilePlay(simulation, reconciledMs);
  }

  /**
   * Heartbeats are held back in flight until a new leader has acted, and then arrive there, while
   * their machines have gone on to other controllers, some of them in a new incarnation.
   */
  @Test
  void jobsAreServedDespiteHeartbeatsHeldUntilNewLeaderActs() {
    int arrived = 0;
    for (long seed = 1; seed <= SEEDS || (arrived <= 100 && seed <= MUTANT_SEEDS); seed++) {
      for (LeaderLoss loss : LeaderLoss.values()) {
        Simulation simulation = playHeldHeartbeats(loss, seed);
        assertAllJobsServed(simulation);
        arrived += simulation.delayedHeartbeats.heldAtLeader;
      }
    }
    assertTrue(arrived > 100, arrived + " heartbeats arrived at the new leader");
    Mutation mutation = Mutation.ACCEPT_DUPLICATE_HEARTBEATS;
    assertDetected(
        mutation,
        MUTANT_SEEDS,
        seed -> playHeldHeartbeats(LeaderLoss.values()[(int) seed % 5], seed, mutation));
  }

  private static Simulation playHeldHeartbeats(LeaderLoss loss, long seed, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, 0, mutations);
    simulation.pollAllJobs();
    simulation.runTo(15);
    simulation.delayedHeartbeats.holdShare = 0.6;
    ControllerModel old = newestLeader(simulation);
    long token = old.token();
    // Machines then try the other controllers, where heartbeats are held back, too.
    old.rejectHeartbeats(6000);
    simulation.runTo(19 + simulation.random.nextInt(1500) / 1000.0);
    cancelJobs(simulation, 20, 21, 500);
    simulation.after(600 + simulation.random.nextLong(300), () -> apply(simulation, old, loss));
    for (int i = 0; i < 2; i++) {
      WorkerModel restarted = simulation.workers.get("vm-" + (seed + 5 * i) % MACHINES);
      simulation.after(simulation.random.nextLong(6000), () -> restarted.restart(100));
    }
    assertTrue(
        simulation.runUntil(() -> hasNewerLeader(simulation, token), 60), simulation.recentLog());
    simulation.delayedHeartbeats.holdShare = 0;
    cancelJobs(simulation, 22, 23, 4000);
    simulation.runTo(nowS(simulation) + 8);
    if (loss == LeaderLoss.HANDS_OVER) {
      newestLeader(simulation).resign(); // possibly back to the old leader
    }
    simulation.runTo(40);
    simulation.delayedHeartbeats.releaseHeld();
    simulation.runTo(100);
    return simulation;
  }

  /**
   * The leader crashes while machines with long tasks cannot be reached, or are inbound-partitioned
   * from the next leader, and duplicates of earlier heartbeats of these and other machines reach
   * all controllers.
   */
  @Test
  void cancellationsAreConfirmedDespiteDuplicatesFromUnreachableMachines() {
    int duplicates = 0;
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation simulation = playUnreachableMachines(seed);
      assertAllJobsServed(simulation);
      duplicates +=
          simulation.delayedHeartbeats.duplicatesAtLeader.values().stream().mapToInt(n -> n).sum();
      for (int i = 20; i < 24; i++) {
        assertTrue(simulation.checker.cancelConfirmedMs("wk-" + i) < 60_000, simulation.fullLog());
      }
    }
    assertTrue(duplicates > 100, duplicates + " duplicates reached a leader");
    assertDetected(
        Mutation.NO_INHERITED_MACHINES,
        MUTANT_SEEDS,
        seed -> playUnreachableMachines(seed, Mutation.NO_INHERITED_MACHINES));
  }

  private static Simulation playUnreachableMachines(long seed, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, 0.4, mutations);
    simulation.pollAllJobs();
    simulation.runTo(20);
    ControllerModel old = newestLeader(simulation);
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
    cancelJobs(simulation, 20, 23, 3000);
    simulation.runTo(130);
    return simulation;
  }
}
