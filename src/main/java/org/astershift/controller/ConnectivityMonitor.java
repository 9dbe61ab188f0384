package org.astershift.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.astershift.coordination.Candidacy;
import org.astershift.coordination.StoreReachability;
import org.astershift.coordination.WorkerReachability;
import org.astershift.http.Threads;
import org.astershift.peer.JobAnswer;
import org.astershift.peer.PeerOperation;
import org.astershift.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What this node asks the others about its own reach. Whether it alone has lost the state service:
 * by itself it cannot tell that from an outage. In an outage it stays ready: no node could do more.
 * Cut off alone, it sends users elsewhere, and learns from the others who leads by now. And whether
 * one of them reaches more workers than this one, where it leads and hears few.
 */
final class ConnectivityMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectivityMonitor.class);
  private final StoreClient store;
  private final Map<String, JobService.PeerChannel> peers;
  private final ControllerRuntime runtime;
  private final Candidacy candidacy;
  private volatile ObservedLeader observedLeader;
  private volatile boolean isolated;
  private final StoreReachability storeReachability = new StoreReachability();
  private boolean storeSilent;

  /** Who leads, as another node says; {@code node} empty if nobody does. */
  private record ObservedLeader(String node, long token) {}

  ConnectivityMonitor(
      StoreClient store,
      Map<String, JobService.PeerChannel> peers,
      ControllerRuntime runtime,
      Candidacy candidacy) {
    this.store = store;
    this.peers = peers;
    this.runtime = runtime;
    this.candidacy = candidacy;
  }

  void start() {
    Threads.startLoop("reach", this::monitorLoop);
  }

  /** The state service answers others and not this node, or nobody answers it at all. */
  boolean partitionedFromStore() {
    return observedLeader != null || isolated;
  }

  /** The leader as another node told; null where this node knows better, or nobody leads. */
  String reportedLeader() {
    ObservedLeader current = observedLeader;
    return current == null || current.node().isEmpty() ? null : current.node();
  }

  /** What this node tells another that asks whether the state service answers. */
  JobAnswer answerStoreStatus() {
    if (store.unavailable()) {
      return JobAnswer.UNDECIDED;
    }
    StoreClient.Entry entry = runtime.leaderEntry();
    return new JobAnswer(
        200, entry == null ? "" : entry.data().get("node") + " " + entry.revision(), 0, 0);
  }

  private void monitorLoop() throws InterruptedException {
    while (true) {
      Thread.sleep(LoopTiming.REACHABILITY_QUERY_INTERVAL_MS);
      if (!store.unavailable()) {
        if (storeSilent) {
          LOG.info("the state service answers again");
        }
        storeSilent = false;
        observedLeader = null;
        isolated = false;
        storeReachability.onServed();
        checkFleetVisibility();
        continue;
      }
      queryStoreThroughPeers();
    }
  }

  /**
   * A leader that hears few of its machines asks the others whether one of them reaches more. While
   * the state service is away it stays: nobody could take the leadership up.
   */
  private void checkFleetVisibility() throws InterruptedException {
    LeaderTerm term = runtime.currentTerm();
    if (term == null) {
      return;
    }
    OptionalDouble shareIfIsolated =
        term.scheduler.call(
            scheduler ->
                scheduler.isolated()
                    ? OptionalDouble.of(scheduler.observedShare())
                    : OptionalDouble.empty());
    if (shareIfIsolated.isEmpty()) {
      return;
    }
    double visibleShare = shareIfIsolated.getAsDouble();
    List<Candidacy.PeerStatus> statuses = new ArrayList<>();
    for (Map.Entry<String, JobService.PeerChannel> peer : peers.entrySet()) {
      Candidacy.PeerStatus other = queryWorkerReachability(peer.getKey(), peer.getValue());
      if (other != null) {
        statuses.add(other);
      }
    }
    Candidacy.LeadershipTransfer transfer =
        candidacy.handOverTarget(
            visibleShare, statuses, peers.size(), term.beganMs, LeaderTerm.nowMs());
    if (transfer == null) {
      Thread.sleep(
          LoopTiming
              .REACHABILITY_SAMPLE_INTERVAL_MS); // what the others reach does not change sooner
      return;
    }
    if (transfer.successor() != null) {
      for (JobService.PeerChannel other : peers.values()) {
        notifyPeer(other, PeerOperation.ANNOUNCE_TRANSFER, transfer.successor());
      }
    }
    String reason =
        transfer.successor() == null
            ? "no other node could be asked"
            : transfer.successor() + " reaches more of them";
    runtime.transferLeadership(
        term,
        "only " + Math.round(visibleShare * 100) + "% of its machines are heard, and " + reason);
  }

  /** What another node tells of itself; null if it does not answer. */
  private static Candidacy.PeerStatus queryWorkerReachability(
      String node, JobService.PeerChannel peer) {
    try {
      JobAnswer answer =
          peer.call(
              PeerOperation.WORKER_REACHABILITY, "", LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS);
      WorkerReachability.Measurement measurement =
          new WorkerReachability.Measurement(answer.runningTasks(), answer.doneTasks());
      return new Candidacy.PeerStatus(
          node, answer.status() == 200 && "".equals(answer.phase()), measurement);
    } catch (IOException | RuntimeException e) {
      LOG.debug("asking {}: {}", node, e.toString());
      return null;
    }
  }

  private static void notifyPeer(
      JobService.PeerChannel peer, PeerOperation operation, String argument) {
    try {
      peer.call(operation, argument, LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS);
    } catch (IOException | RuntimeException e) {
      LOG.debug("telling another node: {}", e.toString());
    }
  }

  /** The leader is about to hand over to this node, or to another one, which has to go first. */
  JobAnswer onTransferAnnounced(String successor) {
    if (!successor.equals(runtime.node())) {
      candidacy.deferToSuccessor(LeaderTerm.nowMs());
    }
    return new JobAnswer(200, "", 0, 0);
  }

  /** What this node tells another that asks how much of the fleet it reaches. */
  JobAnswer answerWorkerReachability() {
    WorkerReachability.Measurement measurement = runtime.prober().measurement();
    return new JobAnswer(
        200, store.unavailable() ? "apart" : "", measurement.answered(), measurement.probed());
  }

  private void queryStoreThroughPeers() {
    ObservedLeader reported = null;
    String servedPeer = null;
    int answered = 0;
    for (Map.Entry<String, JobService.PeerChannel> peer : peers.entrySet()) {
      try {
        JobAnswer answer =
            peer.getValue()
                .call(PeerOperation.STORE_STATUS, "", LoopTiming.REACHABILITY_QUERY_TIMEOUT_MS);
        answered++;
        if (answer.status() == 200) {
          reported = parseLeader(answer.phase());
          servedPeer = peer.getKey();
          break;
        }
      } catch (IOException | RuntimeException e) {
        LOG.debug("asking {}: {}", peer.getKey(), e.toString());
      }
    }
    if (!storeSilent || (reported == null) != (observedLeader == null)) {
      if (reported == null) {
        LOG.info("the state service does not answer, nor does it answer another node reached");
      } else {
        LOG.info("the state service answers {} and not this node: not ready", servedPeer);
      }
    }
    storeSilent = true;
    observedLeader = reported;
    boolean wasIsolated = isolated;
    isolated =
        storeReachability.onPeersAsked(peers.size(), answered, reported != null, LeaderTerm.nowMs())
            == StoreReachability.Verdict.ISOLATED;
    if (isolated && !wasIsolated) {
      LOG.info("neither the state service nor another node answers this one: cut off, not ready");
    }
    if (reported != null && !inboundPartitioned(reported)) {
      runtime.onLeaderObserved(reported.token());
    }
  }

  /**
   * A later leader that reaches few workers, while this one reaches them: it goes on answering them
   * under its token, so that their leases and tasks live on. That is safe beside any successor,
   * since a machine that has seen the later token drops what comes from here.
   */
  private boolean inboundPartitioned(ObservedLeader laterLeader) {
    LeaderTerm term = runtime.currentTerm();
    JobService.PeerChannel peer = peers.get(laterLeader.node());
    if (term == null || laterLeader.token() <= term.token || peer == null) {
      return false;
    }
    if (!runtime.prober().measurement().reachesEnough()) {
      return false;
    }
    // A node that does not know the question tells 0 of 0, which is not few.
    Candidacy.PeerStatus status = queryWorkerReachability(laterLeader.node(), peer);
    return status != null && status.workerReachability().reachesFew();
  }

  private static ObservedLeader parseLeader(String text) {
    int space = text == null ? -1 : text.lastIndexOf(' ');
    return space < 0
        ? new ObservedLeader("", 0)
        : new ObservedLeader(text.substring(0, space), Long.parseLong(text.substring(space + 1)));
  }
}
