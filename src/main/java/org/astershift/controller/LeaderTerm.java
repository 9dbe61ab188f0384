package org.astershift.controller;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.astershift.coordination.CancellationLatency;
import org.astershift.coordination.TermJobs;
import org.astershift.http.JsonFormatException;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of a leader: its scheduler, its records and the jobs that it manages. Callable from any
 * thread; operations on both the scheduler and the set of managed jobs hold the scheduler's lock.
 */
final class LeaderTerm {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

  /** The fencing token: the revision at which the leader key was created. */
  final long token;

  final long beganMs = nowMs();
  final LockedScheduler scheduler;
  final LeaderRecords records;
  final CompletionQueue completions = new CompletionQueue();
  private final TermContext context;
  private final TermJobs termJobs;

  /** Guarded by the scheduler's lock. */
  private final CancellationLatency cancellationLatency = new CancellationLatency();

  private final AtomicLong provisioningRequestCount = new AtomicLong();

  LeaderTerm(long token, Scheduler scheduler, LeaderRecords records, TermContext context) {
    this.token = token;
    this.scheduler = new LockedScheduler(scheduler, context);
    this.records = records;
    this.termJobs = new TermJobs(token);
    this.context = context;
  }

  boolean hasEnded() {
    return scheduler.isClosed();
  }

  /** Ends the loops of the term; requests still in flight are fenced by the token. */
  void end() {
    scheduler.close();
    records.close();
    completions.close();
  }

  /** Ends the leadership of this term; must not be called under the scheduler's lock. */
  void stepDown(String reason) {
    context.stepDown(reason);
  }

  /** Steps down after a write whose condition on the leader key failed. */
  void onLeadershipLost() {
    stepDown("a write found that the leader key has changed");
  }

  void requestPass() {
    context.requestPass();
  }

  /** Returns the monotonic time, in milliseconds, before which no other controller can lead. */
  long leaseCertainUntilMs() {
    return context.leaseCertainUntilMs();
  }

  /** Returns the response, which may be deferred; rejected if the term may not answer workers. */
  HeartbeatResult onHeartbeat(Heartbeat heartbeat, long receivedMs) {
    return scheduler.onHeartbeat(heartbeat, receivedMs);
  }

  /** Returns a transaction that commits only while the leader key of this term is unchanged. */
  StoreClient.Transaction newFencedTransaction() {
    return new StoreClient.Transaction().requireRevision(RecordCodec.LEADER_KEY, token);
  }

  /**
   * Steps down if the outcome of a write shows that the leader key has changed; returns whether it
   * did so.
   */
  boolean stepDownIfLeadershipLost(StoreClient.Outcome outcome) {
    if (outcome instanceof StoreClient.Outcome.ConditionFailed conflict
        && conflict.keys().contains(RecordCodec.LEADER_KEY)) {
      onLeadershipLost();
      return true;
    }
    return false;
  }

  /**
   * Loads the records of earlier leaders. Machines come first, as they determine what may be
   * placed.
   */
  void load(WatchCache watchCache) {
    scheduler.callLocked(
        lockedScheduler -> {
          records.load(watchCache.entriesWithPrefix(RecordCodec.LEADER_PAGE_PREFIX));
          loadMachines(lockedScheduler);
          Map<String, Object> openedJobs = records.entries(LeaderRecords.RecordKind.OPENED);
          Map<String, BitSet> doneTasks = loadProgress();
          loadJobs(lockedScheduler, watchCache, openedJobs, doneTasks);
          termJobs.onLoaded();
          // Deletes records that a leader left whose term ended between a job's end and their
          // deletion.
          openedJobs.keySet().forEach(this::deleteRecordsIfUnmanaged);
          doneTasks.keySet().forEach(this::deleteRecordsIfUnmanaged);
          return null;
        });
  }

  private void loadMachines(Scheduler lockedScheduler) {
    long nowMs = nowMs();
    records
        .entries(LeaderRecords.RecordKind.MACHINE)
        .forEach((name, value) -> loadMachine(lockedScheduler, name, value, nowMs));
  }

  private static void loadMachine(
      Scheduler lockedScheduler, String name, Object value, long nowMs) {
    try {
      Decision.RegisterMachine machine = RecordCodec.decodeMachine(name, value);
      if (machine.newlyProvisioned()) {
        Decision.ProvisionMachines request =
            new Decision.ProvisionMachines(machine.typeName(), machine.zone(), machine.spot(), 1);
        lockedScheduler.onMachinesProvisioned("", List.of(name), request, nowMs);
      } else {
        lockedScheduler.addInheritedMachine(
            name, machine.address(), machine.typeName(), machine.zone(), machine.spot(), nowMs);
      }
    } catch (JsonFormatException e) {
      LOG.error("machine record cannot be decoded: machine={}: {}", name, e.getMessage());
    }
  }

  /** Returns the recorded done tasks by job. */
  private Map<String, BitSet> loadProgress() {
    Map<String, BitSet> doneTasks = new HashMap<>();
    records
        .entries(LeaderRecords.RecordKind.PROGRESS)
        .forEach(
            (key, value) -> {
              try {
                BitSet part = new BitSet();
                String jobId = RecordCodec.mergeSegment(part, key, value);
                doneTasks.computeIfAbsent(jobId, j -> new BitSet()).or(part);
              } catch (JsonFormatException e) {
                LOG.error("progress record cannot be decoded: {}", e.getMessage());
              }
            });
    return doneTasks;
  }

