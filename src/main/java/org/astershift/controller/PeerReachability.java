package org.astershift.controller;

import java.io.IOException;
import org.astershift.coordination.Candidacy;
import org.astershift.coordination.WorkerReachability;
import org.astershift.peer.PeerOperation;
import org.astershift.peer.PeerResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Queries with which controllers compare how much of the fleet they reach. */
final class PeerReachability {
  private static final Logger LOG = LoggerFactory.getLogger(PeerReachability.class);

  private PeerReachability() {}

  /** Encodes this node's answer; {@code storeAvailable} if the store responds to this node. */
  static PeerResponse encodeResponse(
      WorkerReachability.Measurement measurement, boolean storeAvailable) {
    return new PeerResponse(
        200, storeAvailable ? "" : "apart", measurement.answeredCount(), measurement.probedCount());
  }

  /** Returns a peer's status as it reports it; null if it does not answer. */
  static Candidacy.PeerStatus query(String node, JobService.PeerChannel peer) {
    try {
      PeerResponse answer =
          peer.call(
              PeerOperation.WORKER_REACHABILITY, "", LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS);
      WorkerReachability.Measurement measurement =
          new WorkerReachability.Measurement(answer.runningTasks(), answer.doneTasks());
      return new Candidacy.PeerStatus(
          node, answer.isOk() && "".equals(answer.phase()), measurement);
    } catch (IOException | RuntimeException e) {
      LOG.debug("peer did not answer, node={}: {}", node, e.toString());
      return null;
    }
  }
}
