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

/** Makes the ends of jobs durable before any user sees them. Callable from any thread. */
final class CompletionWriter {
  private static final Logger LOG = LoggerFactory.getLogger(CompletionWriter.class);

  /** Changes for one job end in a transaction: its end is written and its live record deleted. */
  private static final int CHANGES_PER_END = 2;

  private final Settings.StoreLimits limits;
  private final StoreClient store;
  private final EndedJobCache endedJobs;
  private final Runnable requestPass;

  /** {@code requestPass} requests a scheduling pass, since a job end may free capacity. */
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

  /** Writes the ends of completed jobs in batches until the term ends. */
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
        LOG.error("writing job ends failed; will retry: token={}", term.token, e);
        retryLater(term, jobIds);
      }
    }
  }

  private void persistEnds(LeaderTerm term, List<String> jobIds) throws InterruptedException {
    Map<String, RecordCodec.JobEnd> ends = new LinkedHashMap<>();
    StoreClient.Transaction txn = term.newFencedTransaction();
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
    if (outcome instanceof Outcome.Committed committed) {
      term.scheduler.onLeadershipConfirmed(committed.revision());
      ends.forEach((jobId, end) -> onEndPersisted(term, jobId, end));
      requestPass.run();
    } else if (outcome instanceof Outcome.ConditionFailed
        && !term.stepDownIfLeadershipLost(outcome)) {
      ends.keySet().forEach(term.termJobs()::onEndWriteRejected);
      persistIndividually(term, ends.keySet());
    } else {
      if (outcome instanceof Outcome.Rejected) {
        ends.keySet().forEach(term.termJobs()::onEndWriteRejected);
      }
      retryLater(term, ends.keySet());
    }
  }

  /**
   * Writes the ends one by one after their transaction failed its conditions: one of the jobs was
   * cancelled meanwhile, or an earlier attempt that got no response was applied.
   */
  private void persistIndividually(LeaderTerm term, Collection<String> jobIds)
      throws InterruptedException {
    for (String jobId : jobIds) {
      if (persistEnd(term, jobId, false, StoreClient.STORE_RATE_WAIT_MS) == null) {
        retryLater(term, List.of(jobId));
      }
    }
  }

  private static void retryLater(LeaderTerm term, Collection<String> jobIds) {
    if (!term.hasEnded()) {
      Threads.backOff();
      term.scheduler.onFinishFailed(jobIds);
    }
  }

  private static RecordCodec.JobEnd buildEnd(LeaderTerm term, String jobId, boolean cancelled) {
    Scheduler.JobProgress progress = term.scheduler.progress(jobId);
    return new RecordCodec.JobEnd(cancelled, progress == null ? 0 : progress.doneTasks());
  }

  /**
   * Adds the changes that record a job's end. A job ends either done or cancelled, even if the
   * responses to earlier attempts were lost: the first end that is applied stays.
   */
  private static void addEndRecord(
      StoreClient.Transaction txn, String jobId, RecordCodec.JobEnd end) {
    String key = RecordCodec.ENDED_JOB_PREFIX + jobId;
    txn.requireRevision(key, 0)
        .put(key, RecordCodec.encodeJobEnd(end))
        .delete(RecordCodec.LIVE_JOB_PREFIX + jobId);
  }

  private void onEndPersisted(LeaderTerm term, String jobId, RecordCodec.JobEnd end) {
    endedJobs.put(jobId, end);
    term.onJobEnded(jobId, end.cancelled());
    LOG.debug("job ended: job={} cancelled={}", jobId, end.cancelled());
  }

  /**
   * Handles the end of a job that was read from the store. If this leader had written that end
   * without getting a response, the term would otherwise keep the job, its records and its share of
   * the team's quota.
   *
   * @param term the current term, or null
   */
  void onEndRead(LeaderTerm term, String jobId, RecordCodec.JobEnd end) {
    endedJobs.put(jobId, end);
    if (term != null && term.manages(jobId)) {
      onEndPersisted(term, jobId, end);
      requestPass.run();
    }
  }

  /**
   * Makes a job's end durable and returns the recorded end; null if its durability is uncertain.
   * The write waits for the store's rate limit for at most {@code timeoutMs}.
   */
  RecordCodec.JobEnd persistEnd(LeaderTerm term, String jobId, boolean cancelled, long timeoutMs)
      throws InterruptedException {
    if (!term.manages(jobId)) {
      return endedJobs.get(jobId);
    }
    RecordCodec.JobEnd end = buildEnd(term, jobId, cancelled);
    StoreClient.Transaction txn = term.newFencedTransaction();
    addEndRecord(txn, jobId, end);
    term.termJobs().onEndWriteStarted(jobId);
    Outcome outcome = store.commit(txn, RateLimiter.Urgency.INTERACTIVE, timeoutMs);
    if (outcome instanceof Outcome.ConditionFailed || outcome instanceof Outcome.Rejected) {
      term.termJobs().onEndWriteRejected(jobId);
    }
    if (outcome instanceof Outcome.ConditionFailed && !term.stepDownIfLeadershipLost(outcome)) {
      end = readEnd(jobId);
    } else if (outcome instanceof Outcome.Committed committed) {
      term.scheduler.onLeadershipConfirmed(committed.revision());
    } else {
      end = null;
    }
    if (end != null) {
      onEndPersisted(term, jobId, end);
      requestPass.run();
    }
    return end;
  }

  /** Returns the job's recorded end; null if there is none or it cannot be read. */
  private RecordCodec.JobEnd readEnd(String jobId) {
    try {
      StoreClient.Entry entry = store.get(RecordCodec.ENDED_JOB_PREFIX + jobId);
      return entry.data() == null ? null : RecordCodec.decodeJobEnd(entry.data());
    } catch (IOException | JsonFormatException e) {
      LOG.debug("reading job end failed: job={}: {}", jobId, e.toString());
      return null;
    }
  }
}
