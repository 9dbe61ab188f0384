package org.astershift.leader;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.Constants;
import org.astershift.core.Decision;
import org.astershift.core.Scheduler;
import org.astershift.http.Json;
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
  private final Set<String> jobs = new HashSet<>();
  private long rentals;

  /**
   * Jobs that ended in this term, the oldest first. What was read of a job before its end may
   * arrive after it, from another thread: taken in again, the job's tasks would start once more.
   */
  private final Set<String> endedHere = new LinkedHashSet<>();

  /**
   * Jobs whose end may be durable though this leader does not know it yet, by the tries under way
   * or without an answer. Nothing older may be told of them from memory: another node that reads
   * the state service tells that they are over, and on a node short of processor time seconds pass
   * between the write and the news of it (a user was told done, then queued).
   */
  private final Map<String, Integer> ending = new HashMap<>();

  /** {@code stepDown} is called when it is certain that another leads. */
  Term(long token, Scheduler scheduler, Notes notes, Runnable stepDown) {
    this.token = token;
    this.scheduler = scheduler;
    this.notes = notes;
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
    // Left by a leader that ended between a job's end and the striking of its notes.
    for (String id : opened.keySet()) {
      forget(id);
    }
    for (String id : done.keySet()) {
      forget(id);
    }
  }

  private void forget(String id) {
    if (!jobs.contains(id)) {
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

  /** A job accepted in this term. */
  void add(StoreClient.Row row) {
    add(row, false, new BitSet());
  }

  private void add(StoreClient.Row row, boolean opened, BitSet done) {
    try {
      add(Records.job(row.key(), row.data()), opened, done);
    } catch (Json.Bad | RuntimeException e) {
      LOG.error("record {} cannot be read: {}", row.key(), e.getMessage());
    }
  }

  void add(Records.JobRecord record) {
    add(record, false, new BitSet());
  }

  private synchronized void add(Records.JobRecord record, boolean opened, BitSet done) {
    String id = record.spec().id();
    if (!endedHere.contains(id) && jobs.add(id)) {
      long ago = Math.max(0, System.currentTimeMillis() - record.submittedMs());
      scheduler.addJob(record.spec(), opened, done, nowMs() - ago);
    }
  }

  /** A write of the job's end is about to go out. */
  synchronized void ending(String id) {
    ending.merge(id, 1, Integer::sum);
  }

  /** Such a write was certainly not applied, nor will be. */
  synchronized void notEnded(String id) {
    ending.computeIfPresent(id, (i, tries) -> tries > 1 ? tries - 1 : null);
  }

  /**
   * A live job as its user may be told of it; null if this term does not look after it, or its end
   * may be on record already.
   */
  synchronized Scheduler.JobView told(String id) {
    return ending.containsKey(id) ? null : scheduler.view(id);
  }

  /** Whether this term looks after the job. */
  synchronized boolean keeps(String id) {
    return jobs.contains(id);
  }

  synchronized void ended(String id, boolean cancelled) {
    jobs.remove(id);
    endedHere.add(id);
    if (endedHere.size() > Constants.ENDED_IN_TERM) {
      endedHere.remove(endedHere.iterator().next());
    }
    scheduler.ended(id, cancelled, nowMs());
    ending.remove(id);
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
