package org.astershift.controller;

import java.io.IOException;
import java.util.Map;
import org.astershift.http.JsonFormatException;
import org.astershift.peer.PeerClient;
import org.astershift.peer.PeerOperation;
import org.astershift.peer.PeerResponse;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Looks up jobs in the store and forwards requests on jobs to the leader. Callable from any thread;
 * calls block until they have a response.
 */
final class JobLookup {
  private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);

  private final ControllerRuntime runtime;
  private final StoreClient store;
  private final EndedJobCache endedJobs;
  private final Map<String, JobService.PeerChannel> peers;

  /** {@code peers} holds the channels to the other controllers by node name. */
  JobLookup(
      ControllerRuntime runtime, StoreClient store, Map<String, JobService.PeerChannel> peers) {
    this.runtime = runtime;
    this.store = store;
    this.endedJobs = runtime.endedJobs();
    this.peers = peers;
  }

  static PeerResponse toResponse(RecordCodec.JobEnd end) {
    return PeerResponse.ofEnded(end.cancelled(), end.doneTasks());
  }

  /** Returns the leader's response, or the state in the store if the leader is unavailable. */
  PeerResponse queryLeaderOrStore(String jobId) {
    PeerResponse response = forwardToLeader(PeerOperation.POLL_JOB, jobId);
    return response.isUnavailable() ? queryStore(jobId) : response;
  }

  /**
   * Returns the state of a job in the store at the time of the call or later. The live record is
   * read before the end: one transaction deletes the live record and writes the end, so a job
   * without a live record has a readable end, or is unknown.
   */
  PeerResponse queryStore(String jobId) {
    if (store.isUnavailable()) {
      return PeerResponse.UNAVAILABLE; // fails fast: no user waits until a read times out
    }
    try {
      StoreClient.Entry liveEntry = store.get(RecordCodec.LIVE_JOB_PREFIX + jobId);
      if (liveEntry.data() != null) {
        runtime.onJobRecord(liveEntry);
        return PeerResponse.ofAccepted();
      }
      StoreClient.Entry endedEntry = store.get(RecordCodec.ENDED_JOB_PREFIX + jobId);
      if (endedEntry.data() == null) {
        return PeerResponse.NOT_FOUND;
      }
      RecordCodec.JobEnd end = RecordCodec.decodeJobEnd(endedEntry.data());
      runtime.onEndRead(jobId, end);
      return toResponse(end);
    } catch (IOException | JsonFormatException e) {
      LOG.debug("reading job failed: job={}: {}", jobId, e.toString());
      return PeerResponse.UNAVAILABLE;
    }
  }

  /**
   * Forwards a request on a job to the leader and returns the response; {@link
   * PeerResponse#UNAVAILABLE} if none arrives. Caches the job's end if the response reports it.
   */
  PeerResponse forwardToLeader(PeerOperation operation, String jobId) {
    PeerResponse response = callLeader(operation, jobId);
    if (response.hasEnded()) {
      endedJobs.put(jobId, new RecordCodec.JobEnd(response.isCancelled(), response.doneTasks()));
    }
    return response;
  }

  private PeerResponse callLeader(PeerOperation operation, String jobId) {
    String leader = runtime.remoteLeader();
    JobService.PeerChannel peer = leader == null ? null : peers.get(leader);
    if (peer == null) {
      return PeerResponse.UNAVAILABLE;
    }
    try {
      return peer.call(operation, jobId, PeerClient.PEER_TIMEOUT_MS);
    } catch (IOException e) {
      LOG.debug(
          "no valid response from the leader: leader={} job={}: {}", leader, jobId, e.toString());
      return PeerResponse.UNAVAILABLE;
    }
  }
}
