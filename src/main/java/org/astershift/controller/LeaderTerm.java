package org.astershift.controller;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.astershift.coordination.CancellationLatency;
import org.astershift.coordination.TermJobs;
import org.astershift.http.JsonFormatException;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of a leader: its scheduler, its records and the jobs it manages. Callable from any
 * thread; what touches the scheduler and the job bookkeeping together holds the scheduler's lock.
 */
final class LeaderTerm {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

  /** Fencing token: the revision at which the leader's key was created. */
  final long token;

  final long beganMs = nowMs();
  final LockedScheduler scheduler;
  final LeaderRecords records;
  final CompletionQueue completions = new CompletionQueue();
  private final TermHost host;
  private final TermJobs termJobs;

  /** Under the scheduler's lock. */
  private final CancellationLatency cancellationLatency = new CancellationLatency();

  private final AtomicLong rentalCount = new AtomicLong();

  LeaderTerm(long token, Scheduler scheduler, LeaderRecords records, TermHost host) {
    this.token = token;
    this.scheduler = new LockedScheduler(scheduler, host);
    this.records = records;
    this.termJobs = new TermJobs(token);
    this.host = host;
  }

  boolean hasEnded() {
    return scheduler.closed();
  }

  /** Ends the loops of the term; what they have in flight is fenced by the token. */
  void end() {
    scheduler.close();
    records.close();
    completions.close();
  }

  /** Asks for the term's end; not under the scheduler's lock. */
  void stepDown(String reason) {
    host.stepDown(reason);
  }

  /** A write found another leader's key. */
  void onLeadershipLost() {
    stepDown("a write found another leader");
  }

  void requestPass() {
    host.requestPass();
  }

  /** Steady-clock milliseconds before which no other controller can have become leader. */
  long leaseCertainUntilMs() {
    return host.leaseCertainUntilMs();
  }

  /** Commands for the response; null if this term must not answer workers any more. */
  List<Command> onHeartbeat(Heartbeat heartbeat, long receivedMs) {
    return scheduler.onHeartbeat(heartbeat, receivedMs);
  }

  /** A transaction that fails if it is applied late, after another leader took over. */
  StoreClient.Transaction transaction() {
    return new StoreClient.Transaction().when(RecordCodec.LEADER, token);
  }

  /** Whether the outcome shows that another controller leads, which ends the term. */
  boolean stepDownIfLeadershipLost(StoreClient.Outcome outcome) {
    if (outcome instanceof StoreClient.Outcome.ConditionFailed conflict
        && conflict.keys().contains(RecordCodec.LEADER)) {
      onLeadershipLost();
      return true;
    }
    return false;
  }

  /** Loads what earlier leaders recorded: machines first, as they decide what may be placed. */
  void load(WatchCache watchCache) {
    scheduler.call(
        lockedScheduler -> {
          records.load(watchCache.entriesWithPrefix(RecordCodec.PAGES));
          loadMachines(lockedScheduler);
          Map<String, Object> openedJobs = records.entries(LeaderRecords.RecordKind.OPENED);
          Map<String, BitSet> doneTasks = loadProgress();
          loadJobs(lockedScheduler, watchCache, openedJobs, doneTasks);
          termJobs.onLoaded();
          // Left by a leader that ended between a job's end and the deletion of its records.
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
      LOG.error("machine record cannot be decoded, machine={}: {}", name, e.getMessage());
    }
  }

  /** Done tasks by job. */
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
    for (StoreClient.Entry entry : watchCache.entriesWithPrefix(RecordCodec.JOB)) {
      String jobId = entry.key().substring(RecordCodec.JOB.length());
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
      LOG.error("job record cannot be decoded, key={}: {}", entry.key(), e.getMessage());
    }
  }

  /** Adds a job that this node accepted and recorded at this revision. */
  void addJob(RecordCodec.JobRecord record, long revision) {
    addJob(record, revision, false, new BitSet());
  }

  private void addJob(
      RecordCodec.JobRecord record, long revision, boolean opened, BitSet doneTasks) {
    scheduler.call(
        lockedScheduler -> {
          if (termJobs.adopt(record.spec().id(), revision)) {
            long ageMs = Math.max(0, System.currentTimeMillis() - record.submittedMs());
            lockedScheduler.addJob(record.spec(), opened, doneTasks, nowMs() - ageMs);
          }
          return null;
        });
  }

  /** Which jobs this term manages, and which of them may have ended. */
  TermJobs termJobs() {
    return termJobs;
  }

  /**
   * The progress of a live job as its user may see it; null if this term does not manage the job,
   * or the job's end may be recorded already.
   */
  Scheduler.JobProgress progressIfCurrent(String jobId) {
    return scheduler.call(
        lockedScheduler -> termJobs.mayHaveEnded(jobId) ? null : lockedScheduler.progress(jobId));
  }

  /** Whether this term manages the job. */
  boolean manages(String jobId) {
    return termJobs.manages(jobId);
  }

  /** A user's cancellation arrived at {@code arrivedMs}; no task of the job starts from now on. */
  void requestCancel(String jobId, long arrivedMs) {
    scheduler.call(
        lockedScheduler -> {
          if (termJobs.manages(jobId)) { // it may have ended a moment ago
            cancellationLatency.onCancelRequested(jobId, arrivedMs);
            lockedScheduler.requestCancellation(jobId);
          }
          return null;
        });
  }

  /**
   * What decides whether a cancellation can be confirmed. {@code fenced}: no machine that may hold
   * a task of the job can be renewed by an older leader; {@code startInFlight}: a start of it is
   * being sent; {@code complete}: all of its tasks are done.
   */
  record CancellationState(boolean fenced, boolean startInFlight, boolean complete) {
    static final CancellationState NOT_MANAGED = new CancellationState(false, false, false);
  }

  /** All three as of one moment. */
  CancellationState cancellationState(String jobId) {
    return scheduler.call(
        lockedScheduler -> {
          Scheduler.JobProgress progress = lockedScheduler.progress(jobId);
          return new CancellationState(
              lockedScheduler.canConfirmCancellation(jobId),
              lockedScheduler.mayStart(jobId),
              progress != null && progress.complete());
        });
  }

  /** For the log: how long cancellations took; null if there were none. */
  String cancellationSummary() {
    return scheduler.call(lockedScheduler -> cancellationLatency.summary(nowMs()));
  }

  /** The job's end is durable. */
  void onJobEnded(String jobId, boolean cancelled) {
    scheduler.call(
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

  /** A rental name that no other node and no other term uses. */
  String nextRentalName() {
    return "as-" + token + "-" + rentalCount.incrementAndGet();
  }

  /** For the log: what the term began with. */
  String inventory() {
    return "machines="
        + records.count(LeaderRecords.RecordKind.MACHINE)
        + " opened_jobs="
        + records.count(LeaderRecords.RecordKind.OPENED)
        + " jobs="
        + termJobs.count();
  }

  /** The steady clock in milliseconds. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
