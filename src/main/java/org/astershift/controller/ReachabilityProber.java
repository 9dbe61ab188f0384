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
import org.astershift.config.Constants;
import org.astershift.coordination.WorkerReachability;
import org.astershift.http.Json;
import org.astershift.http.Threads;
import org.astershift.peer.JobAnswer;
import org.astershift.scheduler.Decision;
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
  private final WatchCache mirror;
  private final CommandSender sender;
  private final Threads.Pool questions;
  private final Collection<JobService.PeerChannel> others;
  private final WorkerReachability reach = new WorkerReachability();

  /** Of its own: a leader's many questions to silent machines must not make it look cut off. */
  private final Threads.Pool samplePool = Threads.pool("sample", Constants.REACH_SAMPLE);

  private final Threads.Pool witnessPool = Threads.pool("witness", Constants.WITNESS_THREADS);

  ReachabilityProber(
      WatchCache mirror,
      CommandSender sender,
      Threads.Pool questions,
      Collection<JobService.PeerChannel> others) {
    this.mirror = mirror;
    this.sender = sender;
    this.questions = questions;
    this.others = others;
  }

  void start() {
    Threads.startLoop("sampling", this::loop);
  }

  void tend() {
    witnessPool.tend();
  }

  /** What this node reaches of the machines that it asked lately. */
  WorkerReachability.Measurement seen() {
    return reach.seen(LeaderTerm.nowMs());
  }

  private void loop() throws InterruptedException {
    boolean none = false;
    while (true) {
      if (!none) {
        Thread.sleep(Constants.REACH_SAMPLE_MS); // else the deadline of the last sample was a rest
      }
      samplePool.tend();
      questions.tend();
      List<String> addrs = pick();
      long atMs = LeaderTerm.nowMs();
      int answered = 0;
      for (Boolean yes : ask(samplePool, addrs, Constants.PROBE_TIMEOUT_MS)) {
        answered += Boolean.TRUE.equals(yes) ? 1 : 0;
      }
      reach.sampled(addrs.size(), answered, atMs);
      none = answered == 0 && LeaderTerm.nowMs() - atMs >= Constants.PROBE_TIMEOUT_MS;
    }
  }

  /** Some machines of those that may hold tasks, at random. */
  private List<String> pick() {
    List<StoreClient.Entry> pages =
        mirror.below(RecordCodec.NOTES + LeaderRecords.RecordKind.MACHINE.letter);
    Set<String> out = new HashSet<>();
    ThreadLocalRandom random = ThreadLocalRandom.current();
    for (int i = 0; i < 2 * Constants.REACH_SAMPLE && !pages.isEmpty(); i++) {
      Map<String, Object> page = pages.get(random.nextInt(pages.size())).data();
      if (page.isEmpty() || out.size() == Constants.REACH_SAMPLE) {
        continue;
      }
      String name = new ArrayList<>(page.keySet()).get(random.nextInt(page.size()));
      try {
        Decision.RegisterMachine e = RecordCodec.machine(name, page.get(name));
        if (!e.fresh() && e.addr() != null) {
          out.add(e.addr());
        }
      } catch (Json.JsonFormatException e) {
        LOG.debug("note of machine {}: {}", name, e.getMessage());
      }
    }
    return new ArrayList<>(out);
  }

  /** Asks all of them; null for those whose turn did not come, of which nothing is known. */
  private List<Boolean> ask(Threads.Pool pool, List<String> addrs, int timeoutMs)
      throws InterruptedException {
    Boolean[] answered = new Boolean[addrs.size()];
    CountDownLatch left = new CountDownLatch(addrs.size());
    long untilMs = LeaderTerm.nowMs() + timeoutMs;
    for (int i = 0; i < answered.length; i++) {
      int at = i;
      pool.execute(
          "question",
          () -> {
            Boolean yes =
                LeaderTerm.nowMs() > untilMs ? null : sender.answers(addrs.get(at), timeoutMs);
            synchronized (answered) {
              answered[at] = yes;
            }
            left.countDown();
          });
    }
    if (!left.await(timeoutMs + Constants.SUSPECT_MS, TimeUnit.MILLISECONDS)) {
      LOG.debug("{} of {} questions are not settled", left.getCount(), answered.length);
    }
    synchronized (answered) {
      return Arrays.asList(answered.clone());
    }
  }

  // ---- for the leader ----

  /**
   * Has all other nodes ask these machines; {@code verdict} gets the answers of those that could.
   */
  void haveAsked(Decision.ProbeThroughPeers w, Consumer<List<Decision.PeerProbeResult>> verdict) {
    List<Decision.MachineAddress> all = new ArrayList<>(w.suspects());
    all.addAll(w.controls());
    StringJoiner addrs = new StringJoiner(" ");
    all.forEach(m -> addrs.add(m.addr()));
    Round round = new Round(verdict, others.size());
    if (others.isEmpty()) {
      verdict.accept(List.of());
    }
    for (JobService.PeerChannel other : others) {
      witnessPool.execute(
          "witness",
          () -> {
            Decision.PeerProbeResult t = null;
            try {
              JobAnswer a = other.ask("witness", addrs.toString(), Constants.PEER_TIMEOUT_MS);
              t = a.status() == 200 ? testimony(all, a.phase()) : null;
            } catch (IOException | RuntimeException e) {
              LOG.debug("asking for a witness: {}", e.toString());
            }
            round.add(t); // whatever came: the leader waits for the last one
          });
    }
  }

  /** The answers to one question to all the others. */
  private static final class Round {
    private final Consumer<List<Decision.PeerProbeResult>> verdict;
    private final List<Decision.PeerProbeResult> told = new ArrayList<>();
    private int left;

    Round(Consumer<List<Decision.PeerProbeResult>> verdict, int others) {
      this.verdict = verdict;
      this.left = others;
    }

    synchronized void add(Decision.PeerProbeResult t) {
      if (t != null) {
        told.add(t);
      }
      left--;
      if (left == 0) {
        verdict.accept(told);
      }
    }
  }

  /** A sign for each machine asked, in the order asked. */
  private static Decision.PeerProbeResult testimony(
      List<Decision.MachineAddress> asked, String signs) throws IOException {
    if (signs == null || signs.length() != asked.size()) {
      throw new IOException("an answer of a witness makes no sense: " + signs);
    }
    Set<String> reached = new HashSet<>();
    Set<String> unreached = new HashSet<>();
    for (int i = 0; i < signs.length(); i++) {
      if (signs.charAt(i) == REACHED) {
        reached.add(asked.get(i).machine());
      } else if (signs.charAt(i) == UNREACHED) {
        unreached.add(asked.get(i).machine());
      }
    }
    return new Decision.PeerProbeResult(reached, unreached);
  }

  /**
   * What this node tells a leader that asks it to try these machines: a sign for each. Also if it
   * reaches few itself, as far as it knows: what it does reach lives, whatever else it misses.
   */
  JobAnswer witness(String addrs) throws InterruptedException {
    List<Boolean> answered =
        ask(questions, List.of(addrs.split(" ")), Constants.WITNESS_TIMEOUT_MS);
    StringBuilder signs = new StringBuilder();
    int reached = 0;
    for (Boolean yes : answered) {
      signs.append(yes == null ? '?' : yes ? REACHED : UNREACHED);
      reached += Boolean.TRUE.equals(yes) ? 1 : 0;
    }
    LOG.debug("of {} machines that the leader asks about {} answer here", signs.length(), reached);
    return new JobAnswer(200, signs.toString(), reached, answered.size());
  }
}
