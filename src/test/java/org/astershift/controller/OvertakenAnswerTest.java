package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import org.astershift.emulator.Await;
import org.astershift.emulator.WorkerEmulator;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.Scheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A response to a direct request, sent over sockets, is held back until a newer heartbeat has been
 * handled.
 */
@Timeout(200)
class OvertakenAnswerTest extends FencingTestCase {
  /**
   * Bounds the attempts to produce such a response. The leader abandons a direct request after a
   * second, which a busy machine may need by itself.
   */
  private static final int MAX_ATTEMPTS = 20;

  private static final long OBSERVATION_NS = 500_000_000;

  @Test
  void answerOvertakenByHeartbeatDropsNoTask() throws Exception {
    controller.listen(portBlock.ports(1).get(0)).start();
    LeaderTerm term = controller.awaitLeadership();
    submitJob();
    Await.until("a task to run", () -> runningTasks(term, ID) == 1);
    cancelJob(ID);
    WorkerEmulator worker = cloud.workersEverProvisioned().get(0);
    for (int i = 0; i < MAX_ATTEMPTS && overtakenAnswerCount(term) == 0; i++) {
      Await.until("the machine to be empty", () -> isEmpty(worker));
      causeOvertakenAnswer(term, worker, "wk-10000" + i);
    }
    assertEquals(1, overtakenAnswerCount(term));
  }

  private void causeOvertakenAnswer(LeaderTerm term, WorkerEmulator worker, String job)
      throws Exception {
    worker.holdNextResponse();
    // A response to an earlier request may resolve the first suspicion of a restart.
    Await.until("the machine to be queried", () -> suspectRestart(term, worker));
    assertEquals(201, controller.jobService.submit(job(job, 1)).status());
    Await.until("a heartbeat to show the task", () -> runningTasks(term, job) == 1);
    worker.releaseResponse();
    long untilNs = System.nanoTime() + OBSERVATION_NS;
    do {
      assertEquals(1, runningTasks(term, job), "the task keeps running");
    } while (System.nanoTime() < untilNs);
    cancelJob(job);
  }

  /**
   * Delivers a heartbeat without a token, as of another incarnation, to the leader; returns true
   * once the leader has queried the machine.
   */
  private boolean suspectRestart(LeaderTerm term, WorkerEmulator worker) {
    Heartbeat other =
        new Heartbeat(
            worker.name(), "127.0.0.1:1", "small", "a", false, 1, 1000, 0, null, List.of());
    controller.runtime.onHeartbeat(other, term.token, LeaderTerm.nowMs());
    return worker.isResponseHeld();
  }

  private static boolean isEmpty(WorkerEmulator worker) {
    List<String> said = worker.sentHeartbeats();
    return said.get(said.size() - 1).contains("\"shards\":[]");
  }

  private static int runningTasks(LeaderTerm term, String job) {
    Scheduler.JobProgress progress = term.scheduler.progress(job);
    return progress == null ? 0 : progress.runningTasks();
  }

  private static int overtakenAnswerCount(LeaderTerm term) {
    String summary = term.scheduler.callLocked(Scheduler::reconciliationSummary);
    assertNotNull(summary);
    return Integer.parseInt(summary.replaceAll(".*answers_overtaken=([0-9]+).*", "$1"));
  }
}
