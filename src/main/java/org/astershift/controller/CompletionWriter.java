package org.astershift.controller;

import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Settings;
import org.astershift.http.JsonFormatException;
import org.astershift.http.Threads;
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
  private static final int CHANGES_PER_END = 2;

  private final Settings.StoreLimits limits;
  private final StoreClient store;
  private final EndedJobCache endedJobs;
  private final Runnable requestPass;

  /** {@code requestPass}: brings a pass of the scheduler about, since room may have become free. */
  CompletionWriter(
      Settings.StoreLimits limits,
      StoreClient store,
      EndedJobCache endedJobs,
      Runnable requestPass) {
    this.limits = limits;
    this.store = store;
    this.endedJobs = endedJobs;
    this.requestPass = requestPass;
  }

  /** Writes the ends of completed jobs, as many in a transaction as it may have. */
  void writeLoop(LeaderTerm term) throws InterruptedException {
    int maxJobs = Math.max(1, limits.txnOps() / CHANGES_PER_END);
    maxJobs = Math.min(maxJobs, LoopTiming.COMPLETION_BATCH_JOBS);
    while (true) {
      List<String> jobIds = term.completions.takeBatch(maxJobs);
      if (jobIds.isEmpty()) {
        return;
      }
      try {
        persistEnds(term, jobIds);
      } catch (RuntimeException | Error e) {
        LOG.error("ends could not be written", e);
        retryLater(term, jobIds);
      }
    }
  }

  private void persistEnds(LeaderTerm term, List<String> jobIds) throws InterruptedException {
    Map<String, RecordCodec.JobEnd> ends = new LinkedHashMap<>();
    StoreClient.Transaction txn = term.transaction();
    for (String jobId : jobIds) {
      if (term.manages(jobId)) {
        RecordCodec.JobEnd end = buildEnd(term, jobId, false);
        ends.put(jobId, end);
        addEndRecord(txn, jobId, end);
        term.termJobs().onEndWriteStarted(jobId);
      }
    }
    if (ends.isEmpty()) {
      return;
    }
    Outcome outcome =
        store.commit(txn, RateLimiter.Urgency.INTERACTIVE, StoreClient.STORE_RATE_WAIT_MS);
    if (outcome instanceof Outcome.Committed) {
      ends.forEach((jobId, end) -> onEndPersisted(term, jobId, end));
      requestPass.run();
    } else if (outcome instanceof Outcome.ConditionFailed && !term.checkLeadershipLost(outcome)) {
      ends.keySet().forEach(term.termJobs()::onEndWriteRejected);
      // One of them was cancelled meanwhile, or an earlier try without an answer was applied.
      for (String jobId : ends.keySet()) {
        if (persistEnd(term, jobId, false, StoreClient.STORE_RATE_WAIT_MS) == null) {
          retryLater(term, List.of(jobId));
        }
      }
    } else {
      if (outcome instanceof Outcome.Rejected) {
        ends.keySet().forEach(term.termJobs()::onEndWriteRejected);
      }
      retryLater(term, ends.keySet());
    }
  }

  private static void retryLater(LeaderTerm term, Collection<String> jobIds) {
    if (!term.ended()) {
      Threads.backOff();
      term.scheduler.onFinishFailed(jobIds);
    }
  }

  private static RecordCodec.JobEnd buildEnd(LeaderTerm term, String jobId, boolean cancelled) {
    Scheduler.JobProgress progress = term.scheduler.progress(jobId);
    return new RecordCodec.JobEnd(cancelled, progress == null ? 0 : progress.doneTasks());
  }

  /**
   * Done and cancelled exclude each other, also for tries whose answer was lost: the first stays.
   */
  private static void addEndRecord(
      StoreClient.Transaction txn, String jobId, RecordCodec.JobEnd end) {
    String key = RecordCodec.ENDED + jobId;
    txn.when(key, 0).put(key, RecordCodec.encodeEnd(end)).delete(RecordCodec.JOB + jobId);
  }

  private void onEndPersisted(LeaderTerm term, String jobId, RecordCodec.JobEnd end) {
    endedJobs.put(jobId, end);
    term.onJobEnded(jobId, end.cancelled());
    LOG.debug("job {} is {}", jobId, end.cancelled() ? "cancelled" : "done");
  }

  /**
   * The end of a job was read. Where this leader wrote it, got no answer and was asked no more, its
   * term would keep the job, its records and its place among the team's for ever.
   *
   * @param term the present term, or null
   */
  void onEndRead(LeaderTerm term, String jobId, RecordCodec.JobEnd end) {
    endedJobs.put(jobId, end);
    if (term != null && term.manages(jobId)) {
      onEndPersisted(term, jobId, end);
      requestPass.run();
    }
  }

  /** Makes the job's end durable, before anyone is told; null if that is not certain yet. */
  RecordCodec.JobEnd persistEnd(LeaderTerm term, String jobId, boolean cancelled, long timeoutMs)
      throws InterruptedException {
    if (!term.manages(jobId)) {
      return endedJobs.get(jobId);
    }
    RecordCodec.JobEnd end = buildEnd(term, jobId, cancelled);
    StoreClient.Transaction txn = term.transaction();
    addEndRecord(txn, jobId, end);
    term.termJobs().onEndWriteStarted(jobId);
    Outcome outcome = store.commit(txn, RateLimiter.Urgency.INTERACTIVE, timeoutMs);
    if (outcome instanceof Outcome.ConditionFailed || outcome instanceof Outcome.Rejected) {
      term.termJobs().onEndWriteRejected(jobId);
    }
    if (outcome instanceof Outcome.ConditionFailed && !term.checkLeadershipLost(outcome)) {
      try {
        StoreClient.Entry entry = store.get(RecordCodec.ENDED + jobId);
        if (entry.data() == null) {
          return null;
        }
        end = RecordCodec.decodeEnd(entry.data());
      } catch (IOException | JsonFormatException e) {
        LOG.debug("end of {}: {}", jobId, e.toString());
        return null;
      }
    } else if (!(outcome instanceof Outcome.Committed)) {
      return null;
    }
    onEndPersisted(term, jobId, end);
    requestPass.run();
    return end;
  }
}
