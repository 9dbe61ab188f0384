package org.astershift.controller;

import java.io.IOException;
import java.util.Map;
import org.astershift.coordination.Cancellation;
import org.astershift.coordination.JobQuery;
import org.astershift.http.JsonFormatException;
import org.astershift.peer.JobAnswer;
import org.astershift.peer.PeerClient;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RateLimiter;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.StoreClient.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts, answers for and cancels jobs, on whatever node. A node that does not lead knows only
 * what the store and the leader say.
 */
public final class JobService {
  private static final Logger LOG = LoggerFactory.getLogger(JobService.class);

  /** How long an acceptance may wait for its share of the limits, milliseconds; then it is 503. */
  private static final long ACCEPT_RATE_WAIT_MS = 1000;

  private final ControllerRuntime runtime;
  private final StoreClient store;
  private final EndedJobCache endedJobs;
  private final Map<String, PeerChannel> peers;
  private final RequestCoalescer<JobAnswer> leaderQueries =
      new RequestCoalescer<>(this::queryLeader);
  private final RequestCoalescer<JobAnswer> storeQueries = new RequestCoalescer<>(this::queryStore);

  /** A way to another node. */
  public interface PeerChannel {
    JobAnswer call(String operation, String argument, int timeoutMs) throws IOException;
  }

  /** {@code peers}: the other controllers, by name. */
  public JobService(ControllerRuntime runtime, StoreClient store, Map<String, PeerChannel> peers) {
    this.runtime = runtime;
    this.store = store;
    this.endedJobs = runtime.endedJobs();
    this.peers = peers;
  }

  /** What became of a submission. */
  public record SubmissionResult(int status, JobAnswer known) {}

  /** Accepts a job durably, on whatever node. */
  public SubmissionResult submit(JobSpec spec) throws InterruptedException {
    RecordCodec.JobEnd end = endedJobs.get(spec.id());
    if (end != null) {
      return new SubmissionResult(200, toAnswer(end));
    }
    if (store.unavailable()) {
      return new SubmissionResult(503, null);
    }
    String key = RecordCodec.JOB + spec.id();
    RecordCodec.JobRecord record = new RecordCodec.JobRecord(spec, System.currentTimeMillis());
    StoreClient.Transaction txn =
        new StoreClient.Transaction()
            .when(key, 0)
            .when(RecordCodec.ENDED + spec.id(), 0)
            .put(key, RecordCodec.encodeJob(record));
    Outcome outcome = store.commit(txn, RateLimiter.Urgency.INTERACTIVE, ACCEPT_RATE_WAIT_MS);
    if (outcome instanceof Outcome.Committed committed) {
      runtime.onJobAccepted(record, committed.revision());
      end = endedJobs.get(spec.id());
      if (end != null) {
        return new SubmissionResult(
            200, toAnswer(end)); // the answer was slow, and its user was quicker
      }
      return new SubmissionResult(201, new JobAnswer(200, "queued", 0, 0));
    }
    if (outcome instanceof Outcome.Rejected) {
      return new SubmissionResult(503, null);
    }
    JobAnswer known = poll(spec.id(), true);
    return known.status() == 200
        ? new SubmissionResult(200, known)
        : new SubmissionResult(503, null);
  }

  private static JobAnswer toAnswer(RecordCodec.JobEnd end) {
    return new JobAnswer(200, end.cancelled() ? "withdrawn" : "done", end.done(), 0);
  }

  /** The state of a job, from where {@link JobQuery} lets it come. */
  public JobAnswer poll(String jobId, boolean mayForward) throws InterruptedException {
    RecordCodec.JobEnd end = endedJobs.get(jobId);
    LeaderTerm term = end == null ? runtime.currentTerm() : null;
    Scheduler.JobProgress progress = term == null ? null : term.progressIfCurrent(jobId);
    boolean leaseCertain =
        progress != null && runtime.leaseCertain(term); // by now, so it was when that was looked at
    JobQuery.View view =
        new JobQuery.View(end != null, term != null, progress != null, leaseCertain, mayForward);
    JobAnswer answer =
        switch (JobQuery.source(view)) {
          case KNOWN_END -> toAnswer(end);
          case LEADER_MEMORY ->
              new JobAnswer(
                  200,
                  progress.running() ? "running" : "queued",
                  progress.doneTasks(),
                  progress.runningTasks());
          case REMOTE_LEADER -> leaderQueries.get(jobId);
          case STORE -> storeQueries.get(jobId);
        };
    return answer == null ? JobAnswer.UNDECIDED : answer;
  }

  /** What the leader says, or else the store. */
  private JobAnswer queryLeader(String jobId) {
    JobAnswer answer = callLeader("poll", jobId);
    if (answer.status() == 503) {
      return queryStore(jobId);
    }
    cacheEnd(jobId, answer);
    return answer;
  }

