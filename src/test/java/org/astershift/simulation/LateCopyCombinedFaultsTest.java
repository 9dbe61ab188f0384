package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
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

  @Test
  void lateCopiesOfStartsRunNothingTwiceOrAfterCancellation() {
    int afterForget = 0;
    int afterRestart = 0;
    for (LeaderLoss loss : LeaderLoss.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = playCopies(loss, seed);
        assertAllJobsServed(simulation);
        afterForget += simulation.commandCopies.refusedAfterForget;
        afterRestart += simulation.commandCopies.refusedAfterRestart;
      }
    }
    assertTrue(afterForget > 200, afterForget + " copies were refused after a forget");
    assertTrue(afterRestart > 100, afterRestart + " copies were refused by a restarted machine");
    Mutation mutation = Mutation.SAME_TOKEN_FOR_WHOLE_TERM;
    assertDetected(
        mutation,
        MUTANT_SEEDS,
        "ran_twice",
        seed -> playCopies(LeaderLoss.values()[(int) seed % 5], seed, mutation));
  }

  /** Guards against a start that reaches a restarted machine before its first answered message. */
  @Test
  void lateCopyAtMachineWithoutTokenRunsNothingTwice() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = createLoadedSimulation(seed, 0);
      simulation.commandCopies.reachUnfencedIncarnations = true;
      playFaults(simulation, LeaderLoss.RESTARTS_AT_ONCE, seed);
      assertNoViolations(simulation);
    }
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
