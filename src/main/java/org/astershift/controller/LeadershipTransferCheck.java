package org.astershift.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.astershift.coordination.Candidacy;
import org.astershift.peer.PeerOperation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Transfers the leadership away from this controller if it leads but observes few of its machines.
 * Used by one thread.
 */
final class LeadershipTransferCheck {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipTransferCheck.class);

  private final Map<String, JobService.PeerChannel> peers;
  private final ControllerRuntime runtime;
  private final Candidacy candidacy;

  LeadershipTransferCheck(
      Map<String, JobService.PeerChannel> peers, ControllerRuntime runtime, Candidacy candidacy) {
    this.peers = peers;
    this.runtime = runtime;
    this.candidacy = candidacy;
  }

  /**
   * Checks once whether to transfer the leadership. Called only while the store responds, since no
   * other leader could be elected otherwise.
   */
  void run() throws InterruptedException {
    LeaderTerm term = runtime.currentTerm();
    OptionalDouble observedShare = term == null ? OptionalDouble.empty() : shareIfIsolated(term);
    if (observedShare.isEmpty()) {
      return;
    }
    double share = observedShare.getAsDouble();
    Candidacy.LeadershipTransfer transfer =
        candidacy.decideTransfer(
            share, queryPeers(), peers.size(), term.beganMs, LeaderTerm.nowMs());
    if (transfer == null) {
      // Peers normally measure at this interval; asking sooner would give the same results.
      Thread.sleep(LoopTiming.REACHABILITY_SAMPLE_INTERVAL_MS);
      return;
    }
    if (transfer.successor() != null) {
      announce(transfer.successor());
    }
    runtime.transferLeadership(term, reason(share, transfer.successor()));
  }

  /**
   * Returns the share of its machines that the leader observes; empty unless the share is so small
   * that the leader itself may be partitioned.
   */
  private static OptionalDouble shareIfIsolated(LeaderTerm term) {
    return term.scheduler.callLocked(
        scheduler ->
            scheduler.isIsolated()
                ? OptionalDouble.of(scheduler.observedShare())
                : OptionalDouble.empty());
  }

  private List<Candidacy.PeerStatus> queryPeers() {
    List<Candidacy.PeerStatus> statuses = new ArrayList<>();
    for (Map.Entry<String, JobService.PeerChannel> peer : peers.entrySet()) {
      Candidacy.PeerStatus status = PeerReachability.query(peer.getKey(), peer.getValue());
      if (status != null) {
        statuses.add(status);
      }
    }
    return statuses;
  }

  private void announce(String successor) {
    for (JobService.PeerChannel peer : peers.values()) {
      try {
        peer.call(
            PeerOperation.ANNOUNCE_TRANSFER, successor, LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS);
      } catch (IOException | RuntimeException e) {
        LOG.debug(
            "announcing a leadership transfer failed: successor={}: {}", successor, e.toString());
      }
    }
  }

  private static String reason(double observedShare, String successor) {
    return "only "
        + Math.round(observedShare * 100)
        + "% of its machines are observed, and "
        + (successor == null ? "no peer responds" : successor + " reaches more of them");
  }
}
