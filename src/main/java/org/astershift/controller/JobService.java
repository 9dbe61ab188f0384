package org.astershift.controller;

import java.io.IOException;
import java.util.Map;
import org.astershift.coordination.JobQuery;
import org.astershift.peer.JobAnswer;
import org.astershift.peer.PeerOperation;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;

/**
 * Accepts, reports and cancels jobs, on the leader and on any other controller, which knows only
 * what the store and the leader say. Callable from any thread.
 */
public final class JobService {
  /** Milliseconds that an acceptance may wait for the store's rate limit; then it is a 503. */
  private static final long ACCEPT_RATE_WAIT_MS = 1000;

  private final ControllerRuntime runtime;
  private final StoreClient store;
  private final EndedJobCache endedJobs;
  private final JobCanceller canceller;
  private final RequestCoalescer<JobAnswer> leaderQueries;
  private final RequestCoalescer<JobAnswer> storeQueries;

  /** A channel to another controller. */
  public interface PeerChannel {
    /** Throws if no answer came in time. */
    JobAnswer call(PeerOperation operation, String argument, int timeoutMs) throws IOException;
  }

  /** {@code peers}: channels to the other controllers, by node name. */
  public JobService(ControllerRuntime runtime, StoreClient store, Map<String, PeerChannel> peers) {
    this.runtime = runtime;
    this.store = store;
    this.endedJobs = runtime.endedJobs();
    JobLookup lookup = new JobLookup(runtime, store, peers);
    this.canceller = new JobCanceller(runtime, lookup);
    this.leaderQueries = new RequestCoalescer<>(lookup::queryLeaderOrStore);
    this.storeQueries = new RequestCoalescer<>(lookup::queryStore);
  }

  /**
   * The outcome of a submission: 201 accepted, 200 with the {@code known} state of a job submitted
   * before, or 503 with null while it is not decided.
   */
  public record SubmissionResult(int status, JobAnswer known) {
    private static final SubmissionResult UNDECIDED = new SubmissionResult(503, null);
  }

  /** Accepts a job durably; repeated submissions of one id are idempotent. */
  public SubmissionResult submit(JobSpec spec) throws InterruptedException {
    RecordCodec.JobEnd end = endedJobs.get(spec.id());
    if (end != null) {
      return new SubmissionResult(200, JobLookup.toAnswer(end));
    }
    if (store.unavailable()) {
      return SubmissionResult.UNDECIDED;
    }
    RecordCodec.JobRecord record = new RecordCodec.JobRecord(spec, System.currentTimeMillis());
    Outcome outcome =
        store.commit(
            buildAcceptTransaction(record), RateLimiter.Urgency.INTERACTIVE, ACCEPT_RATE_WAIT_MS);
    if (outcome instanceof Outcome.Committed committed) {
      return onAccepted(record, committed.revision());
    }
    if (outcome instanceof Outcome.Rejected) {
      return SubmissionResult.UNDECIDED;
    }
    JobAnswer known = poll(spec.id(), true);
    return known.found() ? new SubmissionResult(200, known) : SubmissionResult.UNDECIDED;
  }

  /** Commits only if the id was never accepted. */
  private static StoreClient.Transaction buildAcceptTransaction(RecordCodec.JobRecord record) {
    String key = RecordCodec.JOB + record.spec().id();
    return new StoreClient.Transaction()
        .when(key, 0)
        .when(RecordCodec.ENDED + record.spec().id(), 0)
        .put(key, RecordCodec.encodeJob(record));
  }

  private SubmissionResult onAccepted(RecordCodec.JobRecord record, long revision) {
    runtime.onJobAccepted(record, revision);
    RecordCodec.JobEnd end = endedJobs.get(record.spec().id());
    return end != null // the store's answer was slow, and the job's user cancelled it meanwhile
        ? new SubmissionResult(200, JobLookup.toAnswer(end))
        : new SubmissionResult(201, JobAnswer.ofAccepted());
  }

  /** The state of a job, from the source that {@link JobQuery} allows. */
  public JobAnswer poll(String jobId, boolean mayForward) throws InterruptedException {
    RecordCodec.JobEnd end = endedJobs.get(jobId);
    LeaderTerm term = end == null ? runtime.currentTerm() : null;
    Scheduler.JobProgress progress = term == null ? null : term.progressIfCurrent(jobId);
    // Checked after the progress was read: the lease was certain then, too.
    boolean leaseCertain = progress != null && runtime.isLeaseCertain(term);
    JobQuery.View view =
        new JobQuery.View(end != null, term != null, progress != null, leaseCertain, mayForward);
    JobAnswer answer =
        switch (JobQuery.source(view)) {
          case KNOWN_END -> JobLookup.toAnswer(end);
          case LEADER_MEMORY ->
              JobAnswer.ofLive(progress.running(), progress.doneTasks(), progress.runningTasks());
          case REMOTE_LEADER -> leaderQueries.get(jobId);
          case STORE -> storeQueries.get(jobId);
        };
    return answer == null ? JobAnswer.UNDECIDED : answer;
  }

  /** Cancels a job; confirmed only once that is durable and no task can outlive it. */
  public JobAnswer cancel(String jobId, boolean mayForward) throws InterruptedException {
    return canceller.cancel(jobId, mayForward);
  }

  /** Answers another controller, never by asking a third one. */
  public JobAnswer answerPeer(PeerOperation operation, String argument)
      throws InterruptedException {
    return switch (operation) {
      case POLL_JOB -> poll(argument, false);
      case CANCEL_JOB -> cancel(argument, false);
      case STORE_STATUS -> runtime.connectivity().answerStoreStatus();
      case WORKER_REACHABILITY -> runtime.connectivity().answerWorkerReachability();
      case ANNOUNCE_TRANSFER -> runtime.connectivity().onTransferAnnounced(argument);
      case PROBE_MACHINES -> runtime.prober().probeForPeer(argument);
      case UNKNOWN -> JobAnswer.UNDECIDED;
    };
  }
}
