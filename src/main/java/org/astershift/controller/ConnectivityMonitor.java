package org.astershift.controller;

import java.io.IOException;
import java.util.Map;
import org.astershift.coordination.Candidacy;
import org.astershift.coordination.StoreReachability;
import org.astershift.http.Threads;
import org.astershift.peer.PeerOperation;
import org.astershift.peer.PeerResponse;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distinguishes a partition of this controller from an outage of the store by querying the peers,
 * and learns from them who leads. A partitioned controller reports not ready. While the store
 * responds, the same loop runs the {@link LeadershipTransferCheck}.
 */
final class ConnectivityMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectivityMonitor.class);

  private final StoreClient store;
  private final Map<String, JobService.PeerChannel> peers;
  private final ControllerRuntime runtime;
  private final Candidacy candidacy;
  private final LeadershipTransferCheck transferCheck;
  private final StoreReachability storeReachability = new StoreReachability();
  private volatile ObservedLeader observedLeader;
  private volatile boolean isIsolated;
  private boolean wasStoreUnavailable;

  /** The leader as reported by a peer; {@code node} is empty if there is no leader. */
  private record ObservedLeader(String node, long token) {
    static ObservedLeader parse(String text) {
      int space = text == null ? -1 : text.lastIndexOf(' ');
      return space < 0
          ? new ObservedLeader("", 0)
          : new ObservedLeader(text.substring(0, space), Long.parseLong(text.substring(space + 1)));
    }
  }

  /**
   * Results of querying the peers: how many answered, the first peer to which the store responds,
   * and the leader that this peer reports; the latter two are null if the store responds to no
   * peer.
   */
  private record PeerReports(int answeredCount, String peerWithStore, ObservedLeader leader) {}

  ConnectivityMonitor(
      StoreClient store,
      Map<String, JobService.PeerChannel> peers,
      ControllerRuntime runtime,
      Candidacy candidacy) {
    this.store = store;
    this.peers = peers;
    this.runtime = runtime;
    this.candidacy = candidacy;
    this.transferCheck = new LeadershipTransferCheck(peers, runtime, candidacy);
  }

  void start() {
    Threads.startLoop("connectivity", this::monitorLoop);
  }

  /**
   * Returns whether the store responds to a peer but not to this controller, or neither the store
   * nor any peer responds to this controller.
   */
  boolean isPartitionedFromStore() {
    return observedLeader != null || isIsolated;
  }

  /**
   * Returns the leader that a peer reported; null if the store responds to this controller, or no
   * leader was reported.
   */
  String reportedLeader() {
    ObservedLeader current = observedLeader;
    return current == null || current.node().isEmpty() ? null : current.node();
  }

  /** Returns the response to a peer that asks whether the store responds here, and who leads. */
  PeerResponse storeStatusResponse() {
    if (store.isUnavailable()) {
      return PeerResponse.UNAVAILABLE;
    }
    StoreClient.Entry entry = runtime.leaderEntry();
    return new PeerResponse(
        200, entry == null ? "" : entry.data().get("node") + " " + entry.revision(), 0, 0);
  }

  /** Returns the response to a peer that asks how much of the fleet this controller reaches. */
  PeerResponse workerReachabilityResponse() {
    return PeerReachability.encodeResponse(runtime.prober().measurement(), !store.isUnavailable());
  }

  /**
   * Handles the leader's announcement of a transfer. If this controller is not the successor, it
   * lets the successor become a candidate first.
   */
  PeerResponse onTransferAnnounced(String successor) {
    if (!successor.equals(runtime.nodeName())) {
      candidacy.deferToSuccessor(LeaderTerm.nowMs());
    }
    return new PeerResponse(200, "", 0, 0);
  }

  private void monitorLoop() throws InterruptedException {
    while (true) {
      Thread.sleep(LoopTiming.REACHABILITY_QUERY_INTERVAL_MS);
      if (store.isUnavailable()) {
        onStoreUnavailable();
      } else {
        onStoreAvailable();
        transferCheck.run();
      }
    }
  }

  private void onStoreAvailable() {
    if (wasStoreUnavailable) {
      LOG.info("store responds to this controller again: node={}", runtime.nodeName());
    }
    wasStoreUnavailable = false;
    observedLeader = null;
    isIsolated = false;
    storeReachability.onStoreResponded();
  }

  private void onStoreUnavailable() {
    PeerReports reports = queryPeers();
    ObservedLeader reported = reports.leader();
    logIfChanged(reports);
    wasStoreUnavailable = true;
    observedLeader = reported;
    boolean wasIsolated = isIsolated;
    isIsolated =
        storeReachability.onPeersQueried(
                peers.size(), reports.answeredCount(), reported != null, LeaderTerm.nowMs())
            == StoreReachability.Verdict.ISOLATED;
    if (isIsolated && !wasIsolated) {
      LOG.info(
          "neither the store nor any peer responds; reporting not ready: node={}",
          runtime.nodeName());
    }
    if (reported != null && !keepsTermDespite(reported)) {
      runtime.onLeaderObserved(reported.token());
    }
  }

  private PeerReports queryPeers() {
    int answered = 0;
    for (Map.Entry<String, JobService.PeerChannel> peer : peers.entrySet()) {
      try {
        PeerResponse response =
            peer.getValue()
                .call(PeerOperation.STORE_STATUS, "", LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS);
        answered++;
        if (response.isOk()) {
          return new PeerReports(answered, peer.getKey(), ObservedLeader.parse(response.phase()));
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("no valid response from a peer: peer={}: {}", peer.getKey(), e.toString());
      }
    }
    return new PeerReports(answered, null, null);
  }

  private void logIfChanged(PeerReports reports) {
    if (wasStoreUnavailable && (reports.leader() == null) == (observedLeader == null)) {
      return;
    }
    if (reports.leader() == null) {
      LOG.info(
          "store responds neither to this controller nor to a reachable peer: node={}",
          runtime.nodeName());
    } else {
      LOG.info(
          "store responds to a peer but not here; reporting not ready: node={} peer={}",
          runtime.nodeName(),
          reports.peerWithStore());
    }
  }

  /**
   * Returns whether this controller keeps its term although a later leader exists, because the
   * later leader reaches few workers and this controller reaches enough. This controller then goes
   * on answering workers with its token, so that their leases are renewed and their tasks keep
   * running. That is safe, since a worker that has seen the later token ignores messages from this
   * controller.
   */
  private boolean keepsTermDespite(ObservedLeader laterLeader) {
    LeaderTerm term = runtime.currentTerm();
    JobService.PeerChannel peer = peers.get(laterLeader.node());
    if (term == null || laterLeader.token() <= term.token || peer == null) {
      return false;
    }
    if (!runtime.prober().measurement().isReachabilitySufficient()) {
      return false;
    }
    // A peer whose version lacks this operation reports 0 of 0, which does not count as few.
    Candidacy.PeerStatus status = PeerReachability.query(laterLeader.node(), peer);
    return status != null && status.workerReachability().isReachabilityPoor();
  }
}
