package org.astershift.controller;

import java.io.IOException;
import java.util.Map;
import org.astershift.coordination.JobQuery;
import org.astershift.peer.PeerOperation;
import org.astershift.peer.PeerResponse;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;

/**
 * Accepts, reports and cancels jobs, on the leader and on followers, which know only what the store
 * and the leader report. Callable from any thread.
 */
public final class JobService {
  /**
   * Maximum wait of a submission for the store's rate limit, in milliseconds; a submission that
   * waits longer is answered with 503.
   */
  private static final long ACCEPT_RATE_WAIT_MS = 1000;

  private final ControllerRuntime runtime;
  private final StoreClient store;
  private final EndedJobCache endedJobs;
  private final JobCanceller canceller;
  private final RequestCoalescer<PeerResponse> leaderQueries;
  private final RequestCoalescer<PeerResponse> storeQueries;

  /** A channel to another controller. */
  public interface PeerChannel {
    /** Sends a request and returns the response; throws if none arrives within the timeout. */
    PeerResponse call(PeerOperation operation, String argument, int timeoutMs) throws IOException;
  }

  /** {@code peers} holds the channels to the other controllers by node name. */
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
   * The result of a submission: 201 if the job was accepted now, 200 if it had been accepted
   * before, each with the job's {@code state}; or 503 with null if the submission cannot be decided
   * now.
   */
  public record SubmissionResult(int status, PeerResponse state) {
    private static final SubmissionResult UNAVAILABLE = new SubmissionResult(503, null);
  }

  /** Accepts a job durably. Submissions are idempotent by job id. */
  public SubmissionResult submit(JobSpec spec) throws InterruptedException {
    RecordCodec.JobEnd end = endedJobs.get(spec.id());
    if (end != null) {
      return new SubmissionResult(200, JobLookup.toResponse(end));
    }
    if (store.isUnavailable()) {
      return SubmissionResult.UNAVAILABLE;
    }
    RecordCodec.JobRecord record = new RecordCodec.JobRecord(spec, System.currentTimeMillis());
    Outcome outcome =
        store.commit(
            buildAcceptTransaction(record), RateLimiter.Urgency.INTERACTIVE, ACCEPT_RATE_WAIT_MS);
    if (outcome instanceof Outcome.Committed committed) {
      return onAccepted(record, committed.revision());
    }
    if (outcome instanceof Outcome.Rejected) {
      return SubmissionResult.UNAVAILABLE;
    }
    PeerResponse known = poll(spec.id(), true);
    return known.isOk() ? new SubmissionResult(200, known) : SubmissionResult.UNAVAILABLE;
  }

  /** Returns a transaction that commits only if the id was never accepted. */
  private static StoreClient.Transaction buildAcceptTransaction(RecordCodec.JobRecord record) {
    String key = RecordCodec.LIVE_JOB_PREFIX + record.spec().id();
    return new StoreClient.Transaction()
        .requireRevision(key, 0)
        .requireRevision(RecordCodec.ENDED_JOB_PREFIX + record.spec().id(), 0)
        .put(key, RecordCodec.encodeJob(record));
  }

  private SubmissionResult onAccepted(RecordCodec.JobRecord record, long revision) {
    runtime.onJobAccepted(record, revision);
    RecordCodec.JobEnd end = endedJobs.get(record.spec().id());
    return end != null // the job was cancelled before the store's response arrived
        ? new SubmissionResult(200, JobLookup.toResponse(end))
        : new SubmissionResult(201, PeerResponse.ofAccepted());
  }

  /** Returns the state of a job, from the source that {@link JobQuery} selects. */
  public PeerResponse poll(String jobId, boolean mayForward) throws InterruptedException {
    RecordCodec.JobEnd end = endedJobs.get(jobId);
    LeaderTerm term = end == null ? runtime.currentTerm() : null;
    Scheduler.JobProgress progress = term == null ? null : term.progressIfCurrent(jobId);
    // The lease is checked after the progress was read: it was then certain during the read, too.
    boolean leaseCertain = progress != null && runtime.isLeaseCertain(term);
    JobQuery.View view =
        new JobQuery.View(end != null, term != null, progress != null, leaseCertain, mayForward);
    PeerResponse response =
        switch (JobQuery.selectSource(view)) {
          case KNOWN_END -> JobLookup.toResponse(end);
          case LEADER_MEMORY ->
              PeerResponse.ofLive(
                  progress.running(), progress.doneTasks(), progress.runningTasks());
          case REMOTE_LEADER -> leaderQueries.get(jobId);
          case STORE -> storeQueries.get(jobId);
        };
    return response == null ? PeerResponse.UNAVAILABLE : response;
  }

  /**
   * Cancels a job. The cancellation is confirmed only once it is durable and no task of the job can
   * outlive it.
   */
  public PeerResponse cancel(String jobId, boolean mayForward) throws InterruptedException {
    return canceller.cancel(jobId, mayForward);
  }

  /** Handles a request of another controller, without forwarding it to a third one. */
  public PeerResponse handlePeerRequest(PeerOperation operation, String argument)
      throws InterruptedException {
    return switch (operation) {
      case POLL_JOB -> poll(argument, false);
      case CANCEL_JOB -> cancel(argument, false);
      case STORE_STATUS -> runtime.connectivity().storeStatusResponse();
      case WORKER_REACHABILITY -> runtime.connectivity().workerReachabilityResponse();
      case ANNOUNCE_TRANSFER -> runtime.connectivity().onTransferAnnounced(argument);
      case PROBE_MACHINES -> runtime.prober().probeForPeer(argument);
      case UNKNOWN -> PeerResponse.UNAVAILABLE;
    };
  }
}
