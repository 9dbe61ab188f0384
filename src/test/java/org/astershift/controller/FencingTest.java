package org.astershift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
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
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Each fence that stands in a thread of a leader and not in a decision: what happens between two of
 * its steps is done here by the state service's other client, at that very moment.
 */
@Timeout(200)
class FencingTest extends FencingTestCase {
  /** So long a case looks whether something older is told. */
  private static final long OBSERVATION_NS = 300_000_000;

  /**
   * A leader cut off from the state service alone leads on in doubt. Another one may have ended the
   * job and said so, so it tells nothing from memory: neither what is live nor a cancellation.
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
    Await.until("the lease to be over", () -> !controller.runtime.isLeaseCertain(term));
    Await.until("its key to be gone", () -> read(RecordCodec.LEADER_KEY).data() == null);
    recordOtherLeader();
    endJobElsewhere(true);
    assertSame(term, controller.runtime.currentTerm(), "it still leads, as far as it knows");
    assertNotNull(term.progressIfCurrent(ID), "and has the job in memory");
    assertEquals(503, controller.jobService.poll(ID, true).status());
    AtomicInteger promises = new AtomicInteger();
    storeAddress.setObserver((r, done) -> promises.addAndGet(requestContains(r, END_KEY) ? 1 : 0));
    assertEquals(503, controller.jobService.cancel(ID, true).status());
    assertEquals(0, promises.get(), "it does not try to write what it may not promise");
    storeAddress.rejectRequests(false);
    Await.until("an answer", () -> controller.jobService.poll(ID, true).status() == 200);
    assertEquals("withdrawn", controller.jobService.poll(ID, true).phase());
  }

  /** The job ends between the two reads of an answer: it was accepted, so it is not unknown. */
  @Test
  void jobEndingBetweenTwoReadsIsNotUnknown() throws Exception {
    write(new StoreClient.Transaction().put(JOB_KEY, jobRecord()));
    AtomicInteger reads = new AtomicInteger();
    storeAddress.setObserver(
        (r, done) -> {
          if (done && requestContains(r, "/store/") && reads.incrementAndGet() == 1) {
            endJobElsewhere(false);
          }
        });
    assertEquals(
        "queued", controller.jobService.poll(ID, true).phase(), "as it was after the question");
    assertEquals("done", controller.jobService.poll(ID, true).phase());
  }

  /** A repeated submission, at a node that knows nothing of the job, changes nothing on record. */
  @Test
  void repeatedSubmissionWritesNothing() throws Exception {
    Outcome.Committed accepted =
        (Outcome.Committed) write(new StoreClient.Transaction().put(JOB_KEY, jobRecord()));
    assertEquals(200, controller.jobService.submit(job()).status());
    assertEquals(200, controller.jobService.poll(ID, true).status(), "asked for before a refusal");
    assertEquals(accepted.revision(), read(JOB_KEY).revision());
    endJobElsewhere(true);
    JobService.SubmissionResult again = controller.jobService.submit(job());
    assertEquals("200 withdrawn", again.status() + " " + again.known().phase());
    assertNull(read(JOB_KEY).data(), "what is over is not accepted once more");
  }

  /**
   * A submission is carried out and its answer lost; before its node looks, another has cancelled
   * the job.
   */
  @Test
  void submissionWithLostResponseReportsLaterCancellation() throws Exception {
    storeEmulator.loseResponses(1);
    storeAddress.setObserver(
        (r, done) -> {
          if (!done && r.method().equals("GET") && requestContains(r, JOB_KEY)) {
            storeEmulator.loseResponses(0);
            endJobElsewhere(true);
          }
        });
    JobService.SubmissionResult s = controller.jobService.submit(job());
    assertEquals("200 withdrawn", s.status() + " " + s.known().phase());
    assertTrue(
        storeEmulator.lostResponses(RecordCodec.LIVE_JOB_PREFIX) == 1, "the answer was lost");
  }

