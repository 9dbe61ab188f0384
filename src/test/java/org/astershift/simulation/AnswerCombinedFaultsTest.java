package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.astershift.simulation.CombinedFaults.createSimulation;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.astershift.scheduler.JobKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against a task that runs twice because the leader takes an overtaken answer for the newest
 * message of its machine. After all controllers have crashed, the leader of the next term handles
 * answers to direct commands and heartbeats of one machine in another order than they were written.
 */
class AnswerCombinedFaultsTest {
  private static final int SEEDS = 20;
  private static final int MACHINES = 40;
  private static final int JOBS = 12;
  private static final long TASK_MS = 6000;

  /**
   * Longest time that a message waits at the leader, in milliseconds: longer than a worker waits
   * for the answer to its heartbeat.
   */
  private static final long MESSAGE_WAIT_MS = 6000;

  @Test
  void overtakenAnswersAfterAllControllersCrashedRunNothingTwice() {
    int overtaken = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = playCrashOfAllControllers(seed);
      assertNoViolations(simulation);
      overtaken += simulation.messageQueueing.answersOvertaken;
    }
    assertTrue(overtaken >= 10 * SEEDS, overtaken + " answers were overtaken");
    assertDetected(
        Mutation.BELIEVE_OVERTAKEN_ANSWERS,
        SEEDS,
        "ran_twice",
        seed -> playCrashOfAllControllers(seed, Mutation.BELIEVE_OVERTAKEN_ANSWERS));
  }

  private static Simulation playCrashOfAllControllers(long seed, Mutation... mutations) {
    Simulation simulation = createSimulation(seed, MACHINES, mutations);
    simulation.messageQueueing.heartbeatsOnChange = true;
    simulation.runTo(8);
    for (ControllerModel controller : simulation.controllers) {
      controller.crash();
      simulation.after(300 + simulation.random.nextLong(2700), controller::start);
    }
    simulation.messageQueueing.maxWaitMs = MESSAGE_WAIT_MS;
    simulation.messageQueueing.queuedShare = 0.4;
    for (int i = 0; i < JOBS; i++) {
      String job = "wk-2" + i;
      simulation.after(
          4000 + 1000L * i,
          () -> simulation.submit(JobDraft.job(job, JobKind.ARRAY, MACHINES / 2), TASK_MS));
    }
    runForS(simulation, 25);
    simulation.messageQueueing.queuedShare = 0;
    runForS(simulation, 30);
    return simulation;
  }
}
