package org.astershift.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.astershift.core.Report;
import org.astershift.standin.Await;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Each fence that stands in a thread of a leader and not in a decision: what happens between two of
 * its steps is done here by the state service's other client, at that very moment.
 */
@Timeout(200)
class FencesTest extends FenceCase {
  /**
   * A leader cut off from the state service alone leads on in doubt. Another one may have ended the
   * job and said so, so it tells nothing from memory: neither what is live nor a cancellation.
   */
  @Test
  void aLeaderInDoubtAnswersNothingFromMemory() throws Exception {
    node.start();
    Term term = node.leads();
    accept();
    assertNotNull(term.told(ID));
    assertEquals("queued", node.desk.poll(ID, false).phase());
    door.refuse(true);
    Await.until("the lease to be over", () -> !node.director.valid(term));
    Await.until("its key to be gone", () -> other.get(Records.LEADER).data() == null);
    anotherLeads();
    endElsewhere(true);
    assertSame(term, node.director.term(), "it still leads, as far as it knows");
    assertNotNull(term.told(ID), "and has the job in memory");
    assertEquals(503, node.desk.poll(ID, true).status());
    AtomicInteger promises = new AtomicInteger();
    door.watched((r, done) -> promises.addAndGet(says(r, OVER) ? 1 : 0));
    assertEquals(503, node.desk.cancel(ID, true).status());
    assertEquals(0, promises.get(), "it does not try to write what it may not promise");
    door.refuse(false);
    Await.until("an answer", () -> node.desk.poll(ID, true).status() == 200);
    assertEquals("withdrawn", node.desk.poll(ID, true).phase());
  }

  /** The job ends between the two reads of an answer: it was accepted, so it is not unknown. */
  @Test
  void aJobThatEndsBetweenTwoReadsIsNotUnknown() throws Exception {
    write(new StoreClient.Txn().put(LIVE, record()));
    AtomicInteger reads = new AtomicInteger();
    door.watched(
        (r, done) -> {
          if (done && says(r, "/store/") && reads.incrementAndGet() == 1) {
            endElsewhere(false);
          }
        });
    assertEquals("queued", node.desk.poll(ID, true).phase(), "as it was after the question");
    assertEquals("done", node.desk.poll(ID, true).phase());
  }

  /** A repeated submission, at a node that knows nothing of the job, changes nothing on record. */
  @Test
  void aRepeatedSubmissionWritesNothing() throws Exception {
    Outcome.Applied accepted = (Outcome.Applied) write(new StoreClient.Txn().put(LIVE, record()));
    assertEquals(200, node.desk.submit(job()).status());
    assertEquals(200, node.desk.poll(ID, true).status(), "asked for before a refusal");
    assertEquals(accepted.revision(), other.get(LIVE).revision());
    endElsewhere(true);
    UserDesk.Submitted again = node.desk.submit(job());
    assertEquals("200 withdrawn", again.status() + " " + again.known().phase());
    assertNull(other.get(LIVE).data(), "what is over is not accepted once more");
  }

  /**
   * A submission is carried out and its answer lost; before its node looks, another has cancelled
   * the job.
   */
  @Test
  void anAnswerIsLostAndTheJobIsCancelledMeanwhile() throws Exception {
    service.loseAnswers(1);
    door.watched(
        (r, done) -> {
          if (!done && r.method().equals("GET") && says(r, LIVE)) {
            service.loseAnswers(0);
            endElsewhere(true);
          }
        });
    UserDesk.Submitted s = node.desk.submit(job());
    assertEquals("200 withdrawn", s.status() + " " + s.known().phase());
    assertTrue(service.lost(Records.JOB) == 1, "the answer was lost");
  }

  /** Another node leads by the time a write arrives: it is not applied, and the term is over. */
  @Test
  void writesOfALeaderThatIsNoneAreNotApplied() throws Exception {
    node.start();
    final Term term = node.leads();
    accept();
    door.watched(
        (r, done) -> {
          if (!done && says(r, "\"set\":\"" + OVER)) {
            door.watched((again, over) -> {});
            anotherLeads();
          }
        });
    assertEquals(503, node.desk.cancel(ID, true).status());
    assertNull(other.get(OVER).data());
    assertNotNull(other.get(LIVE).data());
    Await.until("the term to be over", () -> term.over() && node.director.term() == null);
  }

  /** The same for notes: those of an earlier leader do not replace a later one's. */
  @Test
  void notesOfALeaderThatIsNoneAreNotApplied() throws Exception {
    node.start();
    final Term term = node.leads();
    AtomicInteger late = new AtomicInteger();
    door.watched(
        (r, done) -> {
          if (!done && says(r, "late-note") && late.incrementAndGet() == 1) {
            anotherLeads();
          }
        });
    term.notes.put(Notes.Kind.OPENED, "late-note", true, 0);
    Await.until("the term to be over", term::over);
    assertTrue(late.get() > 0);
    assertFalse(service.has(Records.NOTES + "o0"));
  }

