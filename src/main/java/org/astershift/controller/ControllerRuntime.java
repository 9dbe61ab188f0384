package org.astershift.controller;

import java.util.List;
import java.util.Map;
import org.astershift.cloud.CloudClient;
import org.astershift.config.Settings;
import org.astershift.config.ThreadBudget;
import org.astershift.coordination.Candidacy;
import org.astershift.http.TaskPool;
import org.astershift.http.Threads;
import org.astershift.scheduler.Command;
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

  /** Held while a term begins or ends: one that is over must not become current late. */
  private final Object termLock = new Object();

  /** {@code peers}: channels to the other controllers, by node name. */
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
    TaskPool probePool = Threads.pool("probe", ThreadBudget.MACHINE_PROBE_THREADS);
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

  /** Whether this node should get users' requests. */
  public boolean isReady() {
    return watchCache.loaded() && !connectivity.isPartitionedFromStore();
  }

  /** The leader's key as far as known here, or null. */
  StoreClient.Entry leaderEntry() {
    return elector.leaderEntry();
  }

  /** Another node reports the leader's fencing token. */
  void onLeaderObserved(long token) {
    elector.onLeaderObserved(token);
  }

  String node() {
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

  /** Gives the leadership up, as another node reaches more of the fleet. */
  void transferLeadership(LeaderTerm term, String reason) {
    elector.resign(term.token, reason);
  }

  /** The other node that leads, as far as known here, or null. */
  public String otherLeader() {
    String leader =
        connectivity.isPartitionedFromStore() ? connectivity.reportedLeader() : elector.leader();
    return settings.nodeName().equals(leader) ? null : leader;
  }

  /** Machine types by name; empty until the cloud or the store was read. */
  public Map<String, MachineType> types() {
    return cloudPoller.types();
  }

  /** The present term, or null. */
  LeaderTerm currentTerm() {
    return currentTerm;
  }

  /** Whether no other node can have become leader since this term began. */
  boolean isLeaseCertain(LeaderTerm term) {
    return elector.isLeaseCertain(term.token);
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
        cloudPoller.onTypesRecord(entry.data());
      } else if (entry.key().startsWith(RecordCodec.JOB) && entry.data() != null) {
        onJobRecord(entry);
      }
    }
  }

  /** A live job was read from the store. */
  void onJobRecord(StoreClient.Entry entry) {
    LeaderTerm term = currentTerm;
    if (term != null && endedJobs.get(entry.key().substring(RecordCodec.JOB.length())) == null) {
      term.addJob(entry);
      requestPass();
    }
  }

  /** A job was accepted here and recorded at this revision. */
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
    term.scheduler.updateMachineTypes(cloudPoller.types());
    long revision = watchCache.revision();
    term.load(watchCache);
    LOG.info(
        "term begins: node={} token={} revision={} {} load_ms={} lease_certain_for_ms={}",
        settings.nodeName(),
        token,
        revision,
        term.inventory(),
        LeaderTerm.nowMs() - term.beganMs,
        elector.leaseCertainUntilMs() - LeaderTerm.nowMs());
    synchronized (termLock) {
      if (elector.token() != token) {
        term.end(); // over before it began
        return;
      }
      currentTerm = term;
    }
    // Changes between the load and here reached no term.
    for (StoreClient.Entry entry : watchCache.entriesWithPrefix(RecordCodec.JOB)) {
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
        token, new Scheduler(settings.limits(), policy, token), records, new Host(token));
  }

  /**
   * Throws where a thread cannot start; the caller then gives the term up, since a leader without
   * all loops would hold the lease and place nothing.
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
        return; // a later term has begun meanwhile
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
   * Commands for the response to a heartbeat, which reached this node at {@code receivedMs}; null
   * if this node must not answer it.
   */
  public List<Command> onHeartbeat(Heartbeat heartbeat, long token, long receivedMs) {
    LeaderTerm term = currentTerm;
    return term == null || term.token != token ? null : term.onHeartbeat(heartbeat, receivedMs);
  }

  /** The steady clock in milliseconds. */
  public static long nowMs() {
    return LeaderTerm.nowMs();
  }

  /** Fencing token for the response to a heartbeat; 0 if this node does not lead. */
  public long token() {
    LeaderTerm term = currentTerm;
    return term == null ? 0 : term.token;
  }

  /** The end of a job was read from the store. */
  void onEndRead(String jobId, RecordCodec.JobEnd end) {
    completionWriter.onEndRead(currentTerm, jobId, end);
  }

  /** Makes the job's end durable before any user sees it; null if that is not certain yet. */
  RecordCodec.JobEnd persistEnd(LeaderTerm term, String jobId, boolean cancelled, long timeoutMs)
      throws InterruptedException {
    return completionWriter.persistEnd(term, jobId, cancelled, timeoutMs);
  }

  /** What the term of this token uses of this controller. */
  private final class Host implements TermHost {
    private final long token;

    Host(long token) {
      this.token = token;
    }

    @Override
    public long leaseCertainUntilMs() {
      return elector.leaseCertainUntilMs();
    }

    @Override
    public boolean isLeaseCertain() {
      return elector.isLeaseCertain(token);
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
