package org.astershift.controller;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.astershift.coordination.Candidacy;
import org.astershift.http.Json;
import org.astershift.http.Threads;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Scheduler;
import org.astershift.scheduler.SchedulingPolicy;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.astershift.worker.CommandSender;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries the scheduler's decisions out and tells it what came of them, term by term. */
public final class ControllerRuntime implements LeaderElector.TermListener {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerRuntime.class);

  private final Settings settings;
  private final SchedulingPolicy policy;
  private final StoreClient store;
  private final WatchCache mirror;
  private final CommandSender sender = new CommandSender();
  private final LeaderElector leadership;
  private final CloudProvisioner machines;
  private final ReachabilityProber sampling;
  private final ConnectivityMonitor reach;
  private final EndedJobCache ended = new EndedJobCache();
  private final CompletionWriter jobEnds;
  private volatile LeaderTerm term;

  /** Held while a term is taken up or laid down: a term that is over must not be taken up late. */
  private final Object offices = new Object();

  private final Threads.Pool orderPool = Threads.pool("order", Constants.ORDER_THREADS);
  private final Threads.Pool questionPool = Threads.pool("question", Constants.QUESTION_THREADS);
  private final Object wake = new Object();
  private boolean stirred;

  /** {@code askers}: the ways to the other nodes, by their names. */
  public ControllerRuntime(
      Settings settings,
      SchedulingPolicy policy,
      StoreClient store,
      WatchCache mirror,
      Map<String, JobService.PeerChannel> askers) {
    this.settings = settings;
    this.policy = policy;
    this.store = store;
    this.mirror = mirror;
    Candidacy candidacy = new Candidacy();
    this.sampling = new ReachabilityProber(mirror, sender, questionPool, askers.values());
    this.leadership =
        new LeaderElector(settings.node(), store, mirror, this, candidacy, sampling::seen);
    this.machines = new CloudProvisioner(settings, store, mirror, this::stir);
    this.reach = new ConnectivityMonitor(store, askers, this, candidacy);
    this.jobEnds = new CompletionWriter(settings.storeLimits(), store, ended, this::stir);
  }

  /** Starts the threads of this node: from now on it may lead. */
  public void start() {
    if (!Scheduler.leaseWithin(settings.facts())) {
      LOG.warn("cancel_s is shorter than a lease: cancellations wait until all tasks are gone");
    }
    mirror.start(this::changed);
    leadership.start();
    reach.start();
    sampling.start();
  }

  public boolean ready() {
    return mirror.loaded() && !reach.apart();
  }

  /** The leader's key as far as known here, or null. */
  StoreClient.Entry leaderRow() {
    return leadership.row();
  }

  /** Another node says that the leader has this token. */
  void leaderTold(long token) {
    leadership.told(token);
  }

  String node() {
    return settings.node();
  }

  ConnectivityMonitor reach() {
    return reach;
  }

  ReachabilityProber sampling() {
    return sampling;
  }

  /** Another node reaches more of the fleet. */
  void handOver(LeaderTerm t, String why) {
    leadership.resign(t.token, why);
  }

  /** The other node that leads, as far as known here, or null. */
  public String otherLeader() {
    String name = reach.apart() ? reach.leader() : leadership.leader();
    return settings.node().equals(name) ? null : name;
  }

  public Map<String, MachineType> types() {
    return machines.types();
  }

  /** The present term, or null. */
  LeaderTerm term() {
    return term;
  }

  /** Whether no other node can have become leader since this term began. */
  boolean valid(LeaderTerm t) {
    return leadership.valid(t.token);
  }

  EndedJobCache ended() {
    return ended;
  }

  private void changed(List<StoreClient.Entry> changes) {
    LeaderTerm t = term;
    for (StoreClient.Entry row : changes) {
      if (row.key().equals(RecordCodec.LEADER)) {
        leadership.look();
      } else if (row.key().equals(RecordCodec.TYPES) && row.data() != null && t == null) {
        machines.typesNoted(row.data());
      } else if (row.key().startsWith(RecordCodec.JOB) && row.data() != null) {
        learnt(row);
      }
    }
  }

  /** A live job was read from the state service. */
  void learnt(StoreClient.Entry row) {
    LeaderTerm t = term;
    if (t != null && ended.get(row.key().substring(RecordCodec.JOB.length())) == null) {
      t.add(row);
      stir();
    }
  }

  /** A job was accepted here, and recorded at this revision. */
  void accepted(RecordCodec.JobRecord record, long revision) {
    LeaderTerm t = term;
    if (t != null && ended.get(record.spec().id()) == null) {
      t.add(record, revision);
      stir();
    }
  }

  // ---- term of office ----

  @Override
  public void begin(long token) {
    synchronized (offices) {
      if (leadership.token() != token) {
        return;
      }
      store.leading(true);
    }
    LeaderRecords notes =
        new LeaderRecords(
            token,
            store,
            settings.storeLimits(),
            (kind, key, value) -> durable(token, kind, key, value));
    LeaderTerm t =
        new LeaderTerm(
            token,
            new Scheduler(settings.facts(), policy, token),
            notes,
            () -> leadership.stepDown(token, "a write found another leader"));
    synchronized (t) {
      t.scheduler.types(machines.types());
    }
    t.load(mirror);
    synchronized (offices) {
      if (leadership.token() != token) {
        t.end(); // over before it began
        return;
      }
      term = t;
    }
    // What came between the loading and here was told to no term yet.
    for (StoreClient.Entry row : mirror.below(RecordCodec.JOB)) {
      t.add(row);
    }
    machines.takeOver(t);
    // A term whose loops cannot all run is given up by its caller: half a leader would hold the
    // lease and place nothing.
    Threads.start("notes", () -> notes.loop(t));
    Threads.start("pass", () -> passLoop(t));
    Threads.start("cloud", () -> machines.loop(t));
    Threads.start("save", () -> saveLoop(t));
    Threads.start("ends", () -> jobEnds.loop(t));
  }

  @Override
  public void end(long token, String why) {
    LeaderTerm t;
    synchronized (offices) {
      t = term;
      if (t != null && t.token != token) {
        return; // a later term has begun meanwhile
      }
      term = null;
      store.leading(leadership.token() != 0);
    }
    if (t != null) {
      t.end();
      LOG.info("{} leads no longer (token {}): {}", settings.node(), t.token, why);
    }
    stir();
  }

  void stir() {
    synchronized (wake) {
      stirred = true;
      wake.notifyAll();
    }
  }

  private void passLoop(LeaderTerm t) throws InterruptedException {
    long told = 0;
    long dueMs = Long.MAX_VALUE;
    long passesMs = 0;
    long longestMs = 0;
    while (!t.over()) {
      synchronized (wake) {
        if (!stirred) {
          wake.wait(Constants.PASS_MS);
        }
        stirred = false;
      }
      long began = System.nanoTime();
      long stoodStillMs = LeaderTerm.nowMs() - dueMs;
      boolean starting = false;
      try {
        List<Decision> decisions;
        String summary = null;
        String served = null;
        String cancellations = null;
        boolean usedUp;
        synchronized (t) {
          long now = LeaderTerm.nowMs();
          if (stoodStillMs > Constants.STOOD_STILL_MS) {
            LOG.info("{} stood still for {} ms", settings.node(), stoodStillMs);
            t.scheduler.resumed(now);
          }
          decisions = t.scheduler.pass(now, leadership.soleUntilMs());
          usedUp = t.scheduler.usedUp();
          starting = t.scheduler.starting();
          if (now - told > Constants.SUMMARY_MS) {
            told = now;
            summary = t.scheduler.summary();
            served = t.scheduler.served(now);
            cancellations = t.cancellationTimes();
          }
        }
        if (usedUp) {
          leadership.stepDown(t.token, "its attempt numbers are used up");
        }
        if (summary != null) {
          LOG.info("{}; passes took {} ms, the longest {} ms", summary, passesMs, longestMs);
          LOG.info(served);
          if (cancellations != null) {
            LOG.info(cancellations);
          }
          passesMs = 0;
          longestMs = 0;
        }
        for (Decision d : decisions) {
          carryOut(t, d);
        }
        for (Threads.Pool pool : List.of(orderPool, questionPool)) {
          pool.tend();
        }
        sampling.tend();
        machines.tend();
      } catch (RuntimeException | Error e) {
        LOG.error("pass failed", e);
        Threads.pause();
      }
      // Events gather meanwhile: reports and answers come first where processor time is short.
      long tookMs = (System.nanoTime() - began) / 1_000_000;
      passesMs += tookMs;
      longestMs = Math.max(longestMs, tookMs);
      long restMs = Math.max(Constants.PASS_GAP_MS, tookMs * Constants.PASS_REST);
      restMs = starting ? Math.min(Constants.PASS_REST_MOST_MS, restMs) : restMs;
      dueMs = LeaderTerm.nowMs() + restMs + Constants.PASS_MS;
      Thread.sleep(restMs);
    }
  }

  private void carryOut(LeaderTerm t, Decision d) {
    if (d instanceof Decision.SendCommands o) {
      // Silent machines hold a thread until the deadline: the others' orders must not wait behind.
      (o.orders().isEmpty() ? questionPool : orderPool).execute("order", () -> direct(t, o));
    } else if (d instanceof Decision.OpenJob o) {
      t.notes.put(LeaderRecords.RecordKind.OPENED, o.job(), RecordCodec.opened(o.where()), 0);
    } else if (d instanceof Decision.PersistPlacement r) {
      if (t.keeps(r.job())) {
        t.notes.replace(
            LeaderRecords.RecordKind.OPENED,
            r.job(),
            RecordCodec.opened(r.where()),
            Constants.REMEMBER_MS);
      }
    } else if (d instanceof Decision.FinishJob f) {
      t.ends.add(f.job());
    } else if (d instanceof Decision.RegisterMachine e) {
      t.notes.put(LeaderRecords.RecordKind.MACHINE, e.machine(), RecordCodec.machine(e), 0);
    } else if (d instanceof Decision.DeregisterMachine s) {
      if (s.addr() != null) {
        sender.forget(s.addr());
      }
      t.notes.remove(LeaderRecords.RecordKind.MACHINE, s.machine(), Constants.STRIKE_MS);
    } else if (d instanceof Decision.ProvisionMachines r) {
      machines.rent(t, r);
    } else if (d instanceof Decision.ReleaseMachines r) {
      machines.giveBack(t, r);
    } else if (d instanceof Decision.ProbeThroughPeers w) {
      sampling.haveAsked(w, told -> witnessed(t, w, told));
    }
  }

  private void witnessed(
      LeaderTerm t, Decision.ProbeThroughPeers w, List<Decision.PeerProbeResult> told) {
    synchronized (t) {
      t.scheduler.witnessed(w, told);
    }
    stir();
  }

  /** A note is on record: what waited for it may happen now. */
  private void durable(long token, LeaderRecords.RecordKind kind, String key, Object value) {
    LeaderTerm t = term;
    if (t == null || t.token != token || value == null) {
      return;
    }
    try {
      switch (kind) {
        case OPENED -> {
          synchronized (t) {
            t.scheduler.opened(key);
          }
          stir();
        }
        case MACHINE -> {
          if (!RecordCodec.machine(key, value).fresh()) {
            synchronized (t) {
              t.scheduler.enrolled(key);
            }
            stir();
          }
        }
        case RENTAL -> machines.noted(t, key, value);
        case PROGRESS -> {
          BitSet done = new BitSet();
          String job = RecordCodec.merge(done, key, value);
          synchronized (t) {
            t.scheduler.saved(job, done);
          }
        }
      }
    } catch (Json.JsonFormatException e) {
      throw new IllegalStateException("a note of ours cannot be read: " + key, e);
    }
  }

  // ---- workers ----

  /** Commands for the answer to a report; null if this node is not entitled to answer. */
  public List<Command> report(Heartbeat r, long token) {
    LeaderTerm t = term;
    if (t == null || t.token != token) {
      return null;
    }
    List<Command> orders;
    boolean deposed;
    boolean restless;
    synchronized (t) {
      if (t.over()) {
        return null;
      }
      t.scheduler.certainUntil(leadership.soleUntilMs());
      orders = t.scheduler.report(r, LeaderTerm.nowMs());
      deposed = t.scheduler.deposed();
      restless = t.scheduler.restless();
    }
    if (deposed) {
      leadership.stepDown(t.token, "worker " + r.machine() + " has seen a higher token");
      return null;
    }
    if (restless) {
      stir();
    }
    return orders;
  }

  /** Token for the answer to a report. */
  public long token() {
    LeaderTerm t = term;
    return t == null ? 0 : t.token;
  }

  /** Its turn has come. */
  void direct(LeaderTerm t, Decision.SendCommands d) {
    if (t.over()) {
      return;
    }
    synchronized (t) {
      if (!t.scheduler.stillDue(d, LeaderTerm.nowMs())) {
        return;
      }
    }
    CommandSender.Result result = new CommandSender.Result(true, null);
    boolean deposed;
    boolean restless;
    try {
      result = sender.send(d.addr(), t.token, d.session(), () -> stillWanted(t, d), d.timeoutMs());
    } finally {
      // Whatever came of it: an order that is under way for ever holds its task's place, and the
      // job's cancellation.
      synchronized (t) {
        t.scheduler.certainUntil(leadership.soleUntilMs());
        t.scheduler.directResult(
            d.machine(), result.unknown(), result.report(), LeaderTerm.nowMs());
        deposed = t.scheduler.deposed();
        restless = t.scheduler.restless();
      }
    }
    if (deposed) {
      leadership.stepDown(t.token, "machine " + d.machine() + " has seen a higher token");
    } else if (restless) {
      stir();
    }
  }

  /**
   * What to send of it over a connection that exists by now. That this term is certainly the only
   * one is looked at only here: a start decided before goes to nobody who may listen to the next
   * leader, however long the connection took or this process stood still.
   */
  private List<Command> stillWanted(LeaderTerm t, Decision.SendCommands d) {
    synchronized (t) {
      return t.scheduler.stillWanted(d, valid(t));
    }
  }

  // ---- records ----

  /** The end of a job was read. */
  void overOnRecord(String id, RecordCodec.Ended end) {
    jobEnds.overOnRecord(term, id, end);
  }

  /** Makes the job's end durable, before anyone is told; null if that is not certain yet. */
  RecordCodec.Ended finish(LeaderTerm t, String id, boolean cancelled, long patienceMs)
      throws InterruptedException {
    return jobEnds.finish(t, id, cancelled, patienceMs);
  }

  private static void saveLoop(LeaderTerm t) throws InterruptedException {
    while (!t.over()) {
      Thread.sleep(Constants.SAVE_MS);
      try {
        Map<String, BitSet> unsaved;
        synchronized (t) {
          unsaved = t.scheduler.unsaved();
        }
        unsaved.forEach((job, done) -> save(t, job, done));
      } catch (RuntimeException | Error e) {
        LOG.error("saving progress failed", e);
      }
    }
  }

  private static void save(LeaderTerm t, String job, BitSet done) {
    for (int i = 0; i < RecordCodec.segments(done.length()); i++) {
      String key = RecordCodec.progress(job, i);
      if (t.keeps(job)) { // not after its end: its progress would stay for ever
        t.notes.put(LeaderRecords.RecordKind.PROGRESS, key, RecordCodec.segment(done, i), 0);
      }
    }
  }
}
