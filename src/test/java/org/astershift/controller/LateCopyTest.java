package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.HashSet;
import java.util.List;
import org.astershift.emulator.Await;
import org.astershift.emulator.WorkerEmulator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Copies of direct commands that were executed and answered arrive once more, over sockets. */
@Timeout(200)
class LateCopyTest extends FencingTestCase {
  private static final int CONFLICT = 409;

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
    List<Integer> statuses = worker.redeliverExecutedRequests();
    assertFalse(statuses.isEmpty(), "no direct request was executed");
    assertEquals(CONFLICT, statuses.get(0), "the start sent to the earlier incarnation");
  }

  /** The job is over, so nothing else tells the machine that its former tasks must not start. */
  @Test
  void lateCopyIsRefusedByRestartedMachineWithoutToken() throws Exception {
    WorkerEmulator worker = startJobOnOneMachine();
    cancelJob(ID);
    Await.until("the task to be forgotten", () -> worker.forgottenTasks() > 0);
    assertEquals(CONFLICT, worker.restartWithCopies().get(0));
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

  /** Returns the worker that runs the only task of the job, started by a direct command. */
  private WorkerEmulator startJobOnOneMachine() throws Exception {
    controller.listen(portBlock.ports(1).get(0)).start();
    controller.awaitLeadership();
    submitJob();
    Await.until("the job to run", () -> !starts().isEmpty());
    WorkerEmulator worker = workerOfFirstStart();
    Await.until("its start to be answered", () -> worker.sentHeartbeats().size() > 2);
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
