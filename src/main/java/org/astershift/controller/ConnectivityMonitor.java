package org.astershift.controller;

import java.io.IOException;
import java.util.Map;
import org.astershift.coordination.Candidacy;
import org.astershift.coordination.StoreReachability;
import org.astershift.http.Threads;
import org.astershift.peer.JobAnswer;
import org.astershift.peer.PeerOperation;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells a partition of this node from an outage of the store, by asking its peers, and learns from
 * them who leads. A partitioned node is not ready. While the store responds, the same loop runs the
 * {@link LeadershipTransferCheck}.
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
  private volatile boolean isolated;
  private boolean storeWasUnavailable;

  /** The leader as a peer reports it; {@code node} empty if nobody leads. */
  private record ObservedLeader(String node, long token) {
    static ObservedLeader parse(String text) {
      int space = text == null ? -1 : text.lastIndexOf(' ');
      return space < 0
          ? new ObservedLeader("", 0)
          : new ObservedLeader(text.substring(0, space), Long.parseLong(text.substring(space + 1)));
    }
  }

  /** What the peers say: how many answered, and the first that the store responds to, or null. */
  private record PeerReports(int answered, String peerWithStore, ObservedLeader leader) {}

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

  /** Whether the store responds to a peer and not to this node, or nobody responds to it. */
  boolean isPartitionedFromStore() {
    return observedLeader != null || isolated;
  }

  /** The leader that a peer reported; null where the store responds, or nobody leads. */
  String reportedLeader() {
    ObservedLeader current = observedLeader;
    return current == null || current.node().isEmpty() ? null : current.node();
  }

  /** Answers a peer that asks whether the store responds, and who leads. */
  JobAnswer answerStoreStatus() {
    if (store.unavailable()) {
      return JobAnswer.UNDECIDED;
    }
    StoreClient.Entry entry = runtime.leaderEntry();
    return new JobAnswer(
        200, entry == null ? "" : entry.data().get("node") + " " + entry.revision(), 0, 0);
  }

  /** Answers a peer that asks how much of the fleet this node reaches. */
  JobAnswer answerWorkerReachability() {
    return PeerReachability.encode(runtime.prober().measurement(), !store.unavailable());
  }

  /** The leader announces a transfer to this node or to another one, which goes first. */
  JobAnswer onTransferAnnounced(String successor) {
    if (!successor.equals(runtime.node())) {
      candidacy.deferToSuccessor(LeaderTerm.nowMs());
    }
    return new JobAnswer(200, "", 0, 0);
  }

  private void monitorLoop() throws InterruptedException {
    while (true) {
      Thread.sleep(LoopTiming.REACHABILITY_QUERY_INTERVAL_MS);
      if (store.unavailable()) {
        onStoreUnavailable();
      } else {
        onStoreAvailable();
        transferCheck.run();
      }
    }
  }

  private void onStoreAvailable() {
    if (storeWasUnavailable) {
      LOG.info("store responds again, node={}", runtime.node());
    }
    storeWasUnavailable = false;
    observedLeader = null;
    isolated = false;
    storeReachability.onStoreResponded();
  }

  private void onStoreUnavailable() {
    PeerReports reports = queryPeers();
    ObservedLeader reported = reports.leader();
    logIfChanged(reports);
    storeWasUnavailable = true;
    observedLeader = reported;
    boolean wasIsolated = isolated;
    isolated =
        storeReachability.onPeersQueried(
                peers.size(), reports.answered(), reported != null, LeaderTerm.nowMs())
            == StoreReachability.Verdict.ISOLATED;
    if (isolated && !wasIsolated) {
      LOG.info("neither store nor peers respond: not ready, node={}", runtime.node());
    }
    if (reported != null && !keepsTermDespite(reported)) {
      runtime.onLeaderObserved(reported.token());
    }
  }

  private PeerReports queryPeers() {
    int answered = 0;
    for (Map.Entry<String, JobService.PeerChannel> peer : peers.entrySet()) {
      try {
        JobAnswer answer =
            peer.getValue()
                .call(PeerOperation.STORE_STATUS, "", LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS);
        answered++;
        if (answer.found()) {
          return new PeerReports(answered, peer.getKey(), ObservedLeader.parse(answer.phase()));
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("peer does not answer, node={}: {}", peer.getKey(), e.toString());
      }
    }
    return new PeerReports(answered, null, null);
  }

  private void logIfChanged(PeerReports reports) {
    if (storeWasUnavailable && (reports.leader() == null) == (observedLeader == null)) {
      return;
    }
    if (reports.leader() == null) {
      LOG.info("store responds neither here nor to a reachable peer, node={}", runtime.node());
    } else {
      LOG.info(
          "store responds to a peer only: not ready, node={} peer={}",
          runtime.node(),
          reports.peerWithStore());
    }
  }

  /**
   * Whether this node keeps its term beside a later leader, because that one reaches few workers
   * and this one reaches them: it goes on answering under its token, so that their leases and tasks
   * live on. That is safe, since a worker that has seen the later token drops what comes from here.
   */
  private boolean keepsTermDespite(ObservedLeader laterLeader) {
    LeaderTerm term = runtime.currentTerm();
    JobService.PeerChannel peer = peers.get(laterLeader.node());
    if (term == null || laterLeader.token() <= term.token || peer == null) {
      return false;
    }
    if (!runtime.prober().measurement().reachesEnough()) {
      return false;
    }
    // A peer of a version without this request answers 0 of 0, which is not few.
    Candidacy.PeerStatus status = PeerReachability.query(laterLeader.node(), peer);
    return status != null && status.workerReachability().reachesFew();
  }
}
