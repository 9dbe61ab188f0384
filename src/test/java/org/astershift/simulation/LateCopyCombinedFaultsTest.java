package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.nowS;
import static org.astershift.simulation.LeaderLossFaults.MACHINES;
import static org.astershift.simulation.LeaderLossFaults.apply;
import static org.astershift.simulation.LeaderLossFaults.assertAllJobsServed;
import static org.astershift.simulation.LeaderLossFaults.cancelJobs;
import static org.astershift.simulation.LeaderLossFaults.createLoadedSimulation;
import static org.astershift.simulation.LeaderLossFaults.hasNewerLeader;
import static org.astershift.simulation.LeaderLossFaults.newestLeader;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.scheduler.JobKind;
import org.astershift.simulation.LeaderLossFaults.LeaderLoss;
import org.junit.jupiter.api.Test;

/**
 * Copies of direct commands that were executed and answered arrive again, right after an attempt
 * was forgotten, after their machine restarted, or at any other time.
 */
class LateCopyCombinedFaultsTest {
  private static final int SEEDS = 8;
  private static final int MUTANT_SEEDS = 30;
  private static final int SHORT_JOBS = 10;
  private static final long SHORT_TASK_MS = 1500;

  /** Copies also reach restarted machines before their first answered message. */
  @Test
  void lateCopiesRunNothingTwiceOrAfterCancellation() {
    int withoutToken = 0;
    int refused = 0;
    for (LeaderLoss loss : LeaderLoss.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = playCopies(loss, seed);
        assertAllJobsServed(simulation);
        withoutToken += simulation.commandCopies.executedWithoutToken;
        refused += simulation.commandCopies.refusedAfterRestart;
      }
    }
    assertTrue(withoutToken > 20, withoutToken + " copies were executed by a new incarnation");
    assertTrue(refused > 50, refused + " copies were refused by a restarted machine");
    assertDetected(
        Mutation.DIRECT_STARTS,
        MUTANT_SEEDS,
        "ran_twice",
        seed -> playCopies(lossOf(seed), seed, Mutation.DIRECT_STARTS));
    assertDetected(
        Mutation.DIRECT_STARTS,
        MUTANT_SEEDS,
        "ran_cancelled",
        seed -> playCopies(lossOf(seed), seed, Mutation.DIRECT_STARTS));
  }

  private static LeaderLoss lossOf(long seed) {
    return LeaderLoss.values()[(int) seed % LeaderLoss.values().length];
  }

  private static Simulation playCopies(LeaderLoss loss, long seed, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, 0, mutations);
    playFaults(simulation, loss, seed);
    return simulation;
  }

  private static void playFaults(Simulation simulation, LeaderLoss loss, long seed) {
    simulation.commandCopies.share = 0.7;
    simulation.messageQueueing.heartbeatsOnChange = true;
    simulation.pollAllJobs();
    for (int i = 0; i < 2; i++) {
      WorkerModel faulty = simulation.workers.get("vm-" + (seed + 4 * i) % MACHINES);
      faulty.faulty = true;
      simulation.after(12_000, () -> faulty.faulty = false);
    }
    for (int i = 0; i < SHORT_JOBS; i++) {
      String job = "wk-4" + i;
      simulation.after(
          2000L * i,
          () -> simulation.submit(JobDraft.job(job, JobKind.ARRAY, MACHINES), SHORT_TASK_MS));
    }
    simulation.runTo(16);
    cancelJobs(simulation, 20, 21, 4000);
    for (int i = 1; i < 5; i++) {
      WorkerModel restarted = simulation.workers.get("vm-" + (seed + i) % MACHINES);
      simulation.after(simulation.random.nextLong(12_000), () -> restarted.restart(100));
    }
    simulation.runTo(22);
    ControllerModel old = newestLeader(simulation);
    long token = old.token();
    apply(simulation, old, loss);
    cancelJobs(simulation, 22, 23, 4000);
    assertTrue(
        simulation.runUntil(() -> hasNewerLeader(simulation, token), 60), simulation.recentLog());
    simulation.runTo(nowS(simulation) + 20);
    simulation.commandCopies.share = 0;
    simulation.runTo(110);
  }
}
