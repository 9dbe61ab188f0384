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

  /** Encodes this controller's response; {@code storeAvailable} if the store responds. */
  static PeerResponse encodeResponse(
      WorkerReachability.Measurement measurement, boolean storeAvailable) {
    return new PeerResponse(
        200, storeAvailable ? "" : "apart", measurement.answeredCount(), measurement.probedCount());
  }

  /** Queries a peer for its status; returns null if no valid response arrives. */
  static Candidacy.PeerStatus query(String node, JobService.PeerChannel peer) {
    try {
      PeerResponse response =
          peer.call(
              PeerOperation.WORKER_REACHABILITY, "", LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS);
      WorkerReachability.Measurement measurement =
          new WorkerReachability.Measurement(response.runningTasks(), response.doneTasks());
      return new Candidacy.PeerStatus(
          node, response.isOk() && "".equals(response.phase()), measurement);
    } catch (IOException | RuntimeException e) {
      LOG.debug("no valid response from a peer: peer={}: {}", node, e.toString());
      return null;
    }
  }
}
