package org.astershift.controller;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.astershift.coordination.WorkerReachability;
import org.astershift.http.JsonFormatException;
import org.astershift.http.TaskPool;
import org.astershift.http.Threads;
import org.astershift.peer.PeerResponse;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.astershift.worker.CommandSender;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Probes recorded machines from this controller: small random samples continuously, which measure
 * how much of the fleet this controller reaches, and the machines that a leader asks about. A probe
 * carries no fencing token, so any controller may send it.
 */
final class ReachabilityProber {
  private static final Logger LOG = LoggerFactory.getLogger(ReachabilityProber.class);

  private final WatchCache watchCache;
  private final CommandSender sender;
  private final TaskPool probePool;
  private final WorkerReachability workerReachability = new WorkerReachability();

  /** Pool for the samples alone, so that probes of silent machines do not delay them. */
  private final TaskPool samplePool =
      Threads.newPool("sample", LoopTiming.REACHABILITY_SAMPLE_MACHINES);

  /** {@code probePool} is shared with {@link CommandDispatcher}. */
  ReachabilityProber(WatchCache watchCache, CommandSender sender, TaskPool probePool) {
    this.watchCache = watchCache;
    this.sender = sender;
    this.probePool = probePool;
  }

  void start() {
    Threads.startLoop("sampling", this::sampleLoop);
  }

  /** Returns how many recently probed machines answered. Callable from any thread. */
  WorkerReachability.Measurement measurement() {
    return workerReachability.measurement(LeaderTerm.nowMs());
  }

  private void sampleLoop() throws InterruptedException {
    boolean lastSampleTimedOut = false;
    while (true) {
      if (!lastSampleTimedOut) { // a sample that timed out has paused the loop already
        Thread.sleep(LoopTiming.REACHABILITY_SAMPLE_INTERVAL_MS);
      }
      samplePool.startQueuedTasks();
      probePool.startQueuedTasks();
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

  /** Returns the addresses of randomly chosen recorded machines that may hold tasks. */
  private List<String> pickAddresses() {
    List<StoreClient.Entry> pageEntries =
        watchCache.entriesWithPrefix(
            RecordCodec.LEADER_PAGE_PREFIX + LeaderRecords.RecordKind.MACHINE.letter);
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
        Decision.RegisterMachine machine = RecordCodec.decodeMachine(name, page.get(name));
        if (!machine.newlyProvisioned() && machine.address() != null) {
          picked.add(machine.address());
        }
      } catch (JsonFormatException e) {
        LOG.debug("machine record cannot be decoded: machine={}: {}", name, e.getMessage());
      }
    }
    return new ArrayList<>(picked);
  }

  /**
   * Probes all addresses and returns, in their order, whether each answered; null for an address
   * that was not probed in time.
   */
  private List<Boolean> probe(TaskPool pool, List<String> addresses, int timeoutMs)
      throws InterruptedException {
    Boolean[] answered = new Boolean[addresses.size()];
    CountDownLatch pending = new CountDownLatch(addresses.size());
    long deadlineMs = LeaderTerm.nowMs() + timeoutMs;
    for (int i = 0; i < answered.length; i++) {
      int index = i;
      pool.execute(
          "probe",
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
      LOG.debug(
          "probes did not finish in time: pending={} of={}", pending.getCount(), answered.length);
    }
    synchronized (answered) {
      return Arrays.asList(answered.clone());
    }
  }

  /**
   * Probes machines for a peer that leads; {@code addresses} are separated by spaces. Done even if
   * this controller reaches few machines, since any machine that it reaches is alive.
   */
  PeerResponse probeForPeer(String addresses) throws InterruptedException {
    List<Boolean> answered =
        probe(probePool, List.of(addresses.split(" ")), Scheduler.PEER_PROBE_TIMEOUT_MS);
    PeerResponse response = PeerProbes.encodeResponse(answered);
    LOG.debug(
        "probed machines for a peer: machines={} reached={}",
        answered.size(),
        response.doneTasks());
    return response;
  }
}
