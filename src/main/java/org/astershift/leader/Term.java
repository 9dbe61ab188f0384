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

/** One leader's time in office: its scheduler, and the revisions its records are at. */
final class Term {
  private static final Logger LOG = LoggerFactory.getLogger(Term.class);
  final long token;

  /** Used by one thread at a time: under the lock of this object. */
  final Scheduler scheduler;

  volatile boolean over;
  private final Map<String, Kept> kept = new HashMap<>();
  private long rentals;

  /**
   * Jobs that ended in this term, the oldest first. What was read of a job before its end may arrive
   * after it, from another thread: taken in again, the job's tasks would start once more.
   */
  private final Set<String> endedHere = new LinkedHashSet<>();

  /** A job's record and where it stands. */
  static final class Kept {
    final Records.JobRecord record;
    long revision;
    final Set<Integer> segments = new HashSet<>();

    Kept(Records.JobRecord record, long revision) {
      this.record = record;
      this.revision = revision;
    }
  }

  Term(long token, Scheduler scheduler) {
    this.token = token;
    this.scheduler = scheduler;
  }

  /** Takes in all that the mirror holds: machines first, since they decide what may be placed. */
  synchronized void load(Mirror mirror) {
    long now = nowMs();
    for (StoreClient.Row row : mirror.below(Records.MACHINE)) {
      try {
        var e = Records.machine(row.key(), row.data());
        if (e.fresh()) {
          Decision.Rent rent = new Decision.Rent(e.type(), e.zone(), e.spot(), 1);
          scheduler.rented("", List.of(e.machine()), rent, true, now);
        } else {
          scheduler.inherit(e.machine(), e.addr(), e.type(), e.zone(), e.spot(), now);
        }
      } catch (Json.Bad e) {
        LOG.error("record {} cannot be read: {}", row.key(), e.getMessage());
      }
    }
    Map<String, BitSet> done = new HashMap<>();
    Map<String, Set<Integer>> segments = new HashMap<>();
    for (StoreClient.Row row : mirror.below(Records.PROGRESS)) {
      String rest = row.key().substring(Records.PROGRESS.length());
      int slash = rest.lastIndexOf('/');
      try {
        String job = rest.substring(0, slash);
        int segment = Integer.parseInt(rest.substring(slash + 1));
        Records.merge(done.computeIfAbsent(job, j -> new BitSet()), segment, row.data());
        segments.computeIfAbsent(job, j -> new HashSet<>()).add(segment);
      } catch (Json.Bad | RuntimeException e) {
        LOG.error("record {} cannot be read: {}", row.key(), e.getMessage());
      }
    }
    for (StoreClient.Row row : mirror.below(Records.JOB)) {
      String id = row.key().substring(Records.JOB.length());
      add(row, done.getOrDefault(id, new BitSet()));
      if (kept.containsKey(id)) {
        kept.get(id).segments.addAll(segments.getOrDefault(id, Set.of()));
      }
    }
  }

  synchronized void add(StoreClient.Row row, BitSet done) {
    try {
      add(Records.job(row.key(), row.data()), row.revision(), done);
    } catch (Json.Bad | RuntimeException e) {
      LOG.error("record {} cannot be read: {}", row.key(), e.getMessage());
    }
  }

  synchronized void add(Records.JobRecord record, long revision, BitSet done) {
    String id = record.spec().id();
    if (kept.containsKey(id) || endedHere.contains(id)) {
      return;
    }
    kept.put(id, new Kept(record, revision));
    long ago = Math.max(0, System.currentTimeMillis() - record.submittedMs());
    scheduler.addJob(record.spec(), record.opened(), done, nowMs() - ago);
  }

  synchronized Kept kept(String id) {
    return kept.get(id);
  }

  synchronized void ended(String id, boolean cancelled) {
    kept.remove(id);
    endedHere.add(id);
    if (endedHere.size() > Constants.ENDED_IN_TERM) {
      endedHere.remove(endedHere.iterator().next());
    }
    scheduler.ended(id, cancelled, nowMs());
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
