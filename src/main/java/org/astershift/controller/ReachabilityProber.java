package org.astershift.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.astershift.config.ThreadBudget;
import org.astershift.coordination.WorkerReachability;
import org.astershift.http.JsonFormatException;
import org.astershift.http.TaskPool;
import org.astershift.http.Threads;
import org.astershift.peer.JobAnswer;
import org.astershift.peer.PeerClient;
import org.astershift.peer.PeerOperation;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.astershift.worker.CommandSender;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks machines on record whether they answer this node: a few all the time, so that it knows its
 * own reach, and those of which the leader wants to know whether they are dead or only silent to
 * it. The question needs no token, so any node may ask it.
 */
final class ReachabilityProber {
  private static final Logger LOG = LoggerFactory.getLogger(ReachabilityProber.class);
  private static final char REACHED = 'y';
  private static final char UNREACHED = 'n';
  private final WatchCache watchCache;
  private final CommandSender sender;
  private final TaskPool probePool;
  private final Collection<JobService.PeerChannel> peers;
  private final WorkerReachability workerReachability = new WorkerReachability();

  /** Of its own: a leader's many questions to silent machines must not make it look cut off. */
  private final TaskPool samplePool =
      Threads.pool("sample", LoopTiming.REACHABILITY_SAMPLE_MACHINES);

  private final TaskPool peerProbePool = Threads.pool("witness", ThreadBudget.PEER_PROBE_THREADS);

  ReachabilityProber(
      WatchCache watchCache,
      CommandSender sender,
      TaskPool probePool,
      Collection<JobService.PeerChannel> peers) {
    this.watchCache = watchCache;
    this.sender = sender;
    this.probePool = probePool;
    this.peers = peers;
  }

  void start() {
    Threads.startLoop("sampling", this::sampleLoop);
  }

  void startQueuedTasks() {
    peerProbePool.startWaitingWork();
  }

  /** What this node reaches of the machines that it asked lately. */
  WorkerReachability.Measurement measurement() {
    return workerReachability.measurement(LeaderTerm.nowMs());
  }

  private void sampleLoop() throws InterruptedException {
    boolean lastSampleTimedOut = false;
    while (true) {
      if (!lastSampleTimedOut) {
        // Without this wait the deadline of the last sample was a rest.
        Thread.sleep(LoopTiming.REACHABILITY_SAMPLE_INTERVAL_MS);
      }
      samplePool.startWaitingWork();
      probePool.startWaitingWork();
      List<String> addresses = pickAddresses();
      long probedMs = LeaderTerm.nowMs();
      int answered = 0;
      for (Boolean reachable : probe(samplePool, addresses, Scheduler.MACHINE_PROBE_TIMEOUT_MS)) {
        answered += Boolean.TRUE.equals(reachable) ? 1 : 0;
      }
      workerReachability.onSample(addresses.size(), answered, probedMs);
      lastSampleTimedOut =
          answered == 0 && LeaderTerm.nowMs() - probedMs >= Scheduler.MACHINE_PROBE_TIMEOUT_MS;
    }
  }

  /** Some machines of those that may hold tasks, at random. */
  private List<String> pickAddresses() {
    List<StoreClient.Entry> pageEntries =
        watchCache.entriesWithPrefix(RecordCodec.PAGES + LeaderRecords.RecordKind.MACHINE.letter);
    Set<String> picked = new HashSet<>();
    ThreadLocalRandom random = ThreadLocalRandom.current();
    for (int i = 0;
        i < 2 * LoopTiming.REACHABILITY_SAMPLE_MACHINES && !pageEntries.isEmpty();
        i++) {
      Map<String, Object> page = pageEntries.get(random.nextInt(pageEntries.size())).data();
      if (page.isEmpty() || picked.size() == LoopTiming.REACHABILITY_SAMPLE_MACHINES) {
        continue;
      }
      String name = new ArrayList<>(page.keySet()).get(random.nextInt(page.size()));
      try {
        Decision.RegisterMachine e = RecordCodec.decodeMachine(name, page.get(name));
        if (!e.newlyProvisioned() && e.address() != null) {
          picked.add(e.address());
        }
      } catch (JsonFormatException e) {
        LOG.debug("note of machine {}: {}", name, e.getMessage());
      }
    }
    return new ArrayList<>(picked);
  }

  /** Asks all of them; null for those whose turn did not come, of which nothing is known. */
  private List<Boolean> probe(TaskPool pool, List<String> addresses, int timeoutMs)
      throws InterruptedException {
    Boolean[] answered = new Boolean[addresses.size()];
    CountDownLatch pending = new CountDownLatch(addresses.size());
    long deadlineMs = LeaderTerm.nowMs() + timeoutMs;
    for (int i = 0; i < answered.length; i++) {
      int index = i;
      pool.execute(
          "question",
          () -> {
            Boolean reachable =
                LeaderTerm.nowMs() > deadlineMs
                    ? null
                    : sender.isReachable(addresses.get(index), timeoutMs);
            synchronized (answered) {
              answered[index] = reachable;
            }
            pending.countDown();
          });
    }
    if (!pending.await(timeoutMs + Scheduler.SUSPECT_AFTER_MS, TimeUnit.MILLISECONDS)) {
      LOG.debug("{} of {} questions are not settled", pending.getCount(), answered.length);
    }
    synchronized (answered) {
      return Arrays.asList(answered.clone());
    }
  }

  // ---- for the leader ----

  /**
   * Has all other nodes ask these machines; {@code onResults} gets the answers of those that could.
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
      peerProbePool.execute(
          "witness",
          () -> {
            Decision.PeerProbeResult result = null;
            try {
              JobAnswer answer =
                  peer.call(
                      PeerOperation.PROBE_MACHINES,
                      addresses.toString(),
                      PeerClient.PEER_TIMEOUT_MS);
              result =
                  answer.status() == 200 ? parsePeerProbeResult(machines, answer.phase()) : null;
            } catch (IOException | RuntimeException e) {
              LOG.debug("asking for a witness: {}", e.toString());
            }
            round.add(result); // whatever came: the leader waits for the last one
          });
    }
  }

  /** The answers to one question to all the others. */
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

  /** A sign for each machine asked, in the order asked. */
  private static Decision.PeerProbeResult parsePeerProbeResult(
      List<Decision.MachineAddress> machines, String signs) throws IOException {
    if (signs == null || signs.length() != machines.size()) {
      throw new IOException("an answer of a witness makes no sense: " + signs);
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

  /**
   * What this node tells a leader that asks it to try these machines: a sign for each. Also if it
   * reaches few itself, as far as it knows: what it does reach lives, whatever else it misses.
   */
  JobAnswer probeForPeer(String addresses) throws InterruptedException {
    List<Boolean> answered =
        probe(probePool, List.of(addresses.split(" ")), Scheduler.PEER_PROBE_TIMEOUT_MS);
    StringBuilder signs = new StringBuilder();
    int reached = 0;
    for (Boolean reachable : answered) {
      signs.append(reachable == null ? '?' : reachable ? REACHED : UNREACHED);
      reached += Boolean.TRUE.equals(reachable) ? 1 : 0;
    }
    LOG.debug("of {} machines that the leader asks about {} answer here", signs.length(), reached);
    return new JobAnswer(200, signs.toString(), reached, answered.size());
  }
}
