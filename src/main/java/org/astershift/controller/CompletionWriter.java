package org.astershift.controller;

import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.astershift.http.Json;
import org.astershift.http.Threads;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Makes the ends of jobs durable before anybody is told of them. */
final class CompletionWriter {
  private static final Logger LOG = LoggerFactory.getLogger(CompletionWriter.class);

  /** Changes that the end of a job takes: its record goes from the live ones to the ended. */
  private static final int CHANGES_AN_END = 2;

  private final Settings.StoreLimits limits;
  private final StoreClient store;
  private final EndedJobCache ended;
  private final Runnable stir;

  /** {@code stir}: brings a pass of the scheduler about, since room may have become free. */
  CompletionWriter(
      Settings.StoreLimits limits, StoreClient store, EndedJobCache ended, Runnable stir) {
    this.limits = limits;
    this.store = store;
    this.ended = ended;
    this.stir = stir;
  }

  /** Writes the ends of completed jobs, as many in a transaction as it may have. */
  void loop(LeaderTerm t) throws InterruptedException {
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

  private void finish(LeaderTerm t, List<String> jobs) throws InterruptedException {
    Map<String, RecordCodec.Ended> ends = new LinkedHashMap<>();
    StoreClient.Transaction txn = t.txn();
    for (String id : jobs) {
      if (t.keeps(id)) {
        RecordCodec.Ended end = endOf(t, id, false);
        ends.put(id, end);
        write(txn, id, end);
        t.ledger().ending(id);
      }
    }
    if (ends.isEmpty()) {
      return;
    }
    Outcome o = store.commit(txn, RateLimiter.Urgency.URGENT, Constants.STORE_PATIENCE_MS);
    if (o instanceof Outcome.Committed) {
      ends.forEach((id, end) -> ended(t, id, end));
      stir.run();
    } else if (o instanceof Outcome.ConditionFailed && !t.lostBy(o)) {
      ends.keySet().forEach(t.ledger()::notEnded);
      // One of them was cancelled meanwhile, or an earlier try without an answer was applied.
      for (String id : ends.keySet()) {
        if (finish(t, id, false, Constants.STORE_PATIENCE_MS) == null) {
          failed(t, List.of(id));
        }
      }
    } else {
      if (o instanceof Outcome.Rejected) {
        ends.keySet().forEach(t.ledger()::notEnded);
      }
      failed(t, ends.keySet());
    }
  }

  private static void failed(LeaderTerm t, Collection<String> jobs) {
    if (!t.over()) {
      Threads.pause();
      synchronized (t) {
        for (String id : jobs) {
          t.scheduler.failed(new Decision.FinishJob(id));
        }
      }
    }
  }

  private static RecordCodec.Ended endOf(LeaderTerm t, String id, boolean cancelled) {
    Scheduler.JobProgress view;
    synchronized (t) {
      view = t.scheduler.view(id);
    }
    return new RecordCodec.Ended(cancelled, view == null ? 0 : view.done());
  }

  /**
   * Done and cancelled exclude each other, also for tries whose answer was lost: the first stays.
   */
  private static void write(StoreClient.Transaction txn, String id, RecordCodec.Ended end) {
    String key = RecordCodec.ENDED + id;
    txn.when(key, 0).put(key, RecordCodec.ended(end)).delete(RecordCodec.JOB + id);
  }

  private void ended(LeaderTerm t, String id, RecordCodec.Ended end) {
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
  void overOnRecord(LeaderTerm t, String id, RecordCodec.Ended end) {
    ended.put(id, end);
    if (t != null && t.keeps(id)) {
      ended(t, id, end);
      stir.run();
    }
  }

  /** Makes the job's end durable, before anyone is told; null if that is not certain yet. */
  RecordCodec.Ended finish(LeaderTerm t, String id, boolean cancelled, long patienceMs)
      throws InterruptedException {
    if (!t.keeps(id)) {
      return ended.get(id);
    }
    RecordCodec.Ended end = endOf(t, id, cancelled);
    StoreClient.Transaction txn = t.txn();
    write(txn, id, end);
    t.ledger().ending(id);
    Outcome o = store.commit(txn, RateLimiter.Urgency.URGENT, patienceMs);
    if (o instanceof Outcome.ConditionFailed || o instanceof Outcome.Rejected) {
      t.ledger().notEnded(id);
    }
    if (o instanceof Outcome.ConditionFailed && !t.lostBy(o)) {
      try {
        StoreClient.Entry row = store.get(RecordCodec.ENDED + id);
        if (row.data() == null) {
          return null;
        }
        end = RecordCodec.ended(row.data());
      } catch (IOException | Json.JsonFormatException e) {
        LOG.debug("end of {}: {}", id, e.toString());
        return null;
      }
    } else if (!(o instanceof Outcome.Committed)) {
      return null;
    }
    ended(t, id, end);
    stir.run();
    return end;
  }
}
