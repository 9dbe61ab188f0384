package org.astershift.controller;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.coordination.CancellationLatency;
import org.astershift.coordination.TermJobs;
import org.astershift.http.JsonFormatException;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Scheduler;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One leader's time in office: its scheduler, its notes, and the jobs it looks after. */
final class LeaderTerm {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
  final long token;
  final long beganMs = nowMs();

  /** Used by one thread at a time: under the lock of this object. */
  final Scheduler scheduler;

  final LeaderRecords records;
  final CompletionQueue completions = new CompletionQueue();
  private final Runnable stepDown;
  private volatile boolean ended;
  private final TermJobs termJobs;
  private final CancellationLatency cancellationLatency = new CancellationLatency();
  private long rentalCount;

  /** {@code stepDown} is called when it is certain that another leads. */
  LeaderTerm(long token, Scheduler scheduler, LeaderRecords records, Runnable stepDown) {
    this.token = token;
    this.scheduler = scheduler;
    this.records = records;
    this.termJobs = new TermJobs(token);
    this.stepDown = stepDown;
  }

  boolean ended() {
    return ended;
  }

  void end() {
    ended = true;
    records.close();
    completions.close();
  }

  /** A write found another leader's key. */
  void onLeadershipLost() {
    stepDown.run();
  }

  /** A transaction that fails when it is applied late, after another leader took over. */
  StoreClient.Transaction transaction() {
    return new StoreClient.Transaction().when(RecordCodec.LEADER, token);
  }

  /** Whether the outcome shows that another leads, which ends the term. */
  boolean checkLeadershipLost(StoreClient.Outcome outcome) {
    if (outcome instanceof StoreClient.Outcome.ConditionFailed conflict
        && conflict.keys().contains(RecordCodec.LEADER)) {
      onLeadershipLost();
      return true;
    }
    return false;
  }

  /** Takes in all that the mirror holds: machines first, they decide what may be placed. */
  synchronized void load(WatchCache watchCache) {
    records.load(watchCache.entriesWithPrefix(RecordCodec.PAGES));
    long nowMs = nowMs();
    records
        .entries(LeaderRecords.RecordKind.MACHINE)
        .forEach((name, value) -> loadMachine(name, value, nowMs));
    Map<String, Object> openedJobs = records.entries(LeaderRecords.RecordKind.OPENED);
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
                LOG.error(e.getMessage());
              }
            });
    for (StoreClient.Entry entry : watchCache.entriesWithPrefix(RecordCodec.JOB)) {
      String jobId = entry.key().substring(RecordCodec.JOB.length());
      addJob(entry, openedJobs.containsKey(jobId), doneTasks.getOrDefault(jobId, new BitSet()));
      scheduler.restorePlacement(jobId, RecordCodec.decodePlacement(openedJobs.get(jobId)));
    }
    termJobs.onLoaded();
    // Left by a leader that ended between a job's end and the striking of its notes.
    for (String jobId : openedJobs.keySet()) {
      deleteRecordsIfUnmanaged(jobId);
    }
    for (String jobId : doneTasks.keySet()) {
      deleteRecordsIfUnmanaged(jobId);
    }
  }

  private void deleteRecordsIfUnmanaged(String jobId) {
    if (!termJobs.manages(jobId)) {
      deleteRecords(jobId);
    }
  }

  private void loadMachine(String name, Object value, long nowMs) {
    try {
      Decision.RegisterMachine e = RecordCodec.decodeMachine(name, value);
      if (e.newlyProvisioned()) {
        Decision.ProvisionMachines request =
            new Decision.ProvisionMachines(e.typeName(), e.zone(), e.spot(), 1);
        scheduler.onMachinesProvisioned("", List.of(name), request, nowMs);
      } else {
        scheduler.addInheritedMachine(name, e.address(), e.typeName(), e.zone(), e.spot(), nowMs);
      }
    } catch (JsonFormatException e) {
      LOG.error("note of machine {} cannot be read: {}", name, e.getMessage());
    }
  }

  /** A job whose live record was read. */
  void addJob(StoreClient.Entry entry) {
    addJob(entry, false, new BitSet());
  }

  private void addJob(StoreClient.Entry entry, boolean opened, BitSet doneTasks) {
    try {
      addJob(RecordCodec.decodeJob(entry.key(), entry.data()), entry.revision(), opened, doneTasks);
    } catch (JsonFormatException | RuntimeException e) {
      LOG.error("record {} cannot be read: {}", entry.key(), e.getMessage());
    }
  }

  /** A job that this node accepted, recorded at this revision. */
  void addJob(RecordCodec.JobRecord record, long revision) {
    addJob(record, revision, false, new BitSet());
  }

  private synchronized void addJob(
      RecordCodec.JobRecord record, long revision, boolean opened, BitSet doneTasks) {
    if (termJobs.adopt(record.spec().id(), revision)) {
      long ageMs = Math.max(0, System.currentTimeMillis() - record.submittedMs());
      scheduler.addJob(record.spec(), opened, doneTasks, nowMs() - ageMs);
    }
  }

  /** Which jobs this term looks after, and what may be told of them. */
  TermJobs termJobs() {
    return termJobs;
  }

  /**
   * A live job as its user may be told of it; null if this term does not look after it, or its end
   * may be on record already.
   */
  synchronized Scheduler.JobProgress progressIfCurrent(String jobId) {
    return termJobs.mayHaveEnded(jobId) ? null : scheduler.progress(jobId);
  }

  /** Whether this term looks after the job. */
  boolean manages(String jobId) {
    return termJobs.manages(jobId);
  }

  /** A user's wish to cancel the job came at {@code arrivedMs}; nothing of it starts any more. */
  synchronized void requestCancel(String jobId, long arrivedMs) {
    if (termJobs.manages(jobId)) { // it may have ended a moment ago
      cancellationLatency.onCancelRequested(jobId, arrivedMs);
      scheduler.requestCancellation(jobId);
    }
  }

  /** For the log: how long users wait for their cancellations; null if there are none. */
  synchronized String cancellationSummary() {
    return cancellationLatency.summary(nowMs());
  }

  synchronized void onJobEnded(String jobId, boolean cancelled) {
    termJobs.onEnded(jobId);
    cancellationLatency.onJobEnded(jobId, cancelled, nowMs());
    scheduler.onJobEnded(jobId, cancelled, nowMs());
    deleteRecords(jobId);
  }

  private void deleteRecords(String jobId) {
    records.remove(LeaderRecords.RecordKind.OPENED, jobId, LeaderRecords.DEREGISTER_DELAY_MS);
    for (String key : records.keysWithPrefix(LeaderRecords.RecordKind.PROGRESS, jobId + "/")) {
      records.remove(LeaderRecords.RecordKind.PROGRESS, key, LeaderRecords.DEREGISTER_DELAY_MS);
    }
  }

  /** A name for a rental that no other node, and no other term, uses. */
  synchronized String nextRentalName() {
    return "as-" + token + "-" + ++rentalCount;
  }

  /** The steady clock in milliseconds. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
