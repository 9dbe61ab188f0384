package org.astershift.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.StringJoiner;
import java.util.function.Consumer;
import org.astershift.config.ThreadBudget;
import org.astershift.http.TaskPool;
import org.astershift.http.Threads;
import org.astershift.peer.PeerClient;
import org.astershift.peer.PeerOperation;
import org.astershift.peer.PeerResponse;
import org.astershift.scheduler.Decision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the other controllers to probe machines from which the leader gets no heartbeats. A response
 * has one code character for each machine, in the order of the request.
 */
final class PeerProbes {
  private static final Logger LOG = LoggerFactory.getLogger(PeerProbes.class);
  private static final char REACHED = 'y';
  private static final char UNREACHED = 'n';
  private static final char UNKNOWN = '?';

  private final Collection<JobService.PeerChannel> peers;
  private final TaskPool pool = Threads.newPool("peer-probe", ThreadBudget.PEER_PROBE_THREADS);

  PeerProbes(Collection<JobService.PeerChannel> peers) {
    this.peers = peers;
  }

  /** Starts a thread for queued requests if an earlier thread start failed. */
  void startQueuedTasks() {
    pool.startQueuedTasks();
  }

  /**
   * Asks all peers concurrently. Once every peer has responded or failed, {@code onResults} gets
   * the results of the peers that gave one, on the thread that handled the last peer.
   */
  void probeThroughPeers(
      Decision.ProbeThroughPeers request, Consumer<List<Decision.PeerProbeResult>> onResults) {
    List<Decision.MachineAddress> machines = new ArrayList<>(request.suspects());
    machines.addAll(request.controls());
    StringJoiner addresses = new StringJoiner(" ");
    machines.forEach(m -> addresses.add(m.address()));
    ProbeRound round = new ProbeRound(onResults, peers.size());
    if (peers.isEmpty()) {
      onResults.accept(List.of());
    }
    for (JobService.PeerChannel peer : peers) {
      // Failed requests count too: the results are reported after the last request.
      pool.execute(
          "peer-probe", () -> round.add(probeThrough(peer, machines, addresses.toString())));
    }
  }

  /** Returns the result of one peer; null if the peer gave none. */
  private static Decision.PeerProbeResult probeThrough(
      JobService.PeerChannel peer, List<Decision.MachineAddress> machines, String addresses) {
    try {
      PeerResponse response =
          peer.call(PeerOperation.PROBE_MACHINES, addresses, PeerClient.PEER_TIMEOUT_MS);
      return response.isOk() ? decode(machines, response.phase()) : null;
    } catch (IOException | RuntimeException e) {
      LOG.debug("probe through a peer failed: {}", e.toString());
      return null;
    }
  }

  private static Decision.PeerProbeResult decode(
      List<Decision.MachineAddress> machines, String codes) throws IOException {
    if (codes == null || codes.length() != machines.size()) {
      throw new IOException(
          "malformed probe result of a peer, expected one code for each machine: " + codes);
    }
    Set<String> reached = new HashSet<>();
    Set<String> unreached = new HashSet<>();
    for (int i = 0; i < codes.length(); i++) {
      if (codes.charAt(i) == REACHED) {
        reached.add(machines.get(i).machineName());
      } else if (codes.charAt(i) == UNREACHED) {
        unreached.add(machines.get(i).machineName());
      }
    }
    return new Decision.PeerProbeResult(reached, unreached);
  }

  /** Encodes the response to a peer; a null element is a machine that was not probed in time. */
  static PeerResponse encodeResponse(List<Boolean> answered) {
    StringBuilder codes = new StringBuilder();
    int reached = 0;
    for (Boolean reachable : answered) {
      codes.append(reachable == null ? UNKNOWN : reachable ? REACHED : UNREACHED);
      reached += Boolean.TRUE.equals(reachable) ? 1 : 0;
    }
    return new PeerResponse(200, codes.toString(), reached, answered.size());
  }

  /** Collects the results of all peers for one request. */
  private static final class ProbeRound {
    private final Consumer<List<Decision.PeerProbeResult>> onResults;
    private final List<Decision.PeerProbeResult> results = new ArrayList<>();
    private int remainingPeers;

    ProbeRound(Consumer<List<Decision.PeerProbeResult>> onResults, int peerCount) {
      this.onResults = onResults;
      this.remainingPeers = peerCount;
    }

    synchronized void add(Decision.PeerProbeResult result) {
      if (result != null) {
        results.add(result);
      }
      remainingPeers--;
      if (remainingPeers == 0) {
        onResults.accept(results);
      }
    }
  }
}