  /** Another node leads by the time a write arrives: it is not applied, and the term is over. */
  @Test
  void writesOfDeposedLeaderAreNotApplied() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    storeAddress.setObserver(
        (r, done) -> {
          if (!done && requestContains(r, "\"set\":\"" + END_KEY)) {
            storeAddress.setObserver((again, over) -> {});
            recordOtherLeader();
          }
        });
    assertEquals(503, controller.jobService.cancel(ID, true).status());
    assertNull(read(END_KEY).data());
    assertNotNull(read(JOB_KEY).data());
    Await.until(
        "the term to be over", () -> term.hasEnded() && controller.runtime.currentTerm() == null);
  }

  /** The same for notes: those of an earlier leader do not replace a later one's. */
  @Test
  void recordsOfDeposedLeaderAreNotApplied() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    AtomicInteger late = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    storeAddress.setObserver(
        (r, done) -> {
          if (!done && requestContains(r, "late-note") && late.incrementAndGet() == 1) {
            recordOtherLeader();
          }
          answered.addAndGet(done && requestContains(r, "late-note") ? 1 : 0);
        });
    term.records.put(LeaderRecords.RecordKind.OPENED, "late-note", true, 0);
    Await.until("the late note to be decided on", () -> answered.get() > 0);
    assertFalse(storeEmulator.containsKey(RecordCodec.LEADER_PAGE_PREFIX + "o0"));
    Await.until("the term to be over", term::hasEnded);
  }

  /**
   * A note's write is carried out, and only its answer lost; the next one starts from there, and an
   * earlier one applied late would fail by the page's revision.
   */
  @Test
  void recordPageIsWrittenOnItsLatestRevision() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    String page = RecordCodec.LEADER_PAGE_PREFIX + "o0";
    storeEmulator.loseResponses(1);
    term.records.put(LeaderRecords.RecordKind.OPENED, "first", true, 0);
    Await.until(
        "a note without an answer",
        () -> storeEmulator.lostResponses(RecordCodec.LEADER_PAGE_PREFIX) > 0);
    storeEmulator.loseResponses(0);
    term.records.put(LeaderRecords.RecordKind.OPENED, "second", true, 0);
    Await.until("both notes", () -> entryCount(page) == 2);
    long revision = read(page).revision();
    List<String> conditions = new ArrayList<>();
    storeAddress.setObserver(
        (r, done) -> {
          if (!done && requestContains(r, "third")) {
            conditions.add(new String(r.body(), StandardCharsets.UTF_8));
          }
        });
    term.records.put(LeaderRecords.RecordKind.OPENED, "third", true, 0);
    Await.until("the third note", () -> entryCount(page) == 3);
    assertTrue(conditions.get(0).contains("{\"k\":\"" + page + "\",\"stamp\":" + revision + "}"));
  }

  private int entryCount(String page) throws Exception {
    StoreClient.Entry row = read(page);
    return row.data() == null ? 0 : row.data().size();
  }

  /** What threads of an earlier or a later term say does not touch this one. */
  @Test
  void eventsOfOtherTermsAreIgnored() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    controller.runtime.onTermEnd(term.token - 1, "told late");
    assertSame(term, controller.runtime.currentTerm());
    assertFalse(term.hasEnded());
    controller.runtime.onTermBegin(term.token + 1);
    assertSame(term, controller.runtime.currentTerm(), "a term that is not won does not begin");
    Heartbeat report =
        new Heartbeat("vm-1", "127.0.0.1:1", "small", "a", false, 1, 1, 0, null, List.of());
    assertNotNull(controller.runtime.onHeartbeat(report, term.token, LeaderTerm.nowMs()));
    assertNull(
        controller.runtime.onHeartbeat(report, term.token - 1, LeaderTerm.nowMs()),
        "its answer would show that token");
    controller.runtime.transferLeadership(term, "a test");
    Await.until("the term to be over", term::hasEnded);
    assertNull(controller.runtime.onHeartbeat(report, term.token, LeaderTerm.nowMs()));
    controller.runtime.onTermBegin(term.token);
    LeaderTerm next = controller.runtime.currentTerm();
    assertTrue(next == null || next.token > term.token, "a term that is over does not begin again");
  }

  /** Somebody else is recorded between the lease's grant and the claim on it. */
  @Test
  void claimDoesNotOverwriteKeyOfAnotherLeader() throws Exception {
    AtomicInteger claims = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    storeAddress.setObserver(
        (r, done) -> {
          boolean claim = requestContains(r, "\"set\":\"" + RecordCodec.LEADER_KEY);
          if (!done && claim && claims.incrementAndGet() == 1) {
            recordOtherLeader();
          }
          answered.addAndGet(done && claim ? 1 : 0);
        });
    controller.start();
    Await.until("a claim that came too late to be answered", () -> answered.get() > 0);
    assertEquals("another", read(RecordCodec.LEADER_KEY).data().get("node"));
    Await.until("the leader to be known", () -> "another".equals(controller.runtime.otherLeader()));
    assertNull(controller.runtime.currentTerm());
    assertEquals(0, controller.runtime.token());
  }

  /** A worker that has seen a higher token than this leader's proves that there is a later one. */
  @Test
  void heartbeatWithLaterTokenEndsTerm() throws Exception {
    controller.start();
    LeaderTerm term = controller.awaitLeadership();
    Heartbeat later =
        new Heartbeat(
            "vm-1", "127.0.0.1:1", "small", "a", false, 1, 1, term.token + 5, null, List.of());
    assertNull(controller.runtime.onHeartbeat(later, term.token, LeaderTerm.nowMs()));
    assertTrue(term.hasEnded());
  }

  /** A cancellation is refused and repeated: its user waits from the first time on. */
  @Test
  void cancellationIsTimedFromItsFirstRequest() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    storeAddress.setObserver(
        (r, done) -> {
          if (!done && requestContains(r, "\"set\":\"" + END_KEY)) {
            throw new IllegalStateException("refused");
          }
        });
    final long beganMs = LeaderTerm.nowMs();
    assertEquals(503, controller.jobService.cancel(ID, true).status());
    assertTrue(term.cancellationSummary().contains(" 0 confirmed; 1 wait, the longest for "));
    storeAddress.setObserver((r, done) -> {});
    String line =
        term.scheduler.call( // or its own summary might tell it first
            scheduler -> {
              assertEquals("withdrawn", controller.jobService.cancel(ID, true).phase());
              return term.cancellationSummary();
            });
    final long tookMs = LeaderTerm.nowMs() - beganMs;
    long saidMs = Long.parseLong(line.replaceAll(".* worst ([0-9]+) ms", "$1"));
    assertTrue(line.contains(" 1 confirmed, median " + saidMs + " ms"), line);
    assertTrue(saidMs >= LoopTiming.CANCEL_WAIT_MS && saidMs <= tookMs, line);
    assertNull(term.cancellationSummary());
  }

  /** Nothing of a job whose end is on its way in a cancellation is told from memory. */
  @Test
  void noOlderStateIsReportedWhileCancellationIsWritten() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    String[] told = new String[1];
    storeAddress.setObserver(
        (r, done) -> {
          if (done && requestContains(r, "\"set\":\"" + END_KEY)) {
            told[0] = String.valueOf(controller.jobService.poll(ID, true).phase());
          }
        });
    assertEquals("withdrawn", controller.jobService.cancel(ID, true).phase());
    assertEquals("withdrawn", told[0], "on record, and its writer has no answer yet");
    assertFalse(term.manages(ID));
  }

  /**
   * The end is on record and its answer lost, that of a cancellation and that of a job whose tasks
   * are done: the leader tells nothing of it from memory, though it tries no more. Whoever then
   * reads the record has the term lay the job down, which kept it for ever before.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void noOlderStateIsReportedAfterResponseToEndIsLost(boolean cancelled) throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    AtomicBoolean over = new AtomicBoolean();
    storeAddress.setObserver(
        (r, done) -> {
          boolean end = requestContains(r, "\"set\":\"" + END_KEY);
          if (end && over.get()) {
            throw new IllegalStateException("refused: no second try comes through");
          }
          over.compareAndSet(false, end && done);
          storeEmulator.loseResponses(end && !done ? 1 : 0);
        });
    if (cancelled) {
      assertEquals(503, controller.jobService.cancel(ID, true).status());
    } else {
      term.completions.add(ID); // as for a job whose tasks are all done
      Await.until("the end on record", over::get);
    }
    long untilNs = System.nanoTime() + OBSERVATION_NS;
    do {
      assertNull(term.progressIfCurrent(ID), "it is over on record");
    } while (System.nanoTime() < untilNs);
    assertTrue(term.manages(ID), "the leader does not know it");
    assertEquals(cancelled ? "withdrawn" : "done", controller.jobService.poll(ID, true).phase());
    assertFalse(term.manages(ID), "what is over on record is laid down");
    assertNull(term.scheduler.progress(ID));
  }

  /** A job that its node learns of by accepting it late, after it was cancelled by that leader. */
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

  /** The job is done and told, with the record of that written just before the cancellation's. */
  @Test
  void cancellationDoesNotReplaceRecordedCompletion() throws Exception {
    controller.start();
    controller.awaitLeadership();
    submitJob();
    storeAddress.setObserver(
        (r, done) -> {
          if (!done
              && requestContains(r, "\"set\":\"" + END_KEY)
              && !storeEmulator.containsKey(END_KEY)) {
            endJobElsewhere(false);
          }
        });
    assertEquals("done", controller.jobService.cancel(ID, true).phase());
    assertFalse(RecordCodec.decodeJobEnd(read(END_KEY).data()).cancelled());
  }

  /** The same by the answer to a direct order: the machine has seen a later leader. */
  @Test
  void commandRejectedForLaterTokenEndsTerm() throws Exception {
    controller.listen(portBlock.ports(1).get(0)).start();
    LeaderTerm term = controller.awaitLeadership();
    submitJob();
    Await.until("the job to run", () -> startedTasks().contains(ID + "/0"));
    cloud.workersEverProvisioned().forEach(w -> w.recordLaterToken(term.token + 1000));
    controller.jobService.cancel(ID, true); // its stop goes out directly
    Await.until("the term to be over", term::hasEnded);
  }

  /** While the end of a cancelled job is being written, and machines come, it is not started. */
  @Test
  void nothingStartsOfJobBeingCancelled() throws Exception {
    CountDownLatch mayRent = new CountDownLatch(1);
    cloud.setProvisionListener(
        m -> {
          try {
            mayRent.await();
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
        (r, done) -> {
          if (!done && requestContains(r, "\"set\":\"" + END_KEY) && ends.incrementAndGet() == 1) {
            write(
                new StoreClient.Transaction()
                    .put(RecordCodec.LIVE_JOB_PREFIX + "wk-000002", jobRecord()));
            mayRent.countDown();
            Await.until("the next job to start", () -> startedTasks().contains("wk-000002/0"));
          }
        });
    controller.jobService.cancel(ID, true);
    Await.until("the next job to start", () -> startedTasks().contains("wk-000002/0"));
    assertEquals(List.of("wk-000002/0"), startedTasks());
  }

  /**
   * A start waits for its turn behind machines that do not answer; meanwhile its job is cancelled,
   * and that is told.
   */
  @Test
  void delayedStartOfCancelledJobIsNotSent() throws Exception {
    controller.listen(portBlock.ports(1).get(0)).start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    Await.until("the job to run", () -> startedTasks().contains(ID + "/0"));
    Await.until("it to be cancelled", () -> controller.jobService.cancel(ID, true).status() == 200);
    WorkerEmulator worker = cloud.workersEverProvisioned().get(0);
    Command late = new Command(Command.Kind.START, ID, 0, 77, 0);
    String addr = worker.sentHeartbeats().get(0).replaceAll(".*\"addr\":\"([^\"]+)\".*", "$1");
    controller
        .runtime
        .commands()
        .send(term, new Decision.SendCommands(worker.name(), addr, 1, List.of(late), 5000));
    assertEquals(List.of(ID + "/0"), startedTasks());
  }

  /**
   * A start waits for its turn or its connection, or its leader stands still, until another may
   * lead: the machine may have listened to that one and begun anew, without a token. It goes with
   * answers.
   */
  @Test
  void delayedStartIsNotSentUnderUncertainLease() throws Exception {
    controller.listen(portBlock.ports(1).get(0)).start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    Await.until("the job to run", () -> startedTasks().contains(ID + "/0"));
    WorkerEmulator worker = cloud.workersEverProvisioned().get(0);
    Command late = new Command(Command.Kind.START, ID, 0, 77, 0);
    String addr = worker.sentHeartbeats().get(0).replaceAll(".*\"addr\":\"([^\"]+)\".*", "$1");
    Decision.SendCommands direct =
        new Decision.SendCommands(worker.name(), addr, 1, List.of(late), 5000);
    storeAddress.rejectRequests(true);
    Await.until("the lease to be over", () -> !controller.runtime.isLeaseCertain(term));
    controller.runtime.commands().send(term, direct);
    assertTrue(term.manages(ID), "the job is wanted");
    assertSame(term, controller.runtime.currentTerm(), "and this node leads on, in doubt");
    assertEquals(List.of(ID + "/0"), startedTasks());
    storeAddress.rejectRequests(false);
    Await.until("the lease to be its own again", () -> controller.runtime.isLeaseCertain(term));
    controller.runtime.commands().send(term, direct);
    assertEquals(List.of(ID + "/0", ID + "/0"), startedTasks());
  }

  /**
   * A submission is on record, and before its node has the answer the job is cancelled and that is
   * told: who hears of the submission last hears nothing older.
   */
  @Test
  void submissionAnsweredAfterJobEndReportsEnd() throws Exception {
    controller.start();
    controller.awaitLeadership();
    String[] told = new String[1];
    storeAddress.setObserver(
        (r, done) -> {
          if (done && told[0] == null && requestContains(r, "\"set\":\"" + JOB_KEY)) {
            told[0] = "not told";
            Await.until(
                "the job to be cancelled",
                () -> controller.jobService.cancel(ID, true).status() == 200);
            told[0] = controller.jobService.poll(ID, true).phase();
          }
        });
    JobService.SubmissionResult s = controller.jobService.submit(job());
    assertEquals("withdrawn", told[0]);
    assertEquals("200 withdrawn", s.status() + " " + s.known().phase());
  }

  /**
   * A machine's address makes no sense, so an order to it fails before it is sent. It is settled
   * all the same: taken for under way, its start could not be cancelled any more.
   */
  @Test
  void failedCommandDoesNotStayInFlight() throws Exception {
    controller.start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    Await.until("a machine", () -> !cloud.workersEverProvisioned().isEmpty());
    long[] tick = {2};
    sendEmptyHeartbeat(term, 1);
    sendEmptyHeartbeat(
        term, 2); // with the token; the start follows directly, once what it needs is on record
    Await.until(
        "what the start needs to be on record",
        () ->
            entryCount(RecordCodec.LEADER_PAGE_PREFIX + "o0") == 1
                && !allNewlyProvisioned(RecordCodec.LEADER_PAGE_PREFIX + "m0"));
    long untilNs = System.nanoTime() + OBSERVATION_NS;
    boolean underWay;
    do {
      underWay = term.scheduler.call(scheduler -> scheduler.mayStart(ID));
    } while (!underWay && System.nanoTime() < untilNs); // it is settled as soon as it has failed
    Await.until(
        "the cancellation to be confirmed",
        () -> {
          sendEmptyHeartbeat(term, ++tick[0]);
          return controller.jobService.cancel(ID, true).status() == 200;
        });
  }

  private boolean allNewlyProvisioned(String page) throws Exception {
    StoreClient.Entry row = read(page);
    for (Map.Entry<String, Object> e : row.data().entrySet()) {
      if (!RecordCodec.decodeMachine(e.getKey(), e.getValue()).newlyProvisioned()) {
        return false;
      }
    }
    return true;
  }

  /** A report of the machine, empty, under an address that is none. */
  private void sendEmptyHeartbeat(LeaderTerm term, long tick) {
    String machine = cloud.workersEverProvisioned().get(0).name();
    String addr = "127.0.0.1:70000";
    long token = tick > 1 ? term.token : 0;
    controller.runtime.onHeartbeat(
        new Heartbeat(machine, addr, "small", "a", false, 1, tick, token, null, List.of()),
        term.token,
        LeaderTerm.nowMs());
  }

  /**
   * What a note that is on record brings about fails: the notes after it are written all the same.
   */
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
                throw new IllegalStateException("a fault in what follows this note");
              }
              durable.add(name);
            });
    records.put(LeaderRecords.RecordKind.OPENED, "bad", 1, 0);
    records.put(LeaderRecords.RecordKind.OPENED, "beside it", 1, 0);
    Thread loop = new Thread(Threads.logFailures("notes", () -> records.writeLoop(null)));
    loop.start();
    Await.until("the first page", () -> entryCount(RecordCodec.LEADER_PAGE_PREFIX + "o0") == 2);
    records.put(LeaderRecords.RecordKind.OPENED, "later", 1, 0);
    Await.until("the later note", () -> durable.contains("later"));
    assertEquals(List.of("beside it", "later"), List.copyOf(durable));
    records.close();
    loop.join();
  }

  /**
   * A start goes with its stop so that a machine remembers the attempt, which a cancellation waits
   * for; without the stop it is not sent, nor once the user was told.
   */
  @Test
  void startOfCancelledJobIsSentOnlyWithStopAndBeforeConfirmation() throws Exception {
    controller.listen(portBlock.ports(1).get(0)).start();
    final LeaderTerm term = controller.awaitLeadership();
    submitJob();
    Await.until("the job to run", () -> startedTasks().contains(ID + "/0"));
    WorkerEmulator worker = cloud.workersEverProvisioned().get(0);
    String addr = worker.sentHeartbeats().get(0).replaceAll(".*\"addr\":\"([^\"]+)\".*", "$1");
    term.scheduler.call(
        scheduler -> {
          scheduler.requestCancellation(ID);
          return null;
        });
    Command start = new Command(Command.Kind.START, ID, 0, 77, 0);
    Command stop = new Command(Command.Kind.STOP, ID, 0, 77, 0);
    List<Command> later =
        List.of(
            new Command(Command.Kind.START, ID, 0, 78, 0),
            new Command(Command.Kind.STOP, ID, 0, 78, 0));
    Decision.SendCommands again = new Decision.SendCommands(worker.name(), addr, 1, later, 5000);
    Decision.SendCommands alone =
        new Decision.SendCommands(worker.name(), addr, 1, List.of(start), 5000);
    Decision.SendCommands both =
        new Decision.SendCommands(worker.name(), addr, 1, List.of(start, stop), 5000);
    controller.runtime.commands().send(term, alone);
    assertEquals(List.of(ID + "/0"), startedTasks());
    controller.runtime.commands().send(term, both);
    assertEquals(List.of(ID + "/0", ID + "/0"), startedTasks());
    Await.until("it to be cancelled", () -> controller.jobService.cancel(ID, true).status() == 200);
    controller.runtime.commands().send(term, again);
    assertEquals(List.of(ID + "/0", ID + "/0"), startedTasks());
  }

  private List<String> startedTasks() {
    return cloud.workersEverProvisioned().stream().flatMap(w -> w.startedTasks().stream()).toList();
  }
}
