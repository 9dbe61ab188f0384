package org.astershift.controller;

import org.astershift.coordination.Cancellation;
import org.astershift.peer.PeerOperation;
import org.astershift.peer.PeerResponse;
import org.astershift.store.RecordCodec;

/**
 * Executes the steps that {@link Cancellation} decides for a user's cancellation, until the
 * cancellation is durable or its deadline has passed.
 */
final class JobCanceller {
  private final ControllerRuntime runtime;
  private final EndedJobCache endedJobs;
  private final JobLookup lookup;

  JobCanceller(ControllerRuntime runtime, JobLookup lookup) {
    this.runtime = runtime;
    this.endedJobs = runtime.endedJobs();
    this.lookup = lookup;
  }

  /**
   * Cancels a job. The cancellation is confirmed only once it is durable and no task of the job can
   * outlive it.
   */
  PeerResponse cancel(String jobId, boolean mayForward) throws InterruptedException {
    return new Request(jobId, mayForward, runtime.currentTerm(), LeaderTerm.nowMs()).process();
  }

  /** One cancellation request; runs on the thread that serves its user. */
  private final class Request {
    private final String jobId;
    private final boolean mayForward;
    private final LeaderTerm term;
    private final long arrivedMs;
    private final long deadlineMs;
    private boolean cancelRequested;
    private boolean wasStoreRead;

    Request(String jobId, boolean mayForward, LeaderTerm term, long arrivedMs) {
      this.jobId = jobId;
      this.mayForward = mayForward;
      this.term = term;
      this.arrivedMs = arrivedMs;
      this.deadlineMs = arrivedMs + LoopTiming.CANCEL_WAIT_MS;
    }

    PeerResponse process() throws InterruptedException {
      while (true) {
        Cancellation.Action action = Cancellation.nextAction(buildView());
        if (action.needsTerm() && !cancelRequested) {
          requestCancel();
        }
        PeerResponse response = execute(action);
        if (response != null) {
          return response;
        }
        if (action.needsTerm()) {
          Thread.sleep(LoopTiming.CANCEL_POLL_INTERVAL_MS);
        }
      }
    }

    /**
     * Requests the cancellation from the term; from then on no task of the job starts, however long
     * writing the job's end takes.
     */
    private void requestCancel() {
      cancelRequested = true;
      term.requestCancel(jobId, arrivedMs);
      runtime.requestPass();
    }

    /** Executes the action; returns the response, or null if another action must follow. */
    private PeerResponse execute(Cancellation.Action action) throws InterruptedException {
      return switch (action) {
        case REPLY_WITH_END -> responseOrNull(endedJobs.get(jobId));
        case FORWARD -> lookup.forwardToLeader(PeerOperation.CANCEL_JOB, jobId);
        case REJECT -> PeerResponse.UNAVAILABLE;
        case READ_STORE -> readStore();
        case WAIT -> null;
        case WRITE_CANCELLED ->
            responseOrNull(runtime.persistEnd(term, jobId, true, remainingMs()));
        case WRITE_DONE -> responseOrNull(runtime.persistEnd(term, jobId, false, remainingMs()));
      };
    }

    private PeerResponse readStore() {
      PeerResponse response = lookup.queryStore(jobId);
      wasStoreRead = true;
      return response.isOk() ? null : response;
    }

    private static PeerResponse responseOrNull(RecordCodec.JobEnd end) {
      return end == null ? null : JobLookup.toResponse(end);
    }

    private long remainingMs() {
      return Math.max(1, deadlineMs - LeaderTerm.nowMs());
    }

    private Cancellation.View buildView() {
      boolean deadlinePassed = LeaderTerm.nowMs() >= deadlineMs;
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
          term != null && !term.hasEnded() && runtime.isLeaseCertain(term),
          managed,
          wasStoreRead,
          state.isFenced(),
          state.hasStartInFlight(),
          state.isComplete(),
          deadlinePassed);
    }
  }
}
