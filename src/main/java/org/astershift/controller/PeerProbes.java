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
import org.astershift.peer.JobAnswer;
import org.astershift.peer.PeerClient;
import org.astershift.peer.PeerOperation;
import org.astershift.scheduler.Decision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Has the other controllers probe machines that are silent to the leader. An answer has one sign
 * for each machine, in the order of the request.
 */
final class PeerProbes {
  private static final Logger LOG = LoggerFactory.getLogger(PeerProbes.class);
  private static final char REACHED = 'y';
  private static final char UNREACHED = 'n';
  private static final char UNKNOWN = '?';

  private final Collection<JobService.PeerChannel> peers;
  private final TaskPool pool = Threads.pool("peer-probe", ThreadBudget.PEER_PROBE_THREADS);

  PeerProbes(Collection<JobService.PeerChannel> peers) {
    this.peers = peers;
  }

  /** Starts queued requests that found no thread. */
  void startQueuedTasks() {
    pool.startWaitingWork();
  }

  /**
   * Asks all peers at once; {@code onResults} gets the answers of those that could tell, in the
   * thread of the last one.
   */
  void request(
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
      // Also a failed request counts: the leader waits for the last one.
      pool.execute(
          "peer-probe", () -> round.add(probeThrough(peer, machines, addresses.toString())));
    }
  }

  /** Null if the peer could not tell. */
  private static Decision.PeerProbeResult probeThrough(
      JobService.PeerChannel peer, List<Decision.MachineAddress> machines, String addresses) {
    try {
      JobAnswer answer =
          peer.call(PeerOperation.PROBE_MACHINES, addresses, PeerClient.PEER_TIMEOUT_MS);
      return answer.found() ? decode(machines, answer.phase()) : null;
    } catch (IOException | RuntimeException e) {
      LOG.debug("probe through a peer failed: {}", e.toString());
      return null;
    }
  }

  private static Decision.PeerProbeResult decode(
      List<Decision.MachineAddress> machines, String signs) throws IOException {
    if (signs == null || signs.length() != machines.size()) {
      throw new IOException("malformed probe result: " + signs);
    }
    Set<String> reached = new HashSet<>();
    Set<String> unreached = new HashSet<>();
    for (int i = 0; i < signs.length(); i++) {
      if (signs.charAt(i) == REACHED) {
        reached.add(machines.get(i).machineName());
      } else if (signs.charAt(i) == UNREACHED) {
        unreached.add(machines.get(i).machineName());
      }
    }
    return new Decision.PeerProbeResult(reached, unreached);
  }

  /** The answer to a peer; a null element is a machine of which nothing is known. */
  static JobAnswer encode(List<Boolean> answered) {
    StringBuilder signs = new StringBuilder();
    int reached = 0;
    for (Boolean reachable : answered) {
      signs.append(reachable == null ? UNKNOWN : reachable ? REACHED : UNREACHED);
      reached += Boolean.TRUE.equals(reachable) ? 1 : 0;
    }
    return new JobAnswer(200, signs.toString(), reached, answered.size());
  }

  /** The answers of all peers to one request. */
  private static final class ProbeRound {
    private final Consumer<List<Decision.PeerProbeResult>> onResults;
    private final List<Decision.PeerProbeResult> results = new ArrayList<>();
    private int remaining;

    ProbeRound(Consumer<List<Decision.PeerProbeResult>> onResults, int peerCount) {
      this.onResults = onResults;
      this.remaining = peerCount;
    }

    synchronized void add(Decision.PeerProbeResult result) {
      if (result != null) {
        results.add(result);
      }
      remaining--;
      if (remaining == 0) {
        onResults.accept(results);
      }
    }
  }
}