  private void loadJobs(
      Scheduler lockedScheduler,
      WatchCache watchCache,
      Map<String, Object> openedJobs,
      Map<String, BitSet> doneTasks) {
    for (StoreClient.Entry entry : watchCache.entriesWithPrefix(RecordCodec.LIVE_JOB_PREFIX)) {
      String jobId = entry.key().substring(RecordCodec.LIVE_JOB_PREFIX.length());
      addJob(entry, openedJobs.containsKey(jobId), doneTasks.getOrDefault(jobId, new BitSet()));
      lockedScheduler.restorePlacement(jobId, RecordCodec.decodePlacement(openedJobs.get(jobId)));
    }
  }

  private void deleteRecordsIfUnmanaged(String jobId) {
    if (!termJobs.manages(jobId)) {
      deleteRecords(jobId);
    }
  }

  /** Adds a job whose live record was read. */
  void addJob(StoreClient.Entry entry) {
    addJob(entry, false, new BitSet());
  }

  private void addJob(StoreClient.Entry entry, boolean opened, BitSet doneTasks) {
    try {
      addJob(RecordCodec.decodeJob(entry.key(), entry.data()), entry.revision(), opened, doneTasks);
    } catch (JsonFormatException | RuntimeException e) {
      LOG.error("job record cannot be decoded: key={}: {}", entry.key(), e.getMessage());
    }
  }

  /** Adds a job that this controller accepted and recorded at this revision. */
  void addJob(RecordCodec.JobRecord record, long revision) {
    addJob(record, revision, false, new BitSet());
  }

  private void addJob(
      RecordCodec.JobRecord record, long revision, boolean opened, BitSet doneTasks) {
    scheduler.callLocked(
        lockedScheduler -> {
          if (termJobs.adopt(record.spec().id(), revision)) {
            long ageMs = Math.max(0, System.currentTimeMillis() - record.submittedMs());
            lockedScheduler.addJob(record.spec(), opened, doneTasks, nowMs() - ageMs);
          }
          return null;
        });
  }

  /** Returns the jobs that this term manages. */
  TermJobs termJobs() {
    return termJobs;
  }

  /**
   * Returns the progress of a live job as its user may see it; null if this term does not manage
   * the job, or the job's end may already be recorded.
   */
  Scheduler.JobProgress progressIfCurrent(String jobId) {
    return scheduler.callLocked(
        lockedScheduler -> termJobs.mayHaveEnded(jobId) ? null : lockedScheduler.progress(jobId));
  }

  /** Returns whether this term manages the job. */
  boolean manages(String jobId) {
    return termJobs.manages(jobId);
  }

  /**
   * Handles a user's cancellation, which arrived at {@code arrivedMs}: from now on no task of the
   * job starts.
   */
  void requestCancel(String jobId, long arrivedMs) {
    scheduler.callLocked(
        lockedScheduler -> {
          if (termJobs.manages(jobId)) { // the job may just have ended
            cancellationLatency.onCancelRequested(jobId, arrivedMs);
            lockedScheduler.requestCancellation(jobId);
          }
          return null;
        });
  }

  /**
   * The state that determines whether a job's cancellation can be confirmed.
   *
   * @param isFenced whether an older leader cannot renew the lease of any machine that may hold a
   *     task of the job
   * @param hasStartInFlight whether a start of a task of the job is in flight or unconfirmed
   * @param isComplete whether all tasks of the job are done
   */
  record CancellationState(boolean isFenced, boolean hasStartInFlight, boolean isComplete) {
    static final CancellationState NOT_MANAGED = new CancellationState(false, false, false);
  }

  /** Returns a consistent snapshot of the state of the job's cancellation. */
  CancellationState cancellationState(String jobId) {
    return scheduler.callLocked(
        lockedScheduler -> {
          Scheduler.JobProgress progress = lockedScheduler.progress(jobId);
          return new CancellationState(
              lockedScheduler.canConfirmCancellation(jobId),
              lockedScheduler.mayStillStart(jobId),
              progress != null && progress.complete());
        });
  }

  /** Returns a log line on cancellations since the last call; null if there were none. */
  String cancellationSummary() {
    return scheduler.callLocked(lockedScheduler -> cancellationLatency.summary(nowMs()));
  }

  /** Removes a job whose end is durable. */
  void onJobEnded(String jobId, boolean cancelled) {
    scheduler.callLocked(
        lockedScheduler -> {
          termJobs.onEnded(jobId);
          cancellationLatency.onJobEnded(jobId, cancelled, nowMs());
          lockedScheduler.onJobEnded(jobId, cancelled, nowMs());
          deleteRecords(jobId);
          return null;
        });
  }

  private void deleteRecords(String jobId) {
    records.remove(LeaderRecords.RecordKind.OPENED, jobId, LeaderRecords.REMOVAL_DELAY_MS);
    for (String key : records.keysWithPrefix(LeaderRecords.RecordKind.PROGRESS, jobId + "/")) {
      records.remove(LeaderRecords.RecordKind.PROGRESS, key, LeaderRecords.REMOVAL_DELAY_MS);
    }
  }

  /** Returns a name for a provisioning request that no other controller and no other term uses. */
  String nextProvisioningRequestName() {
    return "as-" + token + "-" + provisioningRequestCount.incrementAndGet();
  }

  /** Returns the numbers of machines, opened jobs and jobs of the term, for the log. */
  String inventorySummary() {
    return "machines="
        + records.count(LeaderRecords.RecordKind.MACHINE)
        + " opened_jobs="
        + records.count(LeaderRecords.RecordKind.OPENED)
        + " jobs="
        + termJobs.count();
  }

  /** Returns the time of the monotonic clock in milliseconds. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
