package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Brings what is known of machines and tasks up to what workers say of themselves. */
final class HeartbeatReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

  /** Milliseconds without new starts on a machine that refused one: its report is on the way. */
  private static final long START_REJECTED_BACKOFF_MS = 1000;

  /** Milliseconds without starts of a job that a machine does not know: its upload may be late. */
  private static final long UNKNOWN_JOB_BACKOFF_MS = 1000;

  private final ClusterState cluster;
  private final FaultAttribution faultAttribution;
  private boolean deposed;

  HeartbeatReconciler(ClusterState cluster) {
    this.cluster = cluster;
    this.faultAttribution = new FaultAttribution(cluster);
  }

  /** A worker showed a higher token: another leader has taken over. */
  boolean deposed() {
    return deposed;
  }

  /**
   * Whose report it is, whatever its age. A token is never taken back, so a higher one counts from
   * any copy; a machine that nobody knows is taken in, and used once more than hearsay speaks for
   * it.
   */
  Machine senderOf(Heartbeat heartbeat, long nowMs) {
    if (heartbeat.fencingToken() > cluster.fencingToken) {
      deposed = true;
    }
    Machine machine = cluster.machines.get(heartbeat.machineName());
    if (machine == null) {
      machine =
          new Machine(
              heartbeat.machineName(),
              heartbeat.address(),
              heartbeat.typeName(),
              heartbeat.zone(),
              heartbeat.spot(),
              Machine.State.LIVE,
              nowMs);
      machine.unverified = true;
      cluster.addMachine(machine);
      LOG.info(
          "machine {} ({} in {}) reports and was not asked for: taken in",
          machine.name,
          machine.typeName,
          machine.zone);
    }
    return machine;
  }

  /** What a message that came as a report proves. */
  enum Evidence {
    /** The machine said this, and after all that is known of it. */
    CURRENT,
    /**
     * A copy, or what the worker gave up: one report is under way at a time, and a newer one came.
     * No answer to it reaches anybody, so it renews no lease.
     */
    STALE,
    /** Of this life of the machine or of an earlier one: only its answer to a question tells. */
    LIVENESS_ONLY,
    /**
     * The same, and it says that what is held there is gone. It is not answered: if the machine is
     * asked in vain, its lease runs out by this leader's clock.
     */
    CONTRADICTORY
  }

  /**
   * Session and tick order what a machine says within one life, but it may begin anew under its
   * name, from session 1, and copies of what it said before come for minutes. Taken for news, a
   * copy with a higher session dropped tasks that ran, which then ran twice (seeds 516 and 3143 of
   * the swarm).
   */
  Evidence classify(Machine machine, Heartbeat heartbeat) {
    boolean lowerFencingToken = machine.fenced && heartbeat.fencingToken() < cluster.fencingToken;
    boolean higherEpoch =
        machine.fenced
            && heartbeat.epoch() > machine.epoch
            && machine.epoch > 0
            && machine.hasAttempts();
    boolean attemptMissing =
        !machine.restartedInTerm
            && heartbeat.epoch() == machine.epoch
            && lacksShownAttempt(machine, heartbeat);
    machine.restartSuspected |= lowerFencingToken || attemptMissing;
    if (lowerFencingToken || higherEpoch || attemptMissing) {
      return Evidence.CONTRADICTORY;
    }
    if (!heartbeat.newerThan(machine.heartbeatEpoch, machine.heartbeatSequence)
        || heartbeat.epoch() < machine.epoch) {
      return Evidence.STALE;
    }
    return machine.restartedInTerm ? Evidence.LIVENESS_ONLY : Evidence.CURRENT;
  }

  /**
   * Notes of which incarnation a message is; {@code directResponse}: to a direct order of this
   * leader.
   */
  void trackIncarnation(Machine machine, Heartbeat heartbeat, boolean directResponse, long nowMs) {
    if (!heartbeat.newerThan(machine.epoch, machine.sequence)) {
      return;
    }
    boolean leaseUncertain = cluster.incarnations.leaseUncertain(nowMs);
    if (leaseUncertain
        && !cluster.incarnations.isSameIncarnation(machine, heartbeat, directResponse, nowMs)) {
      cluster.onUnprovenIncarnation(machine);
    }
    cluster.incarnations.onMessage(machine, heartbeat, directResponse, nowMs);
  }

  /**
   * Whether the report lacks a task that was shown and has not ended. Within a session a task stays
   * in its machine's reports until it is cleared, so this one is of another incarnation: it was
   * held back on its way, or the machine restarted and has sent more by now than before.
   */
  private static boolean lacksShownAttempt(Machine machine, Heartbeat heartbeat) {
    if (!heartbeat.newerThan(machine.epoch, machine.sequence)) {
      return false;
    }
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.phase != null && !attempt.exited() && !heartbeat.showsAttempt(attempt.key)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Notes that the machine spoke. A copy of an old report may come any time later, from before its
   * return, its loss or a change of leaders: what is not newer moves no clock and revives nothing.
   */
  void recordContact(Machine machine, Heartbeat heartbeat, long nowMs) {
    if (!heartbeat.newerThan(machine.epoch, machine.sequence)) {
      return;
    }
    machine.address = heartbeat.address();
    machine.lastMessageMs = nowMs;
    machine.firstMessageMs = machine.firstMessageMs < 0 ? nowMs : machine.firstMessageMs;
    cluster.zonePartitions.clear(machine.zone);
    if (heartbeat.fencingToken() == cluster.fencingToken) {
      cluster.fence(machine, nowMs);
    }
    if (machine.state == Machine.State.BOOTING || machine.state == Machine.State.LEASE_EXPIRED) {
      LOG.info(
          "machine {} ({} in {}) is up after {} ms",
          machine.name,
          machine.typeName,
          machine.zone,
          nowMs - machine.firstKnownMs);
      machine.idleSinceMs = nowMs;
      cluster.enterState(machine, Machine.State.LIVE);
    } else if (machine.state == Machine.State.UNRECONCILED && machine.fenced) {
      machine.idleSinceMs = nowMs;
      cluster.enterState(machine, Machine.State.LIVE);
    }
  }

  /**
   * Brings what is known of the machine up to this report; false if the report is not newer. {@code
   * previousAnswered}: the one before it was answered well within a lease.
   */
  boolean reconcile(Machine machine, Heartbeat heartbeat, boolean previousAnswered, long nowMs) {
    if (!heartbeat.newerThan(machine.epoch, machine.sequence)) {
      return false;
    }
    if (heartbeat.epoch() > machine.epoch) {
      if (machine.epoch > 0 && previousAnswered) {
        machine.staleMessageSeen = true; // its lease ran out all the same: do answers reach it?
      }
      for (TaskAttempt attempt : new ArrayList<>(machine.attempts.values())) {
        if (attempt.startPending() && attempt.startEpoch >= heartbeat.epoch()) {
          continue; // of a life before: the order may be meant for this session, too
        }
        LOG.info("task {} on {} ended with its session", attempt.name(), machine.name);
        cluster.attempts.drop(attempt);
      }
      // A session's lease counts from its own beginning, which may be long after the last report
      // that found its way here: told by the answer to an order, it was taken for run out by that
      // report's time, and what had been started in it ran twice.
      machine.leaseFromMs = Math.max(machine.leaseFromMs, nowMs);
    }
    machine.epoch = heartbeat.epoch();
    machine.sequence = heartbeat.sequence();
    machine.directCommandFailures =
        machine.inboundPartitionedUnreconciled() ? machine.directCommandFailures : 0;
    machine.silentCommandUnanswered &= machine.inboundPartitionedUnreconciled();
    if (heartbeat.preemptionNoticeS() != null && machine.preemptionNoticeS == null) {
      LOG.info(
          "machine {} will be taken back in {} s", machine.name, heartbeat.preemptionNoticeS());
      cluster.requestPass();
    }
    machine.preemptionNoticeS = heartbeat.preemptionNoticeS();
    List<Heartbeat.TaskStatus> unknownTasks = new ArrayList<>(0);
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      TaskAttempt attempt =
          machine.attempts.get(
              new TaskAttempt.Key(status.jobId(), status.index(), status.attemptNumber()));
      if (attempt == null) {
        unknownTasks.add(status);
      } else {
        attempt.lastShownSequence = heartbeat.sequence();
        updateAttempt(attempt, status, nowMs);
      }
    }
    List<TaskAttempt> absentAttempts = new ArrayList<>(0);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.phase != null && attempt.lastShownSequence != heartbeat.sequence()) {
        absentAttempts.add(attempt);
      }
    }
    for (TaskAttempt attempt : absentAttempts) {
      cluster.attempts.drop(attempt);
    }
    for (Heartbeat.TaskStatus status : unknownTasks) {
      adoptAttempt(machine, status, heartbeat.sequence(), nowMs);
    }
    if (!machine.idle()) {
      machine.idleSinceMs = nowMs;
    }
    return true;
  }

  private void updateAttempt(TaskAttempt attempt, Heartbeat.TaskStatus status, long nowMs) {
    if (attempt.exited() || attempt.phase == status.phase()) {
      return;
    }
    Job job = attempt.job;
    Machine machine = attempt.machine;
    attempt.startSent = true;
    if (status.closesAttempt()) {
      job.closeAttempt(attempt.attemptNumber);
    }
    if (attempt.phase == null) {
      machine.consecutiveUnanswered = 0; // an order of ours has reached it
    }
    if (status.phase() != Heartbeat.TaskPhase.FETCHING
        && status.phase() != Heartbeat.TaskPhase.EXITED) {
      if (attempt.phase == null || attempt.phase == Heartbeat.TaskPhase.FETCHING) {
        machine.touchImage(job.spec.image(), job.spec.imageGb());
      }
      if (status.phase() == Heartbeat.TaskPhase.RUNNING && attempt.runningSinceMs < 0) {
        attempt.runningSinceMs = nowMs;
        cluster.serviceStatistics.onStarted(job, nowMs);
        LOG.debug(
            "task {} runs on {}, {} ms after it was placed",
            attempt.name(),
            machine.name,
            nowMs - attempt.placedMs);
      }
    }
    if (status.phase() != Heartbeat.TaskPhase.EXITED) {
      job.updatePhase(attempt, status.phase());
      completeGangStop(attempt);
      return;
    }
    cluster.attempts.release(attempt);
    if (!"done".equals(status.exitReason())) {
      job.unsuccessfulAttempts++;
    }
    attempt.phase = Heartbeat.TaskPhase.EXITED;
    attempt.exitReason = status.exitReason();
    onExited(attempt, nowMs);
  }

  private void onExited(TaskAttempt attempt, long nowMs) {
    Job job = attempt.job;
    Machine machine = attempt.machine;
    String exitReason = attempt.exitReason == null ? "?" : attempt.exitReason;
    if (job.state != Job.State.LIVE) {
      return;
    }
    switch (exitReason) {
      case "done" -> {
        faultAttribution.onTaskCompleted(job, machine);
        if (job.spec.kind() != JobKind.SERVICE) {
          cluster.markDone(job, attempt.index);
        }
      }
      case "error" -> {
        LOG.info("task {} failed on {}", attempt.name(), machine.name);
        faultAttribution.onTaskFailed(attempt, nowMs);
      }
      case "no_room", "in_use", "unknown" -> {
        LOG.info("start of {} refused by {}: {}", attempt.name(), machine.name, exitReason);
        machine.cordonedUntilMs = nowMs + START_REJECTED_BACKOFF_MS;
        if (exitReason.equals("unknown")) {
          job.pausedUntilMs = nowMs + UNKNOWN_JOB_BACKOFF_MS;
        }
      }
      case "incomplete" -> {
        LOG.info("gang task {} on {} gave up waiting for the others", attempt.name(), machine.name);
        cluster.attempts.stopIncompleteGang(job, attempt.attemptNumber);
      }
      default -> {
        LOG.debug("task {} on {} exited: {}", attempt.name(), machine.name, exitReason);
        cluster.requestPass();
      }
    }
  }

  private void adoptAttempt(
      Machine machine, Heartbeat.TaskStatus status, long sequence, long nowMs) {
    Job job = cluster.jobs.get(status.jobId());
    if (job == null || status.index() >= job.spec.tasks()) {
      job = orphanedJob(status);
    }
    TaskAttempt attempt =
        new TaskAttempt(job, status.index(), status.attemptNumber(), machine, nowMs);
    attempt.startSent = true;
    attempt.phase = status.phase();
    attempt.exitReason = status.exitReason();
    attempt.lastShownSequence = sequence;
    cluster.attempts.adopt(attempt);
    if (status.closesAttempt()) {
      job.closeAttempt(attempt.attemptNumber);
    }
    if (attempt.exited()) {
      onExited(attempt, nowMs);
      return;
    }
    if (status.phase() == Heartbeat.TaskPhase.RUNNING) {
      attempt.runningSinceMs = nowMs;
    }
    if (status.phase() != Heartbeat.TaskPhase.FETCHING) {
      machine.touchImage(job.spec.image(), job.spec.imageGb());
    }
    TaskAttempt other = job.attempts.get(attempt.index);
    if (other != null && !other.startSent && !other.startPending()) {
      cluster.attempts.drop(other);
      other = null;
    }
    if (other != null && machine.fenced && !other.machine.fenced && job.state == Job.State.LIVE) {
      // What the other said may be a copy of an old report, this leader's first word of it. This
      // one shows the token, so it has the task now, and a task is never on two machines.
      LOG.info("task {} is on {} and not on {}", attempt.name(), machine.name, other.machine.name);
      job.release(other);
      job.duplicateAttempts.add(other);
      other.stopping = true;
      other = null;
    }
    if (job.state != Job.State.LIVE || job.doneTasks.get(attempt.index) || other != null) {
      LOG.info(
          "task {} attempt {} on {} is not wanted: stopped",
          attempt.name(),
          attempt.attemptNumber,
          machine.name);
      attempt.stopping = true;
      if (other != null) {
        job.duplicateAttempts.add(attempt);
      }
      return;
    }
    cluster.attempts.holdTask(attempt);
    completeGangStop(attempt);
    job.opened = true;
    if (status.phase() == Heartbeat.TaskPhase.RUNNING) {
      cluster.serviceStatistics.onStarted(job, nowMs);
    }
  }

  /**
   * An earlier leader began to stop this gang. Tasks that are not told within {@code gang_peer_s}
   * of the first fail its save, and those told end all the same: so the others are told at once.
   */
  private void completeGangStop(TaskAttempt attempt) {
    Job job = attempt.job;
    if (job.spec.kind() != JobKind.GANG || job.state != Job.State.LIVE) {
      return;
    }
    boolean stopBegun = false;
    boolean someNotStopping = false;
    for (TaskAttempt other : job.attempts.values()) {
      boolean sameAttempt = other.attemptNumber == attempt.attemptNumber && !other.exited();
      stopBegun |= sameAttempt && other.phase == Heartbeat.TaskPhase.SAVING;
      someNotStopping |= sameAttempt && !other.stopping;
    }
    if (stopBegun && someNotStopping) {
      cluster.stop(attempt);
      cluster.requestPass();
    }
  }

  /** Stands for a job this leader does not look after (any more): its tasks are only stopped. */
  private static Job orphanedJob(Heartbeat.TaskStatus status) {
    Job job =
        new Job(
            new JobSpec(
                status.jobId(),
                "",
                "",
                JobKind.ARRAY,
                Priority.LOW,
                0,
                0,
                0,
                0,
                "",
                0,
                null,
                null,
                false,
                false,
                true,
                0,
                0,
                0,
                null),
            0,
            true,
            new BitSet(),
            ClassObjectives.NONE);
    job.state = Job.State.CANCELLED;
    job.orphaned = true;
    return job;
  }
}
