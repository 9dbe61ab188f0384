package org.astershift.leader;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.astershift.config.Constants;
import org.astershift.core.Decision;
import org.astershift.http.Json;
import org.astershift.http.Threads;
import org.astershift.office.WorkerReach;
import org.astershift.peer.JobAnswer;
import org.astershift.store.Mirror;
import org.astershift.store.Records;
import org.astershift.store.StoreClient;
import org.astershift.worker.OrderSender;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks machines on record whether they answer this node: a few all the time, so that it knows its
 * own reach, and those of which the leader wants to know whether they are dead or only silent to
 * it. The question needs no token, so any node may ask it.
 */
final class Sampling {
  private static final Logger LOG = LoggerFactory.getLogger(Sampling.class);
  private final Mirror mirror;
  private final OrderSender sender;
  private final Threads.Pool questions;
  private final Collection<UserDesk.Asker> others;
  private final WorkerReach reach = new WorkerReach();

  /** Of its own: a leader's many questions to silent machines must not make it look cut off. */
  private final Threads.Pool samplePool = Threads.pool("sample", Constants.REACH_SAMPLE);

  private final Threads.Pool witnessPool = Threads.pool("witness", Constants.WITNESS_THREADS);

  /** Told once all others have answered, or have not in time. */
  interface Verdict {
    void told(int able, Set<String> reached);
  }

  Sampling(
      Mirror mirror,
      OrderSender sender,
      Threads.Pool questions,
      Collection<UserDesk.Asker> others) {
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
  WorkerReach.Seen seen() {
    return reach.seen(Term.nowMs());
  }

  private void loop() throws InterruptedException {
    while (true) {
      Thread.sleep(Constants.REACH_SAMPLE_MS);
      samplePool.tend();
      questions.tend();
      List<String> addrs = pick();
      long atMs = Term.nowMs();
      int answered = 0;
      for (boolean yes : ask(samplePool, addrs, Constants.PROBE_TIMEOUT_MS, 1)) {
        answered += yes ? 1 : 0;
      }
      reach.sampled(addrs.size(), answered, atMs);
    }
  }

  /** Some machines of those that may hold tasks, at random. */
  private List<String> pick() {
    List<StoreClient.Row> pages = mirror.below(Records.NOTES + Notes.Kind.MACHINE.letter);
    Set<String> out = new HashSet<>();
    ThreadLocalRandom random = ThreadLocalRandom.current();
    for (int i = 0; i < 2 * Constants.REACH_SAMPLE && !pages.isEmpty(); i++) {
      Map<String, Object> page = pages.get(random.nextInt(pages.size())).data();
      if (page.isEmpty() || out.size() == Constants.REACH_SAMPLE) {
        continue;
      }
      String name = new ArrayList<>(page.keySet()).get(random.nextInt(page.size()));
      try {
        Decision.Enrol e = Records.machine(name, page.get(name));
        if (!e.fresh() && e.addr() != null) {
          out.add(e.addr());
        }
      } catch (Json.Bad e) {
        LOG.debug("note of machine {}: {}", name, e.getMessage());
      }
    }
    return new ArrayList<>(out);
  }

  /** Asks all of them; what has no answer after so many rounds of its threads counts as none. */
  private boolean[] ask(Threads.Pool pool, List<String> addrs, int timeoutMs, int rounds)
      throws InterruptedException {
    boolean[] answered = new boolean[addrs.size()];
    CountDownLatch left = new CountDownLatch(addrs.size());
    long untilMs = Term.nowMs() + (long) timeoutMs * rounds;
    BooleanSupplier late = () -> Term.nowMs() > untilMs;
    for (int i = 0; i < answered.length; i++) {
      int at = i;
      pool.execute(
          "question",
          () -> {
            boolean yes = !late.getAsBoolean() && sender.answers(addrs.get(at), timeoutMs);
            synchronized (answered) {
              answered[at] = yes;
            }
            left.countDown();
          });
    }
    if (!left.await((long) timeoutMs * rounds + Constants.SUSPECT_MS, TimeUnit.MILLISECONDS)) {
      LOG.debug("{} of {} questions are not settled", left.getCount(), answered.length);
    }
    synchronized (answered) {
      return answered.clone();
    }
  }

  // ---- for the leader ----

  /** Has all other nodes ask these machines. */
  void haveAsked(Decision.Witness w, Verdict verdict) {
    StringBuilder addrs = new StringBuilder();
    for (Decision.Suspect s : w.suspects()) {
      addrs.append(addrs.isEmpty() ? "" : " ").append(s.addr());
    }
    Round round = new Round(w, verdict, others.size());
    if (others.isEmpty()) {
      round.settle();
    }
    for (UserDesk.Asker other : others) {
      witnessPool.execute(
          "witness",
          () -> {
            JobAnswer a = JobAnswer.UNDECIDED;
            try {
              a = other.ask("witness", addrs.toString(), Constants.PEER_TIMEOUT_MS);
            } catch (IOException | RuntimeException e) {
              LOG.debug("asking for a witness: {}", e.toString());
            }
            round.add(a);
          });
    }
  }

  /** The answers to one question to all the others. */
  private static final class Round {
    private final Decision.Witness witness;
    private final Verdict verdict;
    private final Set<String> reached = new HashSet<>();
    private int able;
    private int left;

    Round(Decision.Witness witness, Verdict verdict, int others) {
      this.witness = witness;
      this.verdict = verdict;
      this.left = others;
    }

    synchronized void add(JobAnswer a) {
      if (a.status() == 200 && a.phase() != null) {
        try {
          for (String index : a.phase().isEmpty() ? new String[0] : a.phase().split(" ")) {
            reached.add(witness.suspects().get(Integer.parseInt(index)).machine());
          }
          able++;
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
          LOG.error("an answer of a witness makes no sense: {}", a.phase());
        }
      }
      left--; // whatever came: the leader waits for the last one
      if (left == 0) {
        settle();
      }
    }

    void settle() {
      verdict.told(able, reached);
    }
  }

  /**
   * What this node tells a leader that asks it to try these machines: the places of those that
   * answer, in the order asked. Undecided if it reaches few machines itself.
   */
  JobAnswer witness(String addrs) throws InterruptedException {
    if (!seen().able()) {
      return JobAnswer.UNDECIDED;
    }
    List<String> asked = List.of(addrs.split(" "));
    int rounds = Constants.WITNESS_BATCH / Constants.QUESTION_THREADS;
    boolean[] answered = ask(questions, asked, Constants.WITNESS_TIMEOUT_MS, rounds);
    StringBuilder out = new StringBuilder();
    int reached = 0;
    for (int i = 0; i < answered.length; i++) {
      if (answered[i]) {
        out.append(reached == 0 ? "" : " ").append(i);
        reached++;
      }
    }
    LOG.info("of {} machines that the leader does not hear {} answer here", asked.size(), reached);
    return new JobAnswer(200, out.toString(), reached, asked.size());
  }
}
