package org.astershift.leader;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.core.Decision;
import org.astershift.core.Scheduler;
import org.astershift.http.Json;
import org.astershift.office.CancellationTimes;
import org.astershift.office.JobLedger;
import org.astershift.store.Mirror;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One leader's time in office: its scheduler, its notes, and the jobs it looks after. */
final class Term {
  private static final Logger LOG = LoggerFactory.getLogger(Term.class);
  final long token;
  final long beganMs = nowMs();

  /** Used by one thread at a time: under the lock of this object. */
  final Scheduler scheduler;

  final Notes notes;
  final Ends ends = new Ends();
  private final Runnable stepDown;
  private volatile boolean over;
  private final JobLedger ledger;
  private final CancellationTimes cancellations = new CancellationTimes();
  private long rentals;

  /** {@code stepDown} is called when it is certain that another leads. */
  Term(long token, Scheduler scheduler, Notes notes, Runnable stepDown) {
    this.token = token;
    this.scheduler = scheduler;
    this.notes = notes;
    this.ledger = new JobLedger(token);
    this.stepDown = stepDown;
  }

  boolean over() {
    return over;
  }

  void end() {
    over = true;
    notes.end();
    ends.end();
  }

  /** A write found another leader's key. */
  void lost() {
    stepDown.run();
  }

  /** A transaction that fails when it is applied late, after another leader took over. */
  StoreClient.Txn txn() {
    return new StoreClient.Txn().when(Records.LEADER, token);
  }

  /** Whether the outcome shows that another leads, which ends the term. */
  boolean lostBy(StoreClient.Outcome o) {
    if (o instanceof StoreClient.Outcome.Conflict c && c.keys().contains(Records.LEADER)) {
      lost();
      return true;
    }
    return false;
  }

  /** Takes in all that the mirror holds: machines first, they decide what may be placed. */
  synchronized void load(Mirror mirror) {
    notes.load(mirror.below(Records.NOTES));
    long now = nowMs();
    notes.entries(Notes.Kind.MACHINE).forEach((name, value) -> loadMachine(name, value, now));
    Map<String, Object> opened = notes.entries(Notes.Kind.OPENED);
    Map<String, BitSet> done = new HashMap<>();
    notes
        .entries(Notes.Kind.PROGRESS)
        .forEach(
            (key, value) -> {
              try {
                BitSet part = new BitSet();
                String job = Records.merge(part, key, value);
                done.computeIfAbsent(job, j -> new BitSet()).or(part);
              } catch (Json.Bad e) {
                LOG.error(e.getMessage());
              }
            });
    for (StoreClient.Row row : mirror.below(Records.JOB)) {
      String id = row.key().substring(Records.JOB.length());
      add(row, opened.containsKey(id), done.getOrDefault(id, new BitSet()));
      scheduler.remembered(id, Records.openedOn(opened.get(id)));
    }
    ledger.loaded();
    // Left by a leader that ended between a job's end and the striking of its notes.
    for (String id : opened.keySet()) {
      forget(id);
    }
    for (String id : done.keySet()) {
      forget(id);
    }
  }

  private void forget(String id) {
    if (!ledger.keeps(id)) {
      strike(id);
    }
  }

  private void loadMachine(String name, Object value, long now) {
    try {
      Decision.Enrol e = Records.machine(name, value);
      if (e.fresh()) {
        Decision.Rent rent = new Decision.Rent(e.type(), e.zone(), e.spot(), 1);
        scheduler.rented("", List.of(name), rent, now);
      } else {
        scheduler.inherit(name, e.addr(), e.type(), e.zone(), e.spot(), now);
      }
    } catch (Json.Bad e) {
      LOG.error("note of machine {} cannot be read: {}", name, e.getMessage());
    }
  }

  /** A job whose live record was read. */
  void add(StoreClient.Row row) {
    add(row, false, new BitSet());
  }

  private void add(StoreClient.Row row, boolean opened, BitSet done) {
    try {
      add(Records.job(row.key(), row.data()), row.revision(), opened, done);
    } catch (Json.Bad | RuntimeException e) {
      LOG.error("record {} cannot be read: {}", row.key(), e.getMessage());
    }
  }

  /** A job that this node accepted, recorded at this revision. */
  void add(Records.JobRecord record, long revision) {
    add(record, revision, false, new BitSet());
  }

  private synchronized void add(
      Records.JobRecord record, long revision, boolean opened, BitSet done) {
    if (ledger.take(record.spec().id(), revision)) {
      long ago = Math.max(0, System.currentTimeMillis() - record.submittedMs());
      scheduler.addJob(record.spec(), opened, done, nowMs() - ago);
    }
  }

  /** Which jobs this term looks after, and what may be told of them. */
  JobLedger ledger() {
    return ledger;
  }

  /**
   * A live job as its user may be told of it; null if this term does not look after it, or its end
   * may be on record already.
   */
  synchronized Scheduler.JobView told(String id) {
    return ledger.mayBeOver(id) ? null : scheduler.view(id);
  }

  /** Whether this term looks after the job. */
  boolean keeps(String id) {
    return ledger.keeps(id);
  }

  /** A user's wish to cancel the job came at {@code arrivedMs}; nothing of it starts any more. */
  synchronized void cancelWanted(String id, long arrivedMs) {
    if (ledger.keeps(id)) { // it may have ended a moment ago
      cancellations.asked(id, arrivedMs);
      scheduler.cancelWanted(id);
    }
  }

  /** For the log: how long users wait for their cancellations; null if there are none. */
  synchronized String cancellationTimes() {
    return cancellations.line(nowMs());
  }

  synchronized void ended(String id, boolean cancelled) {
    ledger.ended(id);
    cancellations.ended(id, cancelled, nowMs());
    scheduler.ended(id, cancelled, nowMs());
    strike(id);
  }

  private void strike(String id) {
    notes.remove(Notes.Kind.OPENED, id, Constants.STRIKE_MS);
    for (String key : notes.keys(Notes.Kind.PROGRESS, id + "/")) {
      notes.remove(Notes.Kind.PROGRESS, key, Constants.STRIKE_MS);
    }
  }

  /** A name for a rental that no other node, and no other term, uses. */
  synchronized String rentalName() {
    return "as-" + token + "-" + ++rentals;
  }

  /** The steady clock in milliseconds. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
