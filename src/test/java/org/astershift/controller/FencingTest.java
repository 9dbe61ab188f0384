package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.astershift.config.Settings;
import org.astershift.emulator.Await;
import org.astershift.emulator.WorkerEmulator;
import org.astershift.http.Threads;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.HeartbeatResponse;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Fencing in the threads of a leader, as opposed to fencing in its scheduling decisions. A second
 * client of the store acts at the very moment between two steps of such a thread.
 */
@Timeout(200)
class FencingTest extends FencingTestCase {
  /** Time for which a test checks that no outdated state is reported. */
  private static final long OBSERVATION_NS = 300_000_000;

  /**
   * A leader that alone is partitioned from the store continues with an uncertain lease. Another
   * leader may have ended the job and reported that, so this one answers nothing from memory:
   * neither that a job is live nor that it is cancelled.
   */
  @Test
  void leaderWithUncertainLeaseDoesNotAnswerFromMemory() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    submitJob();
    assertNotNull(term.progressIfCurrent(ID));
    assertEquals("queued", controller.jobService.poll(ID, false).phase());
    storeAddress.rejectRequests(true);
    storeEmulator.delayLeaseExpiry(0);
    Await.until("the lease to become uncertain", () -> !controller.runtime.isLeaseCertain(term));
    Await.until("the leader key to expire", () -> read(RecordCodec.LEADER_KEY).data() == null);
    recordOtherLeader();
    endJobElsewhere(true);
    assertSame(term, controller.runtime.currentTerm(), "the node still considers itself leader");
    assertNotNull(term.progressIfCurrent(ID), "the job is in memory");
    assertEquals(503, controller.jobService.poll(ID, true).status());
    AtomicInteger endWrites = new AtomicInteger();
    storeAddress.setObserver(
        (request, executed) -> endWrites.addAndGet(requestContains(request, END_KEY) ? 1 : 0));
    assertEquals(503, controller.jobService.cancel(ID, true).status());
    assertEquals(0, endWrites.get(), "no write of the end is tried under an uncertain lease");
    storeAddress.rejectRequests(false);
    Await.until(
        "the job to be answered from the store",
        () -> controller.jobService.poll(ID, true).status() == 200);
    assertEquals("withdrawn", controller.jobService.poll(ID, true).phase());
  }

  /**
   * The job ends between the two reads that an answer needs. It was accepted, so it must not be
   * reported as unknown.
   */
  @Test
  void jobEndingBetweenTwoReadsIsNotUnknown() throws Exception {
    write(new StoreClient.Transaction().put(JOB_KEY, jobRecord()));
    AtomicInteger reads = new AtomicInteger();
    storeAddress.setObserver(
        (request, executed) -> {
          if (executed && requestContains(request, "/store/") && reads.incrementAndGet() == 1) {
            endJobElsewhere(false);
          }
        });
    assertEquals(
        "queued",
        controller.jobService.poll(ID, true).phase(),
        "the state after the request was sent");
    assertEquals("done", controller.jobService.poll(ID, true).phase());
  }

  /** A repeated submission to a node that does not know the job changes no record. */
  @Test
  void repeatedSubmissionWritesNothing() throws Exception {
    Outcome.Committed accepted =
        (Outcome.Committed) write(new StoreClient.Transaction().put(JOB_KEY, jobRecord()));
    assertEquals(200, controller.jobService.submit(job()).status());
    assertEquals(
        200,
        controller.jobService.poll(ID, true).status(),
        "the job is found by the query that precedes a rejection");
    assertEquals(accepted.revision(), read(JOB_KEY).revision());
    endJobElsewhere(true);
    JobService.SubmissionResult again = controller.jobService.submit(job());
    assertEquals("200 withdrawn", again.status() + " " + again.state().phase());
    assertNull(read(JOB_KEY).data(), "an ended job is not accepted again");
  }

  /**
   * A submission is committed and its response lost; another node cancels the job before the
   * submitting node reads the record.
   */
  @Test
  void submissionWithLostResponseReportsLaterCancellation() throws Exception {
    storeEmulator.loseResponses(1);
    storeAddress.setObserver(
        (request, executed) -> {
          if (!executed && request.method().equals("GET") && requestContains(request, JOB_KEY)) {
            storeEmulator.loseResponses(0);
            endJobElsewhere(true);
          }
        });
    JobService.SubmissionResult result = controller.jobService.submit(job());
    assertEquals("200 withdrawn", result.status() + " " + result.state().phase());
    assertTrue(
        storeEmulator.lostResponses(RecordCodec.LIVE_JOB_PREFIX) == 1, "the response was lost");
  }

  /**
   * Another node leads by the time a write arrives: the write is not applied, and the term ends.
   */
  @Test
  void writesOfDeposedLeaderAreNotApplied() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    storeAddress.setObserver(
        (request, executed) -> {
          if (!executed && requestContains(request, "\"set\":\"" + END_KEY)) {
            storeAddress.setObserver((anyRequest, anyExecuted) -> {});
            recordOtherLeader();
          }
        });
    assertEquals(503, controller.jobService.cancel(ID, true).status());
    assertNull(read(END_KEY).data());
    assertNotNull(read(JOB_KEY).data());
    Await.until(
        "the term to end", () -> term.hasEnded() && controller.runtime.currentTerm() == null);
  }

  /** Records of an earlier leader do not replace those of a later one. */
  @Test
  void recordsOfDeposedLeaderAreNotApplied() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    AtomicInteger late = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    storeAddress.setObserver(
        (request, executed) -> {
          if (!executed && requestContains(request, "late-note") && late.incrementAndGet() == 1) {
            recordOtherLeader();
          }
          answered.addAndGet(executed && requestContains(request, "late-note") ? 1 : 0);
        });
    term.records.put(LeaderRecords.RecordKind.OPENED, "late-note", true, 0);
    Await.until("the late write to be answered", () -> answered.get() > 0);
    assertFalse(storeEmulator.containsKey(RecordCodec.LEADER_PAGE_PREFIX + "o0"));
    Await.until("the term to end", term::hasEnded);
  }

  /**
   * The write of a record is committed and only its response lost: the next write is conditional on
   * the revision that it left. An earlier write that is applied late fails because of the revision
   * of the page.
   */
  @Test
  void recordPageIsWrittenOnItsLatestRevision() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    String page = RecordCodec.LEADER_PAGE_PREFIX + "o0";
    storeEmulator.loseResponses(1);
    term.records.put(LeaderRecords.RecordKind.OPENED, "first", true, 0);
    Await.until(
        "the response to a record write to be lost",
        () -> storeEmulator.lostResponses(RecordCodec.LEADER_PAGE_PREFIX) > 0);
    storeEmulator.loseResponses(0);
    term.records.put(LeaderRecords.RecordKind.OPENED, "second", true, 0);
    Await.until("both entries on the page", () -> entryCount(page) == 2);
    long revision = read(page).revision();
    List<String> conditions = new ArrayList<>();
    storeAddress.setObserver(
        (request, executed) -> {
          if (!executed && requestContains(request, "third")) {
            conditions.add(new String(request.body(), StandardCharsets.UTF_8));
          }
        });
    term.records.put(LeaderRecords.RecordKind.OPENED, "third", true, 0);
    Await.until("the third entry on the page", () -> entryCount(page) == 3);
    assertTrue(conditions.get(0).contains("{\"k\":\"" + page + "\",\"stamp\":" + revision + "}"));
  }

  private int entryCount(String page) throws Exception {
    StoreClient.Entry row = read(page);
    return row.data() == null ? 0 : row.data().size();
  }

  /** Calls from threads of an earlier or a later term do not affect the current term. */
  @Test
  void eventsOfOtherTermsAreIgnored() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    controller.runtime.onTermEnd(term.token - 1, "late notification");
    assertSame(term, controller.runtime.currentTerm());
    assertFalse(term.hasEnded());
    controller.runtime.onTermBegin(term.token + 1);
    assertSame(term, controller.runtime.currentTerm(), "a term that was not won does not start");
    Heartbeat heartbeat =
        new Heartbeat("vm-1", "127.0.0.1:1", "small", "a", false, 1, 1, 0, null, List.of());
    assertNotNull(responseTo(heartbeat, term.token));
    assertNull(
        responseTo(heartbeat, term.token - 1), "the response would contain the earlier token");
    controller.runtime.transferLeadership(term, "a test");
    Await.until("the term to end", term::hasEnded);
    assertNull(responseTo(heartbeat, term.token));
    controller.runtime.onTermBegin(term.token);
    LeaderTerm next = controller.runtime.currentTerm();
    assertTrue(
        next == null || next.token > term.token, "a term that has ended does not start again");
  }

  /** Another leader is recorded between the grant of the lease and the claim that uses it. */
  @Test
  void claimDoesNotOverwriteKeyOfAnotherLeader() throws Exception {
    AtomicInteger claims = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    storeAddress.setObserver(
        (request, executed) -> {
          boolean claim = requestContains(request, "\"set\":\"" + RecordCodec.LEADER_KEY);
          if (!executed && claim && claims.incrementAndGet() == 1) {
            recordOtherLeader();
          }
          answered.addAndGet(executed && claim ? 1 : 0);
        });
    controller.start();
    Await.until("the late claim to be answered", () -> answered.get() > 0);
    assertEquals("another", read(RecordCodec.LEADER_KEY).data().get("node"));
    Await.until(
        "the leader to be known", () -> "another".equals(controller.runtime.remoteLeader()));
    assertNull(controller.runtime.currentTerm());
    assertEquals(0, controller.runtime.token());
  }

  /** A heartbeat with a higher token than this leader's proves that there is a later leader. */
  @Test
  void heartbeatWithLaterTokenEndsTerm() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    Heartbeat later =
        new Heartbeat(
            "vm-1", "127.0.0.1:1", "small", "a", false, 1, 1, term.token + 5, null, List.of());
    assertNull(responseTo(later, term.token));
    assertTrue(term.hasEnded());
  }

  private HeartbeatResponse responseTo(Heartbeat heartbeat, long token) throws Exception {
    return controller.runtime.onHeartbeat(heartbeat, token, LeaderTerm.nowMs()).awaitResponse();
  }

  /** A cancellation is rejected and repeated: its user waits from the first request on. */
  @Test
  void cancellationIsTimedFromItsFirstRequest() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    storeAddress.setObserver(
        (request, executed) -> {
          if (!executed && requestContains(request, "\"set\":\"" + END_KEY)) {
            throw new IllegalStateException("rejected by the test");
          }
        });
    final long startedMs = LeaderTerm.nowMs();
    assertEquals(503, controller.jobService.cancel(ID, true).status());
    assertTrue(term.cancellationSummary().contains(" 0 confirmed; 1 wait, the longest for "));
    storeAddress.setObserver((request, executed) -> {});
    String line =
        term.scheduler.callLocked( // otherwise the term's own summary might report it first
            scheduler -> {
              assertEquals("withdrawn", controller.jobService.cancel(ID, true).phase());
              return term.cancellationSummary();
            });
    final long tookMs = LeaderTerm.nowMs() - startedMs;
    long reportedMs = Long.parseLong(line.replaceAll(".* worst ([0-9]+) ms", "$1"));
    assertTrue(line.contains(" 1 confirmed, median " + reportedMs + " ms"), line);
    assertTrue(reportedMs >= LoopTiming.CANCEL_WAIT_MS && reportedMs <= tookMs, line);
    assertNull(term.cancellationSummary());
  }

  /**
   * While the end of a cancelled job is being written, no state of the job is reported from memory.
   */
  @Test
  void noOlderStateIsReportedWhileCancellationIsWritten() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    String[] reportedPhase = new String[1];
    storeAddress.setObserver(
        (request, executed) -> {
          if (executed && requestContains(request, "\"set\":\"" + END_KEY)) {
            reportedPhase[0] = String.valueOf(controller.jobService.poll(ID, true).phase());
          }
        });
    assertEquals("withdrawn", controller.jobService.cancel(ID, true).phase());
    assertEquals(
        "withdrawn", reportedPhase[0], "the end is durable and its writer has no response yet");
    assertFalse(term.manages(ID));
  }

  /**
   * The end of a job is durable and the response to its write lost, both for a cancellation and for
   * a job whose tasks are done. The leader reports no state of the job from memory, although it
   * does not retry the write. A request that reads the record makes the term drop the job; formerly
   * the term kept the job indefinitely.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void noOlderStateIsReportedAfterResponseToEndIsLost(boolean cancelled) throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    AtomicBoolean endDurable = new AtomicBoolean();
    storeAddress.setObserver(
        (request, executed) -> {
          boolean end = requestContains(request, "\"set\":\"" + END_KEY);
          if (end && endDurable.get()) {
            throw new IllegalStateException("rejected by the test: no retry succeeds");
          }
          endDurable.compareAndSet(false, end && executed);
          if (end) {
            storeEmulator.loseResponses(executed ? 0 : 1);
          }
        });
    if (cancelled) {
      assertEquals(503, controller.jobService.cancel(ID, true).status());
    } else {
      term.completions.add(ID); // as for a job whose tasks are all done
      Await.until("the end to be durable", endDurable::get);
    }
    long untilNs = System.nanoTime() + OBSERVATION_NS;
    do {
      assertNull(term.progressIfCurrent(ID), "the end of the job is durable");
    } while (System.nanoTime() < untilNs);
    assertTrue(term.manages(ID), "the leader does not know of the end");
    assertEquals(cancelled ? "withdrawn" : "done", controller.jobService.poll(ID, true).phase());
    assertFalse(term.manages(ID), "the term drops a job whose end is durable");
    assertNull(term.scheduler.progress(ID));
  }

  /**
   * A node is notified of the acceptance of a job late, after it has cancelled the job as leader.
   */
  @Test
  void lateAcceptanceDoesNotReviveCancelledJob() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    StoreClient.Entry live = read(JOB_KEY);
    assertEquals("withdrawn", controller.jobService.cancel(ID, true).phase());
    controller.runtime.onJobRecord(live);
    controller.runtime.onJobAccepted(new RecordCodec.JobRecord(job(), 0), live.revision());
    assertFalse(term.manages(ID));
    assertEquals("withdrawn", controller.jobService.poll(ID, true).phase());
  }

  /** The completion of the job is recorded and reported just before its cancellation is written. */
  @Test
  void cancellationDoesNotReplaceRecordedCompletion() throws Exception {
    controller.start();
    controller.awaitLeadership();
    submitJob();
    storeAddress.setObserver(
        (request, executed) -> {
          if (!executed
              && requestContains(request, "\"set\":\"" + END_KEY)
              && !storeEmulator.containsKey(END_KEY)) {
            endJobElsewhere(false);
          }
        });
    assertEquals("done", controller.jobService.cancel(ID, true).phase());
    assertFalse(RecordCodec.decodeJobEnd(read(END_KEY).data()).cancelled());
  }

  /** A machine that has seen a later leader rejects a direct command, which ends the term. */
  @Test
  void commandRejectedForLaterTokenEndsTerm() throws Exception {
    controller.listen(portBlock.ports(1).get(0)).start();
    LeaderTerm term = controller.awaitLeadership();
    submitJob();
    Await.until("the job to run", () -> startedTasks().contains(ID + "/0"));
    cloud.workersEverProvisioned().forEach(worker -> worker.recordLaterToken(term.token + 1000));
    controller.jobService.cancel(ID, true); // sends the stop directly
    Await.until("the term to end", term::hasEnded);
  }

  /**
   * Machines that become available while the end of a cancelled job is being written start none of
   * its tasks.
   */
  @Test
  void nothingStartsOfJobBeingCancelled() throws Exception {
    CountDownLatch provisioningAllowed = new CountDownLatch(1);
    cloud.setProvisionListener(
        machine -> {
          try {
            provisioningAllowed.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    write(
        new StoreClient.Transaction()
            .put(JOB_KEY, jobRecord())
            .put(
                RecordCodec.LEADER_PAGE_PREFIX + "o0",
                Map.of(ID, RecordCodec.encodePlacement(List.of()))));
    controller.listen(portBlock.ports(1).get(0)).start();
    final LeaderTerm term = controller.awaitLeadership();
    assertTrue(term.manages(ID));
    AtomicInteger ends = new AtomicInteger();
    storeAddress.setObserver(
        (request, executed) -> {
          if (!executed
              && requestContains(request, "\"set\":\"" + END_KEY)
              && ends.incrementAndGet() == 1) {
            write(
                new StoreClient.Transaction()
                    .put(RecordCodec.LIVE_JOB_PREFIX + "wk-000002", jobRecord()));
            provisioningAllowed.countDown();
            Await.until("the next job to start", () -> startedTasks().contains("wk-000002/0"));
          }
        });
    controller.jobService.cancel(ID, true);
    Await.until("the next job to start", () -> startedTasks().contains("wk-000002/0"));
    assertEquals(List.of("wk-000002/0"), startedTasks());
  }

  /**
   * Guards against direct starts, alone or with their stops: a restarted machine without a token
   * would also execute one that is delayed or repeated.
   */
  @Test
  void directStartCannotBeSent() {
    Command start = new Command(Command.Kind.START, ID, 0, 77, 0);
    Command stop = new Command(Command.Kind.STOP, ID, 0, 77, 0);
    for (List<Command> commands : List.of(List.of(start), List.of(start, stop))) {
      assertThrows(
          IllegalArgumentException.class,
          () -> new Decision.SendCommands("vm-1", "127.0.0.1:1", 5, 1, commands, 5000));
    }
  }

  /**
   * A response waits for commands when its leader's term ends: the worker is sent away at once, so
   * that its lease does not run out meanwhile.
   */
  @Test
  void deferredResponseEndsWithTerm() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    HeartbeatResult result = deferredHeartbeat(term, 1);
    controller.runtime.transferLeadership(term, "a test");
    Await.until("the term to end", term::hasEnded);
    long beganNs = System.nanoTime();
    assertNull(result.awaitResponse());
    assertTrue(System.nanoTime() - beganNs < OBSERVATION_NS, "it waited for commands");
  }

  /** Guards against a start in a response that its worker does not wait for any more. */
  @Test
  void deferredResponseToEarlierHeartbeatIsNotSent() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    HeartbeatResult earlier = deferredHeartbeat(term, 1);
    HeartbeatResult later = deferredHeartbeat(term, 2);
    assertNull(earlier.awaitResponse());
    assertNotNull(later.awaitResponse());
  }

  /** Returns the result of a heartbeat of an empty machine, whose response waits for commands. */
  private HeartbeatResult deferredHeartbeat(LeaderTerm term, long sequence) throws Exception {
    Await.until("the types to be known", () -> !controller.runtime.machineTypes().isEmpty());
    Heartbeat heartbeat =
        new Heartbeat(
            "vm-1", "127.0.0.1:1", "small", "a", false, 1, sequence, term.token, null, List.of());
    HeartbeatResult result =
        controller.runtime.onHeartbeat(heartbeat, term.token, LeaderTerm.nowMs());
    assertNotNull(result.deferred());
    return result;
  }

  /**
   * A submission is durable, and before its node has the response the job is cancelled and the user
   * told so. The response to the submission, which arrives last, must not report an older state.
   */
  @Test
  void submissionAnsweredAfterJobEndReportsEnd() throws Exception {
    controller.start();
    controller.awaitLeadership();
    String[] reportedPhase = new String[1];
    storeAddress.setObserver(
        (request, executed) -> {
          if (executed
              && reportedPhase[0] == null
              && requestContains(request, "\"set\":\"" + JOB_KEY)) {
            reportedPhase[0] = "not reported";
            Await.until(
                "the job to be cancelled",
                () -> controller.jobService.cancel(ID, true).status() == 200);
            reportedPhase[0] = controller.jobService.poll(ID, true).phase();
          }
        });
    JobService.SubmissionResult result = controller.jobService.submit(job());
    assertEquals("withdrawn", reportedPhase[0]);
    assertEquals("200 withdrawn", result.status() + " " + result.state().phase());
  }

  /**
   * A command to a machine with an invalid address fails before it is sent. The command must be
   * settled all the same: if it counted as in flight, the start could not be cancelled any more.
   */
  @Test
  void failedCommandDoesNotStayInFlight() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    Await.until("a machine to be provisioned", () -> !cloud.workersEverProvisioned().isEmpty());
    long[] sequence = {2};
    sendEmptyHeartbeat(term, 1);
    sendEmptyHeartbeat(term, 2); // with the token; the start follows once its records are durable
    Await.until(
        "the records that the start needs to be durable",
        () ->
            entryCount(RecordCodec.LEADER_PAGE_PREFIX + "o0") == 1
                && !allNewlyProvisioned(RecordCodec.LEADER_PAGE_PREFIX + "m0"));
    long untilNs = System.nanoTime() + OBSERVATION_NS;
    boolean inFlight;
    do {
      inFlight = term.scheduler.callLocked(scheduler -> scheduler.mayStillStart(ID));
    } while (!inFlight && System.nanoTime() < untilNs); // settled as soon as it has failed
    Await.until(
        "the cancellation to be confirmed",
        () -> {
          sendEmptyHeartbeat(term, ++sequence[0]);
          return controller.jobService.cancel(ID, true).status() == 200;
        });
  }

  private boolean allNewlyProvisioned(String page) throws Exception {
    StoreClient.Entry row = read(page);
    for (Map.Entry<String, Object> entry : row.data().entrySet()) {
      if (!RecordCodec.decodeMachine(entry.getKey(), entry.getValue()).newlyProvisioned()) {
        return false;
      }
    }
    return true;
  }

  /** Delivers a heartbeat of the machine that lists no tasks and has an invalid address. */
  private void sendEmptyHeartbeat(LeaderTerm term, long sequence) {
    String machine = cloud.workersEverProvisioned().get(0).name();
    String address = "127.0.0.1:70000";
    long token = sequence > 1 ? term.token : 0;
    controller.runtime.onHeartbeat(
        new Heartbeat(machine, address, "small", "a", false, 1, sequence, token, null, List.of()),
        term.token,
        LeaderTerm.nowMs());
  }

  /** The callback for a durable record fails: the records after it are written all the same. */
  @Test
  void recordsAreWrittenAfterFailureOfCallback() throws Exception {
    StoreClient.Transaction key =
        new StoreClient.Transaction().put(RecordCodec.LEADER_KEY, RecordCodec.encodeLeader("one"));
    long token = ((Outcome.Committed) write(key)).revision();
    ConcurrentLinkedQueue<String> durable = new ConcurrentLinkedQueue<>();
    LeaderRecords records =
        new LeaderRecords(
            token,
            controller.store,
            new Settings.StoreLimits(100, 100, 8, 8),
            (kind, name, value) -> {
              if (name.equals("bad")) {
                throw new IllegalStateException("failure of the callback for this record");
              }
              durable.add(name);
            });
    records.put(LeaderRecords.RecordKind.OPENED, "bad", 1, 0);
    records.put(LeaderRecords.RecordKind.OPENED, "beside it", 1, 0);
    Thread loop = new Thread(Threads.logFailures("records", () -> records.writeLoop(null)));
    loop.start();
    Await.until("the first page", () -> entryCount(RecordCodec.LEADER_PAGE_PREFIX + "o0") == 2);
    records.put(LeaderRecords.RecordKind.OPENED, "later", 1, 0);
    Await.until("the later record to be durable", () -> durable.contains("later"));
    assertEquals(List.of("beside it", "later"), List.copyOf(durable));
    records.close();
    loop.join();
  }

  private List<String> startedTasks() {
    return starts().stream().map(WorkerEmulator.Start::task).toList();
  }
}
