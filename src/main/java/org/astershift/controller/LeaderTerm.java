package org.astershift.controller;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.coordination.CancellationLatency;
import org.astershift.coordination.TermJobs;
import org.astershift.http.Json;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One leader's time in office: its scheduler, its notes, and the jobs it looks after. */
final class LeaderTerm {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
  final long token;
  final long beganMs = nowMs();

  /** Used by one thread at a time: under the lock of this object. */
  final Scheduler scheduler;

  final LeaderRecords notes;
  final CompletionQueue ends = new CompletionQueue();
  private final Runnable stepDown;
  private volatile boolean over;
  private final TermJobs ledger;
  private final CancellationLatency cancellations = new CancellationLatency();
  private long rentals;

  /** {@code stepDown} is called when it is certain that another leads. */
  LeaderTerm(long token, Scheduler scheduler, LeaderRecords notes, Runnable stepDown) {
    this.token = token;
    this.scheduler = scheduler;
    this.notes = notes;
    this.ledger = new TermJobs(token);
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
  StoreClient.Transaction txn() {
    return new StoreClient.Transaction().when(RecordCodec.LEADER, token);
  }

  /** Whether the outcome shows that another leads, which ends the term. */
  boolean lostBy(StoreClient.Outcome o) {
    if (o instanceof StoreClient.Outcome.ConditionFailed c
        && c.keys().contains(RecordCodec.LEADER)) {
      lost();
      return true;
    }
    return false;
  }

  /** Takes in all that the mirror holds: machines first, they decide what may be placed. */
  synchronized void load(WatchCache mirror) {
    notes.load(mirror.below(RecordCodec.NOTES));
    long now = nowMs();
    notes
        .entries(LeaderRecords.RecordKind.MACHINE)
        .forEach((name, value) -> loadMachine(name, value, now));
    Map<String, Object> opened = notes.entries(LeaderRecords.RecordKind.OPENED);
    Map<String, BitSet> done = new HashMap<>();
    notes
        .entries(LeaderRecords.RecordKind.PROGRESS)
        .forEach(
            (key, value) -> {
              try {
                BitSet part = new BitSet();
                String job = RecordCodec.merge(part, key, value);
                done.computeIfAbsent(job, j -> new BitSet()).or(part);
              } catch (Json.JsonFormatException e) {
                LOG.error(e.getMessage());
              }
            });
    for (StoreClient.Entry row : mirror.below(RecordCodec.JOB)) {
      String id = row.key().substring(RecordCodec.JOB.length());
      add(row, opened.containsKey(id), done.getOrDefault(id, new BitSet()));
      scheduler.remembered(id, RecordCodec.openedOn(opened.get(id)));
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
      Decision.RegisterMachine e = RecordCodec.machine(name, value);
      if (e.fresh()) {
        Decision.ProvisionMachines rent =
            new Decision.ProvisionMachines(e.type(), e.zone(), e.spot(), 1);
        scheduler.rented("", List.of(name), rent, now);
      } else {
        scheduler.inherit(name, e.addr(), e.type(), e.zone(), e.spot(), now);
      }
    } catch (Json.JsonFormatException e) {
      LOG.error("note of machine {} cannot be read: {}", name, e.getMessage());
    }
  }

  /** A job whose live record was read. */
  void add(StoreClient.Entry row) {
    add(row, false, new BitSet());
  }

  private void add(StoreClient.Entry row, boolean opened, BitSet done) {
    try {
      add(RecordCodec.job(row.key(), row.data()), row.revision(), opened, done);
    } catch (Json.JsonFormatException | RuntimeException e) {
      LOG.error("record {} cannot be read: {}", row.key(), e.getMessage());
    }
  }

  /** A job that this node accepted, recorded at this revision. */
  void add(RecordCodec.JobRecord record, long revision) {
    add(record, revision, false, new BitSet());
  }

  private synchronized void add(
      RecordCodec.JobRecord record, long revision, boolean opened, BitSet done) {
    if (ledger.take(record.spec().id(), revision)) {
      long ago = Math.max(0, System.currentTimeMillis() - record.submittedMs());
      scheduler.addJob(record.spec(), opened, done, nowMs() - ago);
    }
  }

  /** Which jobs this term looks after, and what may be told of them. */
  TermJobs ledger() {
    return ledger;
  }

  /**
   * A live job as its user may be told of it; null if this term does not look after it, or its end
   * may be on record already.
   */
  synchronized Scheduler.JobProgress told(String id) {
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
    notes.remove(LeaderRecords.RecordKind.OPENED, id, Constants.STRIKE_MS);
    for (String key : notes.keys(LeaderRecords.RecordKind.PROGRESS, id + "/")) {
      notes.remove(LeaderRecords.RecordKind.PROGRESS, key, Constants.STRIKE_MS);
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