  /** Never older than the call: the live record first, since an ended job has lost it before. */
  private JobAnswer queryStore(String jobId) {
    if (store.unavailable()) {
      return JobAnswer.UNDECIDED; // at once: nobody waits for the deadline of a read
    }
    try {
      StoreClient.Entry liveEntry = store.get(RecordCodec.JOB + jobId);
      if (liveEntry.data() != null) {
        runtime.onJobRecord(liveEntry);
        return new JobAnswer(200, "queued", 0, 0);
      }
      StoreClient.Entry endedEntry = store.get(RecordCodec.ENDED + jobId);
      if (endedEntry.data() == null) {
        return JobAnswer.UNKNOWN;
      }
      RecordCodec.JobEnd end = RecordCodec.decodeEnd(endedEntry.data());
      runtime.onEndRead(jobId, end);
      return toAnswer(end);
    } catch (IOException | JsonFormatException e) {
      LOG.debug("reading {}: {}", jobId, e.toString());
      return JobAnswer.UNDECIDED;
    }
  }

  /** Cancels; answered only when it is durable and can be kept. */
  public JobAnswer cancel(String jobId, boolean mayForward) throws InterruptedException {
    LeaderTerm term = runtime.currentTerm();
    long arrivedMs = LeaderTerm.nowMs();
    long deadlineMs = arrivedMs + LoopTiming.CANCEL_WAIT_MS;
    boolean cancelRequested = false;
    JobAnswer storeAnswer = null;
    while (true) {
      Cancellation.Action action =
          Cancellation.next(
              cancellationView(
                  jobId, term, mayForward, storeAnswer != null, LeaderTerm.nowMs() >= deadlineMs));
      if (action.needsTerm() && !cancelRequested) {
        cancelRequested = true; // nothing of it starts from here on, however long the write takes
        term.requestCancel(jobId, arrivedMs);
        runtime.requestPass();
      }
      RecordCodec.JobEnd end = null;
      switch (action) {
        case REPLY_WITH_END -> end = endedJobs.get(jobId);
        case FORWARD -> {
          JobAnswer answer = callLeader("cancel", jobId);
          cacheEnd(jobId, answer);
          return answer;
        }
        case READ_STORE -> {
          storeAnswer = queryStore(jobId);
          if (storeAnswer.status() != 200) {
            return storeAnswer;
          }
        }
        case WRITE_CANCELLED ->
            end = runtime.persistEnd(term, jobId, true, remainingMs(deadlineMs));
        case WRITE_DONE -> end = runtime.persistEnd(term, jobId, false, remainingMs(deadlineMs));
        case WAIT -> {}
        default -> {
          return JobAnswer.UNDECIDED;
        }
      }
      if (end != null) {
        return toAnswer(end);
      }
      if (action.needsTerm()) {
        Thread.sleep(LoopTiming.CANCEL_POLL_INTERVAL_MS);
      }
    }
  }

  private static long remainingMs(long deadlineMs) {
    return Math.max(1, deadlineMs - LeaderTerm.nowMs());
  }

  private Cancellation.View cancellationView(
      String jobId,
      LeaderTerm term,
      boolean mayForward,
      boolean storeRead,
      boolean deadlinePassed) {
    boolean ended = endedJobs.get(jobId) != null;
    boolean managed = term != null && term.manages(jobId);
    LeaderTerm.CancellationState state =
        !ended && managed
            ? term.cancellationState(jobId)
            : LeaderTerm.CancellationState.NOT_MANAGED;
    return new Cancellation.View(
        ended,
        mayForward,
        term != null,
        term != null && !term.ended() && runtime.leaseCertain(term),
        managed,
        storeRead,
        state.fenced(),
        state.startInFlight(),
        state.complete(),
        deadlinePassed);
  }

  /** Answers another node. */
  public JobAnswer answerPeer(String operation, String argument) throws InterruptedException {
    return switch (operation) {
      case "poll" -> poll(argument, false);
      case "cancel" -> cancel(argument, false);
      case "state" -> runtime.connectivity().answerStoreStatus();
      case "reach" -> runtime.connectivity().answerWorkerReachability();
      case "yield" -> runtime.connectivity().onTransferAnnounced(argument);
      case "witness" -> runtime.prober().probeForPeer(argument);
      default -> JobAnswer.UNDECIDED;
    };
  }

  private void cacheEnd(String jobId, JobAnswer answer) {
    if ("done".equals(answer.phase()) || "withdrawn".equals(answer.phase())) {
      endedJobs.put(
          jobId, new RecordCodec.JobEnd(answer.phase().equals("withdrawn"), answer.doneTasks()));
    }
  }

  /** Asks the leading node. */
  private JobAnswer callLeader(String operation, String jobId) {
    String leader = runtime.otherLeader();
    PeerChannel peer = leader == null ? null : peers.get(leader);
    if (peer == null) {
      return JobAnswer.UNDECIDED;
    }
    try {
      return peer.call(operation, jobId, PeerClient.PEER_TIMEOUT_MS);
    } catch (IOException e) {
      LOG.debug("asking {}: {}", leader, e.toString());
      return JobAnswer.UNDECIDED;
    }
  }
}
