package org.astershift.controller;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.astershift.config.LogIntervals;
import org.astershift.config.Settings;
import org.astershift.config.ThreadBudget;
import org.astershift.coordination.Candidacy;
import org.astershift.http.JsonFormatException;
import org.astershift.http.TaskPool;
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

  /** Milliseconds that the note of where replicas are may wait for other changes of its page. */
  private static final long PLACEMENT_RECORD_DELAY_MS = 3000;

  private final Settings settings;
  private final SchedulingPolicy policy;
  private final StoreClient store;
  private final WatchCache watchCache;
  private final CommandSender sender = new CommandSender();
  private final LeaderElector elector;
  private final CloudProvisioner provisioner;
  private final ReachabilityProber prober;
  private final ConnectivityMonitor connectivity;
  private final EndedJobCache endedJobs = new EndedJobCache();
  private final CompletionWriter completionWriter;
  private volatile LeaderTerm currentTerm;

  /** Held while a term is taken up or laid down: a term that is over must not be taken up late. */
  private final Object termLock = new Object();

  private final TaskPool commandPool = Threads.pool("order", ThreadBudget.COMMAND_THREADS);
  private final TaskPool probePool = Threads.pool("question", ThreadBudget.MACHINE_PROBE_THREADS);
  private final Object passSignal = new Object();
  private boolean passRequested;

  /** {@code peers}: the ways to the other nodes, by their names. */
  public ControllerRuntime(
      Settings settings,
      SchedulingPolicy policy,
      StoreClient store,
      WatchCache watchCache,
      Map<String, JobService.PeerChannel> peers) {
    this.settings = settings;
    this.policy = policy;
    this.store = store;
    this.watchCache = watchCache;
    Candidacy candidacy = new Candidacy();
    this.prober = new ReachabilityProber(watchCache, sender, probePool, peers.values());
    this.elector =
        new LeaderElector(
            settings.nodeName(), store, watchCache, this, candidacy, prober::measurement);
    this.provisioner = new CloudProvisioner(settings, store, watchCache, this::requestPass);
    this.connectivity = new ConnectivityMonitor(store, peers, this, candidacy);
    this.completionWriter =
        new CompletionWriter(settings.storeLimits(), store, endedJobs, this::requestPass);
  }

  /** Starts the threads of this node: from now on it may lead. */
  public void start() {
    if (!Scheduler.leaseFitsCancellationTime(settings.limits())) {
      LOG.warn("cancel_s is shorter than a lease: cancellations wait until all tasks are gone");
    }
    watchCache.start(this::onStoreChanges);
    elector.start();
    connectivity.start();
    prober.start();
  }

  public boolean ready() {
    return watchCache.loaded() && !connectivity.partitionedFromStore();
  }

  /** The leader's key as far as known here, or null. */
  StoreClient.Entry leaderEntry() {
    return elector.leaderEntry();
  }

  /** Another node says that the leader has this token. */
  void onLeaderObserved(long token) {
    elector.onLeaderObserved(token);
  }

  String node() {
    return settings.nodeName();
  }

  ConnectivityMonitor connectivity() {
    return connectivity;
  }

  ReachabilityProber prober() {
    return prober;
  }

  /** Another node reaches more of the fleet. */
  void transferLeadership(LeaderTerm term, String reason) {
    elector.resign(term.token, reason);
  }

  /** The other node that leads, as far as known here, or null. */
  public String otherLeader() {
    String leader =
        connectivity.partitionedFromStore() ? connectivity.reportedLeader() : elector.leader();
    return settings.nodeName().equals(leader) ? null : leader;
  }

  public Map<String, MachineType> types() {
    return provisioner.types();
  }

  /** The present term, or null. */
  LeaderTerm currentTerm() {
    return currentTerm;
  }

  /** Whether no other node can have become leader since this term began. */
  boolean leaseCertain(LeaderTerm term) {
    return elector.leaseCertain(term.token);
  }

  EndedJobCache endedJobs() {
    return endedJobs;
  }

  private void onStoreChanges(List<StoreClient.Entry> changes) {
    LeaderTerm term = currentTerm;
    for (StoreClient.Entry entry : changes) {
      if (entry.key().equals(RecordCodec.LEADER)) {
        elector.wakeLoop();
      } else if (entry.key().equals(RecordCodec.TYPES) && entry.data() != null && term == null) {
        provisioner.onTypesRecord(entry.data());
      } else if (entry.key().startsWith(RecordCodec.JOB) && entry.data() != null) {
        onJobRecord(entry);
      }
    }
  }

  /** A live job was read from the state service. */
  void onJobRecord(StoreClient.Entry entry) {
    LeaderTerm term = currentTerm;
    if (term != null && endedJobs.get(entry.key().substring(RecordCodec.JOB.length())) == null) {
      term.addJob(entry);
      requestPass();
    }
  }

  /** A job was accepted here, and recorded at this revision. */
  void onJobAccepted(RecordCodec.JobRecord record, long revision) {
    LeaderTerm term = currentTerm;
    if (term != null && endedJobs.get(record.spec().id()) == null) {
      term.addJob(record, revision);
      requestPass();
    }
  }

  // ---- term of office ----

  @Override
  public void onTermBegin(long token) {
    synchronized (termLock) {
      if (elector.token() != token) {
        return;
      }
      store.setLeading(true);
    }
    LeaderRecords records =
        new LeaderRecords(
            token,
            store,
            settings.storeLimits(),
            (kind, key, value) -> onPersisted(token, kind, key, value));
    LeaderTerm term =
        new LeaderTerm(
            token,
            new Scheduler(settings.limits(), policy, token),
            records,
            () -> elector.stepDown(token, "a write found another leader"));
    synchronized (term) {
      term.scheduler.updateMachineTypes(provisioner.types());
    }
    term.load(watchCache);
    synchronized (termLock) {
      if (elector.token() != token) {
        term.end(); // over before it began
        return;
      }
      currentTerm = term;
    }
    // What came between the loading and here was told to no term yet.
    for (StoreClient.Entry entry : watchCache.entriesWithPrefix(RecordCodec.JOB)) {
      term.addJob(entry);
    }
    provisioner.resumeProvisioning(term);
    // A term whose loops cannot all run is given up by its caller: half a leader would hold the
    // lease and place nothing.
    Threads.start("notes", () -> records.writeLoop(term));
    Threads.start("pass", () -> passLoop(term));
    Threads.start("cloud", () -> provisioner.pollLoop(term));
    Threads.start("save", () -> progressLoop(term));
    Threads.start("ends", () -> completionWriter.writeLoop(term));
  }

  @Override
  public void onTermEnd(long token, String reason) {
    LeaderTerm term;
    synchronized (termLock) {
      term = currentTerm;
      if (term != null && term.token != token) {
        return; // a later term has begun meanwhile
      }
      currentTerm = null;
      store.setLeading(elector.token() != 0);
    }
    if (term != null) {
      term.end();
      LOG.info("{} leads no longer (token {}): {}", settings.nodeName(), term.token, reason);
    }
    requestPass();
  }

  void requestPass() {
    synchronized (passSignal) {
      passRequested = true;
      passSignal.notifyAll();
    }
  }

  private void passLoop(LeaderTerm term) throws InterruptedException {
    long summaryLoggedMs = 0;
    long dueMs = Long.MAX_VALUE;
    long totalPassMs = 0;
    long longestPassMs = 0;
    while (!term.ended()) {
      synchronized (passSignal) {
        if (!passRequested) {
          passSignal.wait(LoopTiming.PASS_INTERVAL_MS);
        }
        passRequested = false;
      }
      long beganNs = System.nanoTime();
      long stalledMs = LeaderTerm.nowMs() - dueMs;
      boolean starting = false;
      try {
        List<Decision> decisions;
        String summary = null;
        String serviceSummary = null;
        String cancellationSummary = null;
        boolean attemptsExhausted;
        synchronized (term) {
          long nowMs = LeaderTerm.nowMs();
          if (stalledMs > LoopTiming.PROCESS_PAUSE_MS) {
            LOG.info("{} stood still for {} ms", settings.nodeName(), stalledMs);
            term.scheduler.onProcessResumed(nowMs);
          }
          decisions = term.scheduler.pass(nowMs, elector.leaseCertainUntilMs());
          attemptsExhausted = term.scheduler.attemptNumbersExhausted();
          starting = term.scheduler.reconciling();
          if (nowMs - summaryLoggedMs > LogIntervals.SUMMARY_INTERVAL_MS) {
            summaryLoggedMs = nowMs;
            summary = term.scheduler.summary();
            serviceSummary = term.scheduler.serviceSummary(nowMs);
            cancellationSummary = term.cancellationSummary();
          }
        }
        if (attemptsExhausted) {
          elector.stepDown(term.token, "its attempt numbers are used up");
        }
        if (summary != null) {
          LOG.info("{}; passes took {} ms, the longest {} ms", summary, totalPassMs, longestPassMs);
          LOG.info(serviceSummary);
          if (cancellationSummary != null) {
            LOG.info(cancellationSummary);
          }
          totalPassMs = 0;
          longestPassMs = 0;
        }
        for (Decision decision : decisions) {
          execute(term, decision);
        }
        for (TaskPool pool : List.of(commandPool, probePool)) {
          pool.startWaitingWork();
        }
        prober.startQueuedTasks();
        provisioner.startQueuedTasks();
      } catch (RuntimeException | Error e) {
        LOG.error("pass failed", e);
        Threads.backOff();
      }
      // Events gather meanwhile: reports and answers come first where processor time is short.
      long passMs = (System.nanoTime() - beganNs) / 1_000_000;
      totalPassMs += passMs;
      longestPassMs = Math.max(longestPassMs, passMs);
      long pauseMs = Math.max(LoopTiming.PASS_MIN_GAP_MS, passMs * LoopTiming.PASS_REST_FACTOR);
      pauseMs = starting ? Math.min(LoopTiming.PASS_REST_MAX_MS, pauseMs) : pauseMs;
      dueMs = LeaderTerm.nowMs() + pauseMs + LoopTiming.PASS_INTERVAL_MS;
      Thread.sleep(pauseMs);
    }
  }

  private void execute(LeaderTerm term, Decision decision) {
    if (decision instanceof Decision.SendCommands o) {
      // Silent machines hold a thread until the deadline: the others' orders must not wait behind.
      (o.commands().isEmpty() ? probePool : commandPool)
          .execute("order", () -> sendCommands(term, o));
    } else if (decision instanceof Decision.OpenJob o) {
      term.records.put(
          LeaderRecords.RecordKind.OPENED,
          o.jobId(),
          RecordCodec.encodePlacement(o.replicaMachineNames()),
          0);
    } else if (decision instanceof Decision.PersistPlacement r) {
      if (term.manages(r.jobId())) {
        term.records.replace(
            LeaderRecords.RecordKind.OPENED,
            r.jobId(),
            RecordCodec.encodePlacement(r.replicaMachineNames()),
            PLACEMENT_RECORD_DELAY_MS);
      }
    } else if (decision instanceof Decision.FinishJob finish) {
      term.completions.add(finish.jobId());
    } else if (decision instanceof Decision.RegisterMachine register) {
      term.records.put(
          LeaderRecords.RecordKind.MACHINE,
          register.machineName(),
          RecordCodec.encodeMachine(register),
          0);
    } else if (decision instanceof Decision.DeregisterMachine deregister) {
      if (deregister.address() != null) {
        sender.disconnect(deregister.address());
      }
      term.records.remove(
          LeaderRecords.RecordKind.MACHINE,
          deregister.machineName(),
          LeaderRecords.DEREGISTER_DELAY_MS);
    } else if (decision instanceof Decision.ProvisionMachines r) {
      provisioner.provision(term, r);
    } else if (decision instanceof Decision.ReleaseMachines r) {
      provisioner.releaseMachines(term, r);
    } else if (decision instanceof Decision.ProbeThroughPeers probe) {
      prober.probeThroughPeers(probe, results -> onPeerProbeResults(term, probe, results));
    }
  }

  private void onPeerProbeResults(
      LeaderTerm term, Decision.ProbeThroughPeers probe, List<Decision.PeerProbeResult> results) {
    synchronized (term) {
      term.scheduler.onPeerProbeResults(probe, results);
    }
    requestPass();
  }

  /** A note is on record: what waited for it may happen now. */
  private void onPersisted(long token, LeaderRecords.RecordKind kind, String key, Object value) {
    LeaderTerm term = currentTerm;
    if (term == null || term.token != token || value == null) {
      return;
    }
    try {
      switch (kind) {
        case OPENED -> {
          synchronized (term) {
            term.scheduler.onJobOpened(key);
          }
          requestPass();
        }
        case MACHINE -> {
          if (!RecordCodec.decodeMachine(key, value).newlyProvisioned()) {
            synchronized (term) {
              term.scheduler.onMachineRegistered(key);
            }
            requestPass();
          }
        }
        case RENTAL -> provisioner.onRentalPersisted(term, key, value);
        case PROGRESS -> {
          BitSet done = new BitSet();
          String jobId = RecordCodec.mergeSegment(done, key, value);
          synchronized (term) {
            term.scheduler.onProgressPersisted(jobId, done);
          }
        }
      }
    } catch (JsonFormatException e) {
      throw new IllegalStateException("a note of ours cannot be read: " + key, e);
    }
  }

  // ---- workers ----

  /** Commands for the answer to a report; null if this node is not entitled to answer. */
  public List<Command> onHeartbeat(Heartbeat heartbeat, long token) {
    LeaderTerm term = currentTerm;
    if (term == null || term.token != token) {
      return null;
    }
    List<Command> commands;
    boolean deposed;
    boolean passNeeded;
    synchronized (term) {
      if (term.ended()) {
        return null;
      }
      term.scheduler.extendLeaseCertainty(elector.leaseCertainUntilMs());
      commands = term.scheduler.onHeartbeat(heartbeat, LeaderTerm.nowMs());
      deposed = term.scheduler.deposed();
      passNeeded = term.scheduler.passRequested();
    }
    if (deposed) {
      elector.stepDown(
          term.token, "worker " + heartbeat.machineName() + " has seen a higher token");
      return null;
    }
    if (passNeeded) {
      requestPass();
    }
    return commands;
  }

  /** Token for the answer to a report. */
  public long token() {
    LeaderTerm term = currentTerm;
    return term == null ? 0 : term.token;
  }

  /** Its turn has come. */
  void sendCommands(LeaderTerm term, Decision.SendCommands request) {
    if (term.ended()) {
      return;
    }
    synchronized (term) {
      if (!term.scheduler.directCommandsStillDue(request, LeaderTerm.nowMs())) {
        return;
      }
    }
    CommandSender.Result result = new CommandSender.Result(true, null);
    boolean deposed;
    boolean passNeeded;
    try {
      result =
          sender.send(
              request.address(),
              term.token,
              request.epoch(),
              () -> commandsToSend(term, request),
              request.timeoutMs());
    } finally {
      // Whatever came of it: an order that is under way for ever holds its task's place, and the
      // job's cancellation.
      synchronized (term) {
        term.scheduler.extendLeaseCertainty(elector.leaseCertainUntilMs());
        term.scheduler.onCommandResult(
            request.machineName(), result.outcomeUnknown(), result.heartbeat(), LeaderTerm.nowMs());
        deposed = term.scheduler.deposed();
        passNeeded = term.scheduler.passRequested();
      }
    }
    if (deposed) {
      elector.stepDown(term.token, "machine " + request.machineName() + " has seen a higher token");
    } else if (passNeeded) {
      requestPass();
    }
  }

  /**
   * What to send of it over a connection that exists by now. That this term is certainly the only
   * one is looked at only here: a start decided before goes to nobody who may listen to the next
   * leader, however long the connection took or this process stood still.
   */
  private List<Command> commandsToSend(LeaderTerm term, Decision.SendCommands request) {
    synchronized (term) {
      return term.scheduler.commandsStillWanted(request, leaseCertain(term));
    }
  }

  // ---- records ----

  /** The end of a job was read. */
  void onEndRead(String jobId, RecordCodec.JobEnd end) {
    completionWriter.onEndRead(currentTerm, jobId, end);
  }

  /** Makes the job's end durable, before anyone is told; null if that is not certain yet. */
  RecordCodec.JobEnd persistEnd(LeaderTerm term, String jobId, boolean cancelled, long timeoutMs)
      throws InterruptedException {
    return completionWriter.persistEnd(term, jobId, cancelled, timeoutMs);
  }

  private static void progressLoop(LeaderTerm term) throws InterruptedException {
    while (!term.ended()) {
      Thread.sleep(LoopTiming.PROGRESS_SAVE_INTERVAL_MS);
      try {
        Map<String, BitSet> unsaved;
        synchronized (term) {
          unsaved = term.scheduler.drainUnpersistedProgress();
        }
        unsaved.forEach((jobId, done) -> persistProgress(term, jobId, done));
      } catch (RuntimeException | Error e) {
        LOG.error("saving progress failed", e);
      }
    }
  }

  private static void persistProgress(LeaderTerm term, String jobId, BitSet done) {
    for (int i = 0; i < RecordCodec.segmentCount(done.length()); i++) {
      String key = RecordCodec.progressKey(jobId, i);
      if (term.manages(jobId)) { // not after its end: its progress would stay for ever
        term.records.put(LeaderRecords.RecordKind.PROGRESS, key, RecordCodec.segment(done, i), 0);
      }
    }
  }
}
