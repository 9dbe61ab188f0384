package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.astershift.simulation.CombinedFaults.createSimulationWithArrays;
import static org.astershift.simulation.UserFaults.LeaderChange;
import static org.astershift.simulation.UserFaults.apply;
import static org.astershift.simulation.UserFaults.assertJobsEnded;
import static org.astershift.simulation.UserFaults.submitJobs;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.astershift.controller.LoopTiming;
import org.astershift.scheduler.JobKind;
import org.junit.jupiter.api.Test;

/**
 * Streams of short jobs and of failovers: each job ends or is cancelled, and its user learns of it
 * in time.
 */
class JobStreamCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 80;

  /** Leader changes in two minutes; a controller that has just resigned may not do so again. */
  private static final int LEADER_CHANGES = 12;

  private static final long LEADER_CHANGE_INTERVAL_MS = 10_000;

  /**
   * One-task jobs arrive four a second for two minutes, and a quarter of them is cancelled; the
   * leader crashes or hands over in the middle, or stays.
   */
  @Test
  void streamedJobsEndAndCancelInTime() {
    List<Long> undisturbedLatencyMs = new ArrayList<>();
    for (LeaderChange change :
        List.of(LeaderChange.NONE, LeaderChange.CRASHES, LeaderChange.HANDS_OVER)) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = playStream(seed, change);
        assertNoViolations(simulation);
        assertEquals(480, simulation.users.accepted().size() - 1, simulation.recentLog());
        int confirmed = simulation.checker.cancelsConfirmed();
        assertTrue(
            confirmed > 40, confirmed + " cancellations confirmed\n" + simulation.recentLog());
        assertEquals(480, simulation.checker.jobsEnded(), simulation.recentLog());
        if (change == LeaderChange.NONE) {
          undisturbedLatencyMs.addAll(simulation.checker.cancelLatencyMs);
        }
      }
    }
    // A cancellation is confirmed only once no further start can follow; without a failover hardly
    // any user has to ask again all the same.
    Collections.sort(undisturbedLatencyMs);
    long percentile98Ms = undisturbedLatencyMs.get(undisturbedLatencyMs.size() * 98 / 100);
    assertTrue(percentile98Ms < LoopTiming.CANCEL_WAIT_MS, undisturbedLatencyMs.toString());
    assertDetected(
        Mutation.CONFIRM_CANCEL_WHILE_STARTING,
        MUTANT_SEEDS,
        seed -> playStream(seed, LeaderChange.NONE, Mutation.CONFIRM_CANCEL_WHILE_STARTING));
  }

  private static Simulation playStream(long seed, LeaderChange change, Mutation... mutations) {
    Simulation simulation = CombinedFaults.createSimulation(seed, 20, mutations);
    simulation.runTo(4);
    simulation.submit(JobDraft.job("wk-1", JobKind.SERVICE, 20), null);
    simulation.runTo(15);
    simulation.users.submitStream(1000, 480, 4000);
    simulation.after(60_000, () -> apply(simulation, change));
    simulation.runTo(165);
    return simulation;
  }

  /**
   * The leader changes ten times in two minutes; in half of the plays these changes meet store
   * outages.
   */
  @Test
  void jobsEndDespiteTenFailoversInTwoMinutes() {
    int confirmed = 0;
    for (boolean outage : List.of(false, true)) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = playTenFailovers(seed, outage);
        assertNoViolations(simulation);
        assertTrue(
            simulation.checker.termLeaders.size() >= 10,
            simulation.checker.termLeaders + simulation.recentLog());
        assertJobsEnded(simulation, 100, 30);
        confirmed += simulation.checker.cancelsConfirmed();
      }
    }
    assertTrue(confirmed > 100, confirmed + " cancellations confirmed");
    assertDetected(
        Mutation.NO_INHERITED_MACHINES,
        MUTANT_SEEDS,
        seed -> playTenFailovers(seed, true, Mutation.NO_INHERITED_MACHINES));
  }

  private static Simulation playTenFailovers(long seed, boolean outage, Mutation... mutations) {
    Simulation simulation = createSimulationWithArrays(seed, 12, 3, mutations);
    simulation.users.closeQueryShare = 0.5;
    simulation.users.cancelOnAcceptShare = 0.2;
    simulation.pollAllJobs();
    submitJobs(simulation, 100, 30, 110_000, 4000);
    for (int i = 0; i < LEADER_CHANGES; i++) {
      simulation.after(i * 2000, () -> simulation.users.cancelRunningJobs(1));
      List<LeaderChange> changes = new ArrayList<>(List.of(LeaderChange.values()));
      changes.remove(LeaderChange.NONE);
      LeaderChange change = changes.get(simulation.random.nextInt(changes.size()));
      simulation.after(
          1000 + i * LEADER_CHANGE_INTERVAL_MS + simulation.random.nextLong(5000),
          () -> apply(simulation, change));
      if (outage) {
        // Each leader change falls into an outage of some seconds, or just before or after it.
        simulation.after(
            2000 + i * LEADER_CHANGE_INTERVAL_MS, () -> simulation.store.setUnavailable(true));
        simulation.after(
            6000 + i * LEADER_CHANGE_INTERVAL_MS, () -> simulation.store.setUnavailable(false));
      }
    }
    simulation.runTo(190);
    return simulation;
  }
}
