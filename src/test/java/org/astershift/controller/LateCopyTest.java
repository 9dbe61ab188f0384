package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.astershift.emulator.Await;
import org.astershift.emulator.Redelivery;
import org.astershift.emulator.WorkerEmulator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Copies of direct commands that were executed and answered arrive once more, over sockets. */
@Timeout(200)
class LateCopyTest extends FencingTestCase {
  private static final int OK = 200;
  private static final int ROUNDS = 2;
  private static final int JOBS_PER_ROUND = 4;

  @Test
  void lateCopyDoesNotStartCancelledTask() throws Exception {
    WorkerEmulator worker = startJobOnOneMachine();
    worker.redeliverAfterForget();
    cancelJob(ID);
    Await.until("the task to be forgotten", () -> worker.forgottenTasks() > 0);
    awaitHeartbeats(worker, 3);
    assertEquals(List.of(ID + "/0"), worker.startedTasks());
  }

  @Test
  void lateCopyDoesNotStartFailedTaskOnceMore() throws Exception {
    WorkerEmulator worker = startJobOnOneMachine();
    worker.redeliverAfterForget();
    worker.failTasks(true);
    Await.until("the attempt to be forgotten", () -> worker.forgottenTasks() > 0);
    worker.failTasks(false);
    Await.until("the next attempt to run", () -> starts().size() > 1);
    awaitHeartbeats(worker, 3);
    List<Long> attempts = starts().stream().map(WorkerEmulator.Start::attempt).toList();
    assertEquals(new HashSet<>(attempts).size(), attempts.size(), "started twice: " + attempts);
  }

  @Test
  void lateCopyDoesNotStartTaskOnRestartedMachineOnceItWasMoved() throws Exception {
    WorkerEmulator worker = startJobOnOneMachine();
    worker.restart();
    Await.until("the task to be started anew", () -> starts().size() > 1);
    List<WorkerEmulator.Start> before = starts();
    List<Integer> statuses = worker.redeliverExecutedRequests();
    assertFalse(statuses.isEmpty(), "no direct request was executed");
    assertEquals(before, starts());
  }

  /** Guards against ran_cancelled: a copy reaches a restarted machine before its first answer. */
  @Test
  void copyStartsNoCancelledTaskOnRestartedMachineWithoutToken() throws Exception {
    WorkerEmulator worker = startJobOnOneMachine();
    cancelJob(ID);
    Await.until("the task to be forgotten", () -> worker.forgottenTasks() > 0);
    Redelivery copies = worker.restartWithCopies();
    assertTrue(copies.statuses().contains(OK), "no copy was executed: " + copies);
    assertEquals(List.of(), copies.startedTasks());
  }

  /**
   * Guards against ran_cancelled and ran_twice: no direct request of a day with starts,
   * cancellations, restarts and failovers starts a task on a machine without a token.
   */
  @Test
  void directRequestsOfWholeDayStartNothingOnRestartedMachines() throws Exception {
    controller.listen(portBlock.ports(1).get(0)).start();
    for (int round = 0; round < ROUNDS; round++) {
      LeaderTerm term = controller.awaitLeadership();
      playRound(round);
      term.stepDown("a test");
      Await.until("the term to end", term::hasEnded);
    }
    List<String> requests = new ArrayList<>();
    for (WorkerEmulator worker : cloud.workersEverProvisioned()) {
      requests.addAll(worker.executedRequests());
      assertEquals(List.of(), worker.restartWithCopies().startedTasks());
    }
    assertTrue(starts().size() >= ROUNDS * JOBS_PER_ROUND, "too few starts: " + starts());
    assertTrue(requests.stream().anyMatch(body -> body.contains("\"stop\"")), "" + requests);
    assertTrue(requests.stream().noneMatch(body -> body.contains("\"run\"")), "" + requests);
  }

  /** Starts jobs, cancels half of them, and restarts a machine, to which copies come at once. */
  private void playRound(int round) throws Exception {
    int startsBefore = starts().size();
    for (int i = 0; i < JOBS_PER_ROUND; i++) {
      String id = jobId(round, i);
      Await.until(
          "the job to be accepted", () -> controller.jobService.submit(job(id, 1)).status() < 300);
    }
    Await.until("the jobs to run", () -> starts().size() >= startsBefore + JOBS_PER_ROUND);
    for (int i = 0; i < JOBS_PER_ROUND; i += 2) {
      cancelJob(jobId(round, i));
    }
    WorkerEmulator restarted = workerOfFirstStart();
    assertEquals(List.of(), restarted.restartWithCopies().startedTasks());
  }

  private static String jobId(int round, int index) {
    return "wk-90000" + (round * JOBS_PER_ROUND + index);
  }

  @Test
  void lateCopyAtRestartedMachineRunsItsTaskNowhereElse() throws Exception {
    WorkerEmulator worker = startJobOnOneMachine();
    worker.restartWithCopies();
    awaitHeartbeats(worker, 10);
    assertEquals(List.of(ID + "/0"), runningTasks());
  }

  private List<String> runningTasks() {
    return cloud.workers().stream().flatMap(worker -> worker.runningTasks().stream()).toList();
  }

  /** Returns the worker that runs the only task of the job. */
  private WorkerEmulator startJobOnOneMachine() throws Exception {
    controller.listen(portBlock.ports(1).get(0)).start();
    controller.awaitLeadership();
    submitJob();
    Await.until("the job to run", () -> !starts().isEmpty());
    WorkerEmulator worker = workerOfFirstStart();
    Await.until("its start to be reported", () -> worker.sentHeartbeats().size() > 2);
    return worker;
  }

  private WorkerEmulator workerOfFirstStart() {
    return cloud.workersEverProvisioned().stream()
        .filter(worker -> !worker.starts().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  private static void awaitHeartbeats(WorkerEmulator worker, int count) throws Exception {
    int before = worker.sentHeartbeats().size();
    Await.until("heartbeats", () -> worker.sentHeartbeats().size() >= before + count);
  }
}