  /**
   * A note's write is carried out, and only its answer lost; the next one starts from there, and an
   * earlier one applied late would fail by the page's revision.
   */
  @Test
  void aPageOfNotesIsWrittenFromTheRevisionThatItHas() throws Exception {
    node.start();
    Term term = node.leads();
    String page = Records.NOTES + "o0";
    service.loseAnswers(1);
    term.notes.put(Notes.Kind.OPENED, "first", true, 0);
    Await.until("a note without an answer", () -> service.lost(Records.NOTES) > 0);
    service.loseAnswers(0);
    term.notes.put(Notes.Kind.OPENED, "second", true, 0);
    Await.until("both notes", () -> other.get(page).data().size() == 2);
    long revision = other.get(page).revision();
    List<String> conditions = new ArrayList<>();
    door.watched(
        (r, done) -> {
          if (!done && says(r, "third")) {
            conditions.add(new String(r.body(), StandardCharsets.UTF_8));
          }
        });
    term.notes.put(Notes.Kind.OPENED, "third", true, 0);
    Await.until("the third note", () -> other.get(page).data().size() == 3);
    assertTrue(conditions.get(0).contains("{\"k\":\"" + page + "\",\"stamp\":" + revision + "}"));
  }

  /** What threads of an earlier or a later term say does not touch this one. */
  @Test
  void otherTermsDoNotTouchThisOne() throws Exception {
    node.start();
    Term term = node.leads();
    node.director.end(term.token - 1, "told late");
    assertSame(term, node.director.term());
    assertFalse(term.over());
    node.director.begin(term.token + 1);
    assertSame(term, node.director.term(), "a term that is not won does not begin");
    Report report =
        new Report("vm-1", "127.0.0.1:1", "small", "a", false, 1, 1, 0, null, List.of());
    assertNotNull(node.director.report(report, term.token));
    assertNull(node.director.report(report, term.token - 1), "its answer would show that token");
    node.director.handOver(term, "a test");
    Await.until("the term to be over", term::over);
    assertNull(node.director.report(report, term.token));
    node.director.begin(term.token);
    Term next = node.director.term();
    assertTrue(next == null || next.token > term.token, "a term that is over does not begin again");
  }

  /** Somebody else is recorded between the lease's grant and the claim on it. */
  @Test
  void theKeyOfAnotherIsNotTaken() throws Exception {
    AtomicInteger claims = new AtomicInteger();
    door.watched(
        (r, done) -> {
          if (!done && says(r, "\"set\":\"" + Records.LEADER) && claims.incrementAndGet() == 1) {
            anotherLeads();
          }
        });
    node.start();
    Await.until("a claim that came too late", () -> claims.get() > 0);
    Await.until("the leader to be known", () -> "another".equals(node.director.otherLeader()));
    assertNull(node.director.term());
    assertEquals(0, node.director.token());
  }

  /** A worker that has seen a higher token than this leader's proves that there is a later one. */
  @Test
  void aWorkerThatHasSeenALaterLeaderEndsTheTerm() throws Exception {
    node.start();
    Term term = node.leads();
    Report later =
        new Report(
            "vm-1", "127.0.0.1:1", "small", "a", false, 1, 1, term.token + 5, null, List.of());
    assertNull(node.director.report(later, term.token));
    assertTrue(term.over());
  }

  /** Nothing of a job whose end is on its way in a cancellation is told from memory. */
  @Test
  void whileACancellationIsWrittenNothingOlderIsTold() throws Exception {
    node.start();
    final Term term = node.leads();
    accept();
    String[] told = new String[1];
    door.watched(
        (r, done) -> {
          if (done && says(r, "\"set\":\"" + OVER)) {
            told[0] = String.valueOf(node.desk.poll(ID, true).phase());
          }
        });
    assertEquals("withdrawn", node.desk.cancel(ID, true).phase());
    assertEquals("withdrawn", told[0], "on record, and its writer has no answer yet");
    assertFalse(term.keeps(ID));
  }

  /** A job that its node learns of by accepting it late, after it was cancelled by that leader. */
  @Test
  void anAcceptanceToldLateBringsNothingBack() throws Exception {
    node.start();
    final Term term = node.leads();
    accept();
    StoreClient.Row live = other.get(LIVE);
    assertEquals("withdrawn", node.desk.cancel(ID, true).phase());
    node.director.learnt(live);
    node.director.accepted(new Records.JobRecord(job(), 0), live.revision());
    assertFalse(term.keeps(ID));
    assertEquals("withdrawn", node.desk.poll(ID, true).phase());
  }
}
