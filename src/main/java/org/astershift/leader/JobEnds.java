package org.astershift.leader;

import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.astershift.core.Decision;
import org.astershift.core.Scheduler;
import org.astershift.http.Json;
import org.astershift.http.Threads;
import org.astershift.store.RateBudget;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Makes the ends of jobs durable before anybody is told of them. */
final class JobEnds {
  private static final Logger LOG = LoggerFactory.getLogger(JobEnds.class);

  /** Changes that the end of a job takes: its record goes from the live ones to the ended. */
  private static final int CHANGES_AN_END = 2;

  private final Settings.StoreLimits limits;
  private final StoreClient store;
  private final EndedJobs ended;
  private final Runnable stir;

  /** {@code stir}: brings a pass of the scheduler about, since room may have become free. */
  JobEnds(Settings.StoreLimits limits, StoreClient store, EndedJobs ended, Runnable stir) {
    this.limits = limits;
    this.store = store;
    this.ended = ended;
    this.stir = stir;
  }

  /** Writes the ends of completed jobs, as many in a transaction as it may have. */
  void loop(Term t) throws InterruptedException {
    int most = Math.max(1, limits.txnOps() / CHANGES_AN_END);
    most = Math.min(most, Constants.ENDS_AT_ONCE);
    while (true) {
      List<String> jobs = t.ends.next(most);
      if (jobs.isEmpty()) {
        return;
      }
      try {
        finish(t, jobs);
      } catch (RuntimeException | Error e) {
        LOG.error("ends could not be written", e);
        failed(t, jobs);
      }
    }
  }

  private void finish(Term t, List<String> jobs) throws InterruptedException {
    Map<String, Records.Ended> ends = new LinkedHashMap<>();
    StoreClient.Txn txn = t.txn();
    for (String id : jobs) {
      if (t.keeps(id)) {
        Records.Ended end = endOf(t, id, false);
        ends.put(id, end);
        write(txn, id, end);
        t.ledger().ending(id);
      }
    }
    if (ends.isEmpty()) {
      return;
    }
    Outcome o = store.commit(txn, RateBudget.Use.URGENT, Constants.STORE_PATIENCE_MS);
    if (o instanceof Outcome.Applied) {
      ends.forEach((id, end) -> ended(t, id, end));
      stir.run();
    } else if (o instanceof Outcome.Conflict && !t.lostBy(o)) {
      ends.keySet().forEach(t.ledger()::notEnded);
      // One of them was cancelled meanwhile, or an earlier try without an answer was applied.
      for (String id : ends.keySet()) {
        if (finish(t, id, false, Constants.STORE_PATIENCE_MS) == null) {
          failed(t, List.of(id));
        }
      }
    } else {
      if (o instanceof Outcome.Refused) {
        ends.keySet().forEach(t.ledger()::notEnded);
      }
      failed(t, ends.keySet());
    }
  }

  private static void failed(Term t, Collection<String> jobs) {
    if (!t.over()) {
      Threads.pause();
      synchronized (t) {
        for (String id : jobs) {
          t.scheduler.failed(new Decision.FinishJob(id));
        }
      }
    }
  }

  private static Records.Ended endOf(Term t, String id, boolean cancelled) {
    Scheduler.JobView view;
    synchronized (t) {
      view = t.scheduler.view(id);
    }
    return new Records.Ended(cancelled, view == null ? 0 : view.done());
  }

  /**
   * Done and cancelled exclude each other, also for tries whose answer was lost: the first stays.
   */
  private static void write(StoreClient.Txn txn, String id, Records.Ended end) {
    String key = Records.ENDED + id;
    txn.when(key, 0).put(key, Records.ended(end)).delete(Records.JOB + id);
  }

  private void ended(Term t, String id, Records.Ended end) {
    ended.put(id, end);
    t.ended(id, end.cancelled());
    LOG.debug("job {} is {}", id, end.cancelled() ? "cancelled" : "done");
  }

  /**
   * The end of a job was read. Where this leader wrote it, got no answer and was asked no more, its
   * term would keep the job, its records and its place among the team's for ever.
   *
   * @param t the present term, or null
   */
  void overOnRecord(Term t, String id, Records.Ended end) {
    ended.put(id, end);
    if (t != null && t.keeps(id)) {
      ended(t, id, end);
      stir.run();
    }
  }

  /** Makes the job's end durable, before anyone is told; null if that is not certain yet. */
  Records.Ended finish(Term t, String id, boolean cancelled, long patienceMs)
      throws InterruptedException {
    if (!t.keeps(id)) {
      return ended.get(id);
    }
    Records.Ended end = endOf(t, id, cancelled);
    StoreClient.Txn txn = t.txn();
    write(txn, id, end);
    t.ledger().ending(id);
    Outcome o = store.commit(txn, RateBudget.Use.URGENT, patienceMs);
    if (o instanceof Outcome.Conflict || o instanceof Outcome.Refused) {
      t.ledger().notEnded(id);
    }
    if (o instanceof Outcome.Conflict && !t.lostBy(o)) {
      try {
        StoreClient.Row row = store.get(Records.ENDED + id);
        if (row.data() == null) {
          return null;
        }
        end = Records.ended(row.data());
      } catch (IOException | Json.Bad e) {
        LOG.debug("end of {}: {}", id, e.toString());
        return null;
      }
    } else if (!(o instanceof Outcome.Applied)) {
      return null;
    }
    ended(t, id, end);
    stir.run();
    return end;
  }
}
