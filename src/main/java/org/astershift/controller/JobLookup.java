package org.astershift.controller;

import java.io.IOException;
import java.util.Map;
import org.astershift.http.JsonFormatException;
import org.astershift.peer.JobAnswer;
import org.astershift.peer.PeerClient;
import org.astershift.peer.PeerOperation;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Looks up jobs at the leader and in the store. Callable from any thread; calls block until they
 * have an answer.
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

  static JobAnswer toAnswer(RecordCodec.JobEnd end) {
    return JobAnswer.ofEnd(end.cancelled(), end.done());
  }

  /** Returns the leader's answer, or the store's if the leader's is undecided. */
  JobAnswer queryLeaderOrStore(String jobId) {
    JobAnswer answer = askLeader(PeerOperation.POLL_JOB, jobId);
    return answer.undecided() ? queryStore(jobId) : answer;
  }

  /**
   * Returns the state of a job in the store, never older than the call. The live record is read
   * before the end: one transaction deletes the live record and writes the end, so a job without a
   * live record has a readable end, or is unknown.
   */
  JobAnswer queryStore(String jobId) {
    if (store.unavailable()) {
      return JobAnswer.UNDECIDED; // at once, so that no user waits until a read times out
    }
    try {
      StoreClient.Entry liveEntry = store.get(RecordCodec.JOB + jobId);
      if (liveEntry.data() != null) {
        runtime.onJobRecord(liveEntry);
        return JobAnswer.ofAccepted();
      }
      StoreClient.Entry endedEntry = store.get(RecordCodec.ENDED + jobId);
      if (endedEntry.data() == null) {
        return JobAnswer.UNKNOWN;
      }
      RecordCodec.JobEnd end = RecordCodec.decodeEnd(endedEntry.data());
      runtime.onEndRead(jobId, end);
      return toAnswer(end);
    } catch (IOException | JsonFormatException e) {
      LOG.debug("reading job failed, job={}: {}", jobId, e.toString());
      return JobAnswer.UNDECIDED;
    }
  }

  /** Returns the leader's answer about a job and caches an end; undecided without an answer. */
  JobAnswer askLeader(PeerOperation operation, String jobId) {
    JobAnswer answer = callLeader(operation, jobId);
    if (answer.ended()) {
      endedJobs.put(jobId, new RecordCodec.JobEnd(answer.cancelled(), answer.doneTasks()));
    }
    return answer;
  }

  private JobAnswer callLeader(PeerOperation operation, String jobId) {
    String leader = runtime.otherLeader();
    JobService.PeerChannel peer = leader == null ? null : peers.get(leader);
    if (peer == null) {
      return JobAnswer.UNDECIDED;
    }
    try {
      return peer.call(operation, jobId, PeerClient.PEER_TIMEOUT_MS);
    } catch (IOException e) {
      LOG.debug("leader did not answer, node={} job={}: {}", leader, jobId, e.toString());
      return JobAnswer.UNDECIDED;
    }
  }
}
