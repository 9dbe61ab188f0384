package org.astershift.controller;

import java.util.List;
import java.util.Map;
import org.astershift.cloud.CloudClient;
import org.astershift.config.Settings;
import org.astershift.config.ThreadBudget;
import org.astershift.coordination.Candidacy;
import org.astershift.http.TaskPool;
import org.astershift.http.Threads;
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

/**
 * One controller: starts its loops, begins and ends leader terms, and routes heartbeats and store
 * changes to the current term. Callable from any thread.
 */
public final class ControllerRuntime implements LeaderElector.TermListener {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerRuntime.class);

  private final Settings settings;
  private final SchedulingPolicy policy;
  private final StoreClient store;
  private final WatchCache watchCache;
  private final LeaderElector elector;
  private final CloudPoller cloudPoller;
  private final CloudProvisioner provisioner;
  private final MachineReleaser releaser;
  private final ReachabilityProber prober;
  private final PeerProbes peerProbes;
  private final CommandDispatcher commands;
  private final ConnectivityMonitor connectivity;
  private final EndedJobCache endedJobs = new EndedJobCache();
  private final CompletionWriter completionWriter;
  private final PassSignal passSignal = new PassSignal();
  private volatile LeaderTerm currentTerm;

  /** Lock held while a term begins or ends, so that an ended term cannot become the current one. */
  private final Object termLock = new Object();

  /** {@code peers} holds the channels to the other controllers by node name. */
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
    CommandSender sender = new CommandSender();
    TaskPool probePool = Threads.newPool("probe", ThreadBudget.MACHINE_PROBE_THREADS);
    Candidacy candidacy = new Candidacy();
    this.commands = new CommandDispatcher(sender, probePool);
    this.prober = new ReachabilityProber(watchCache, sender, probePool);
    this.peerProbes = new PeerProbes(peers.values());
    this.elector =
        new LeaderElector(
            settings.nodeName(), store, watchCache, this, candidacy, prober::measurement);
    CloudClient cloud = new CloudClient(settings);
    this.cloudPoller = new CloudPoller(cloud, store, watchCache, this::requestPass);
    this.provisioner = new CloudProvisioner(cloud);
    this.releaser = new MachineReleaser(cloud, this::requestPass);
    this.connectivity = new ConnectivityMonitor(store, peers, this, candidacy);
    this.completionWriter =
        new CompletionWriter(settings.storeLimits(), store, endedJobs, this::requestPass);
  }

  /** Starts the threads of this controller, which may become leader from then on. */
  public void start() {
    if (!Scheduler.leaseFitsCancellationTime(settings.limits())) {
      LOG.warn(
          "cancel_s is shorter than a lease; cancellations wait until no task of the job is left");
    }
    watchCache.start(this::onStoreChanges);
    elector.start();
    connectivity.start();
    prober.start();
  }

  /** Returns whether this controller is ready for users' requests. */
  public boolean isReady() {
    return watchCache.isLoaded() && !connectivity.isPartitionedFromStore();
  }

  /** Returns the leader key as this controller has cached it; null if there is none. */
  StoreClient.Entry leaderEntry() {
    return elector.leaderEntry();
  }

  /** Handles the leader's fencing token as another controller reports it. */
  void onLeaderObserved(long token) {
    elector.onLeaderObserved(token);
  }

  String nodeName() {
    return settings.nodeName();
  }

  ConnectivityMonitor connectivity() {
    return connectivity;
  }

  CommandDispatcher commands() {
    return commands;
  }

  ReachabilityProber prober() {
    return prober;
  }

  /** Resigns as leader, because another controller reaches more of the fleet. */
  void transferLeadership(LeaderTerm term, String reason) {
    elector.resign(term.token, reason);
  }

  /** Returns the name of the leader; null if none is known or this controller leads. */
  public String remoteLeader() {
    String leader =
        connectivity.isPartitionedFromStore() ? connectivity.reportedLeader() : elector.leader();
    return settings.nodeName().equals(leader) ? null : leader;
  }

  /** Returns the machine types by name; empty until they were read from the cloud or the store. */
  public Map<String, MachineType> machineTypes() {
    return cloudPoller.machineTypes();
  }

  /** Returns the current term; null if this controller does not lead. */
  LeaderTerm currentTerm() {
    return currentTerm;
  }

  /** Returns whether no other controller can have become leader since the term began. */
  boolean isLeaseCertain(LeaderTerm term) {
    return elector.isLeaseCertain(term.token);
  }

  EndedJobCache endedJobs() {
    return endedJobs;
  }

  private void onStoreChanges(List<StoreClient.Entry> changes) {
    LeaderTerm term = currentTerm;
    for (StoreClient.Entry entry : changes) {
      if (entry.key().equals(RecordCodec.LEADER_KEY)) {
        elector.wakeLoop();
      } else if (entry.key().equals(RecordCodec.MACHINE_TYPES_KEY)
          && entry.data() != null
          && term == null) {
        cloudPoller.onTypesRecord(entry.data());
      } else if (entry.key().startsWith(RecordCodec.LIVE_JOB_PREFIX) && entry.data() != null) {
        onJobRecord(entry);
      }
    }
  }

  /** Adds a live job whose record was read from the store to the current term, if there is one. */
  void onJobRecord(StoreClient.Entry entry) {
    LeaderTerm term = currentTerm;
    if (term != null
        && endedJobs.get(entry.key().substring(RecordCodec.LIVE_JOB_PREFIX.length())) == null) {
      term.addJob(entry);
      requestPass();
    }
  }

  /** Adds a job that this controller accepted and recorded at this revision to the current term. */
  void onJobAccepted(RecordCodec.JobRecord record, long revision) {
    LeaderTerm term = currentTerm;
    if (term != null && endedJobs.get(record.spec().id()) == null) {
      term.addJob(record, revision);
      requestPass();
    }
  }

  @Override
  public void onTermBegin(long token) {
    synchronized (termLock) {
      if (elector.token() != token) {
        return;
      }
      store.setLeading(true);
    }
    LeaderTerm term = createTerm(token);
    term.scheduler.updateMachineTypes(cloudPoller.machineTypes());
    long revision = watchCache.revision();
    term.load(watchCache);
    LOG.info(
        "term begins: node={} token={} revision={} {} load_ms={} lease_certain_for_ms={}",
        settings.nodeName(),
        token,
        revision,
        term.inventorySummary(),
        LeaderTerm.nowMs() - term.beganMs,
        elector.leaseCertainUntilMs() - LeaderTerm.nowMs());
    synchronized (termLock) {
      if (elector.token() != token) {
        term.end(); // the leadership was lost while the term was loading
        return;
      }
      currentTerm = term;
    }
    // Job records that arrived after the load and before the term became current reached no term.
    for (StoreClient.Entry entry : watchCache.entriesWithPrefix(RecordCodec.LIVE_JOB_PREFIX)) {
      term.addJob(entry);
    }
    provisioner.resumeProvisioning(term);
    startLoops(term);
  }

  private LeaderTerm createTerm(long token) {
    LeaderRecords records =
        new LeaderRecords(
            token,
            store,
            settings.storeLimits(),
            new PersistedRecordHandler(token, this::currentTerm, provisioner));
    return new LeaderTerm(
        token,
        new Scheduler(settings.limits(), policy, token),
        records,
        new ControllerTermContext(token));
  }

  /**
   * Starts the loops of the term. Throws if a thread cannot be started; the caller then abandons
   * the term, since a leader without all its loops would hold the lease but place nothing.
   */
  private void startLoops(LeaderTerm term) {
    DecisionExecutor executor =
        new DecisionExecutor(term, commands, provisioner, releaser, peerProbes);
    PassLoop passLoop = new PassLoop(term, settings.nodeName(), passSignal, executor);
    Threads.start("records", () -> term.records.writeLoop(term));
    Threads.start("pass", passLoop::run);
    Threads.start("cloud", () -> cloudPoller.pollLoop(term));
    Threads.start("progress", () -> ProgressSaver.saveLoop(term));
    Threads.start("completions", () -> completionWriter.writeLoop(term));
  }

  @Override
  public void onTermEnd(long token, String reason) {
    LeaderTerm term;
    synchronized (termLock) {
      term = currentTerm;
      if (term != null && term.token != token) {
        return; // a later term has begun
      }
      currentTerm = null;
      store.setLeading(elector.token() != 0);
    }
    if (term != null) {
      term.end();
      LOG.info("{} leads no longer, token={}: {}", settings.nodeName(), term.token, reason);
      LOG.info(
          "term ends: node={} token={} led_ms={} lease_certain_for_ms={}",
          settings.nodeName(),
          term.token,
          LeaderTerm.nowMs() - term.beganMs,
          elector.leaseCertainUntilMs() - LeaderTerm.nowMs());
    }
    requestPass();
  }

  void requestPass() {
    passSignal.request();
  }

  /**
   * Returns the response to a heartbeat that reached this controller at {@code receivedMs}, which
   * may be deferred; rejected if this controller does not lead with {@code token}, or its term may
   * no longer answer workers.
   */
  public HeartbeatResult onHeartbeat(Heartbeat heartbeat, long token, long receivedMs) {
    LeaderTerm term = currentTerm;
    return term == null || term.token != token
        ? HeartbeatResult.REJECTED
        : term.onHeartbeat(heartbeat, receivedMs);
  }

  /** Returns the time of the monotonic clock in milliseconds. */
  public static long nowMs() {
    return LeaderTerm.nowMs();
  }

  /** Returns the fencing token of the current term; 0 if this controller does not lead. */
  public long token() {
    LeaderTerm term = currentTerm;
    return term == null ? 0 : term.token;
  }

  /** Handles the end of a job that was read from the store. */
  void onEndRead(String jobId, RecordCodec.JobEnd end) {
    completionWriter.onEndRead(currentTerm, jobId, end);
  }

  /**
   * Makes a job's end durable before any user sees it and returns the recorded end; null if its
   * durability is uncertain.
   */
  RecordCodec.JobEnd persistEnd(LeaderTerm term, String jobId, boolean cancelled, long timeoutMs)
      throws InterruptedException {
    return completionWriter.persistEnd(term, jobId, cancelled, timeoutMs);
  }

  /** What the term with this token needs from this controller. */
  private final class ControllerTermContext implements TermContext {
    private final long token;

    ControllerTermContext(long token) {
      this.token = token;
    }

    @Override
    public long leaseCertainUntilMs() {
      return elector.leaseCertainUntilMs();
    }

    @Override
    public int maxDeferredResponses() {
      return ThreadBudget.maxDeferredResponses(settings.maxSockets());
    }

    @Override
    public void stepDown(String reason) {
      elector.stepDown(token, reason);
    }

    @Override
    public void requestPass() {
      ControllerRuntime.this.requestPass();
    }
  }
}
