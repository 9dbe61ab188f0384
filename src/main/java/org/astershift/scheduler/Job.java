package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A live job with the state of its tasks and the attempts that hold them. All times are
 * milliseconds of the monotonic clock.
 */
final class Job {
  /** Jobs with a start objective of up to this many seconds may preempt lower-priority work. */
  static final double TIGHT_START_OBJECTIVE_S = 5;

  /** Time for which a job avoids a machine on which it failed. */
  private static final long FAILED_MACHINE_AVOID_MS = 30_000;

  /** Whether and how a job has ended; changed once the end is durable. */
  enum State {
    LIVE,
    DONE,
    CANCELLED
  }

  final JobSpec spec;
  final long submittedMs;

  /** The tightest objective for starting the job's tasks, in seconds; null if there is none. */
  final Double startObjectiveS;

  /** Whether the job's class has any objective. */
  final boolean hasObjective;

  private final JobDeadlines deadlines;

  State state = State.LIVE;

  /** Whether this or an earlier leader made the opening durable, so commands may have been sent. */
  boolean opened;

  /** When the job was opened in this term, in milliseconds of the monotonic clock. */
  long openedMs;

  /** Whether an earlier leader opened the job, so that unreconciled machines may hold its tasks. */
  boolean inherited;

  boolean cancellationRequested;

  /** Whether this is a placeholder for a job of unknown needs that this leader does not manage. */
  boolean orphaned;

  final BitSet doneTasks;

  /** Done tasks whose completion is durable. */
  final BitSet persistedDoneTasks;

  /** Tasks that are neither done nor held by a machine. */
  final BitSet waitingTasks;

  /** The attempt that holds each task, by task index; exited attempts hold no task. */
  final Map<Integer, TaskAttempt> attempts = new HashMap<>();

  /**
   * Other attempts of held tasks, until they are gone from their machines. When the holder is
   * released, one of these takes over the task; otherwise the task would be started again while it
   * still runs as a duplicate.
   */
  final List<TaskAttempt> duplicateAttempts = new ArrayList<>(0);

  /** Machine types that the job's tasks may use. */
  Set<String> usableTypes = Set.of();

  /** What a machine must provide for the job's tasks; set together with {@link #usableTypes}. */
  PlacementConstraints placementConstraints;

  /** Placement constraints; the tasks of jobs with equal ones fit on the same machines. */
  record PlacementConstraints(
      Set<String> types, String zone, boolean spot, double cpus, double gpus, double memoryGb) {}

  /** Machine types with accelerators that the job does not need: its tasks only backfill them. */
  Set<String> backfillTypes = Set.of();

  /** The group whose minimum share the job counts for; set when the job is added. */
  MinimumShareGroup minimumShareGroup;

  /** The machine on which room is reserved for one of the job's tasks; null if there is none. */
  Machine reservedMachine;

  /** Number of waiting tasks for which others were preempted; valid within a pass. */
  int tasksAwaitingPreemption;

  /** Sort key, lower first; valid while the wait queue is sorted. */
  double urgencyMs;

  /**
   * Whether the job, when it was added, fitted into its team's guaranteed quota together with the
   * team's earlier unfinished jobs, so that it need not wait for other teams.
   */
  boolean withinGuaranteedQuota;

  /**
   * Whether the job has neither an objective nor room in its team's guaranteed quota; valid while
   * the wait queue is sorted.
   */
  boolean bestEffort;

  /** The zone in which room is reserved for this gang; null if there is none. */
  String reservedZone;

  /** The attempt number shared by the tasks of a gang; increases, also across leaders. */
  long gangAttemptNumber;

  /** The highest attempt number under which no more tasks may start; 0 if there is none. */
  private long closedAttemptNumber;

  /** The job's entry in the service statistics; set when the job is added. */
  JobOutcome outcome;

  /** Whether the warning that the job has not started was logged. */
  boolean startWarningLogged;

  /** Whether a task of the job ran in this term. */
  boolean started;

  /** Number of attempts that ended without completing their task. */
  int unsuccessfulAttempts;

  long lastPlacedMs;

  /** Whether a task of the job has completed, so that the job does not fail on every machine. */
  boolean hasCompletedTask;

  /** When the job's tasks last failed, by machine; quarantined machines are removed. */
  final Map<String, Long> lastFailureMsByMachine = new HashMap<>();

  /** Number of failed probes since the job became suspect; 0 if it is not suspect. */
  int probeCount;

  long pausedUntilMs;

  private final Map<String, Integer> attemptsByZone = new HashMap<>();
  private int doneCount;
  private int waitingCount;
  private int runningCount;

  Job(
      JobSpec spec,
      long submittedMs,
      boolean opened,
      BitSet doneTasks,
      ClassObjectives objectives) {
    this.spec = spec;
    this.submittedMs = submittedMs;
    this.startObjectiveS = objectives.startS();
    this.hasObjective = objectives.hasAnyObjective();
    this.deadlines = new JobDeadlines(spec, submittedMs, objectives);
    this.opened = opened;
    this.doneTasks = doneTasks;
    this.persistedDoneTasks = (BitSet) doneTasks.clone();
    this.doneCount = doneTasks.cardinality();
    this.waitingTasks = new BitSet(spec.tasks());
    this.waitingTasks.set(0, spec.tasks());
    this.waitingTasks.andNot(doneTasks);
    this.waitingCount = waitingTasks.cardinality();
    this.hasCompletedTask = doneCount > 0;
  }

  /**
   * Returns whether the job is probably broken: it failed on several machines and completed no
   * task.
   */
  boolean isSuspect() {
    return probeCount > 0;
  }

  /** Returns whether the job has to start so soon that it may preempt work with objectives. */
  boolean hasTightStartObjective() {
    return startObjectiveS != null && startObjectiveS <= TIGHT_START_OBJECTIVE_S;
  }

  /** Returns whether a task of the job may be on a machine, as far as this leader knows. */
  boolean hasAttempts() {
    return !attempts.isEmpty() || !duplicateAttempts.isEmpty();
  }

  /** Returns whether a task of the job may still start without a further command. */
  boolean mayStillStart() {
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.mayStillStart()) {
        return true;
      }
    }
    for (TaskAttempt attempt : duplicateAttempts) {
      if (attempt.mayStillStart()) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a probe of the suspect job runs; no other task of it starts meanwhile. */
  boolean isProbeInProgress() {
    return isSuspect() && !attempts.isEmpty();
  }

  /** Returns whether the job failed so recently on the machine that it avoids this machine. */
  boolean shouldAvoid(Machine machine, long nowMs) {
    Long failedMs = lastFailureMsByMachine.get(machine.name);
    return failedMs != null && !isSuspect() && nowMs - failedMs < FAILED_MACHINE_AVOID_MS;
  }

  /** See {@link JobDeadlines#isDeadlineDriven}. */
  boolean isDeadlineDriven() {
    return deadlines.isDeadlineDriven();
  }

  /** See {@link JobDeadlines#hasLongStartObjective}. */
  boolean hasLongStartObjective() {
    return deadlines.hasLongStartObjective();
  }

  /** See {@link JobDeadlines#completionDueS}. */
  Double completionDueS() {
    return deadlines.completionDueS();
  }

  /** See {@link JobDeadlines#completionDueMs}. */
  double completionDueMs(double deadlineMultiple) {
    return deadlines.completionDueMs(deadlineMultiple);
  }

  /** See {@link JobDeadlines#latestStartMs}. */
  double latestStartMs() {
    return deadlines.latestStartMs();
  }

  /** See {@link JobDeadlines#objectiveAtRiskMs}. */
  double objectiveAtRiskMs() {
    return deadlines.objectiveAtRiskMs();
  }

  /** See {@link JobDeadlines#objectiveMissedMs}. */
  double objectiveMissedMs() {
    return deadlines.objectiveMissedMs();
  }

  boolean isComplete() {
    return spec.kind() != JobKind.SERVICE && doneCount == spec.tasks();
  }

  /** Returns the machines that hold a service's replicas; empty for other jobs. */
  List<String> replicaMachineNames() {
    List<String> names = new ArrayList<>(0);
    if (spec.kind() == JobKind.SERVICE) {
      for (TaskAttempt attempt : attempts.values()) {
        if (!names.contains(attempt.machine.name)) {
          names.add(attempt.machine.name);
        }
      }
    }
    return names;
  }

  int waitingCount() {
    return waitingCount;
  }

  int doneCount() {
    return doneCount;
  }

  int runningCount() {
    return runningCount;
  }

  void markTaskDone(int index) {
    if (!doneTasks.get(index)) {
      doneTasks.set(index);
      doneCount++;
    }
    setWaiting(index, false);
  }

  private void setWaiting(int index, boolean nowWaiting) {
    if (waitingTasks.get(index) != nowWaiting) {
      waitingTasks.set(index, nowWaiting);
      waitingCount += nowWaiting ? 1 : -1;
    }
  }

  /** Makes the attempt the holder of its task. */
  void hold(TaskAttempt attempt) {
    attempts.put(attempt.index, attempt);
    gangAttemptNumber = attempt.attemptNumber;
    attemptsByZone.merge(attempt.machine.zone, 1, Integer::sum);
    runningCount += attempt.isRunning() ? 1 : 0;
    setWaiting(attempt.index, false);
  }

  /**
   * Releases the task if this attempt holds it; the task waits again unless it is done. Returns
   * whether the attempt held it.
   */
  boolean release(TaskAttempt attempt) {
    boolean holdsTask = attempts.get(attempt.index) == attempt;
    if (holdsTask) {
      attempts.remove(attempt.index);
      attemptsByZone.computeIfPresent(attempt.machine.zone, (z, n) -> n > 1 ? n - 1 : null);
      runningCount -= attempt.isRunning() ? 1 : 0;
      setWaiting(attempt.index, !doneTasks.get(attempt.index));
    }
    return holdsTask;
  }

  /**
   * Prevents further starts under this attempt number. The gang has run as a whole, or one of its
   * tasks has stopped waiting for the others, so the remaining tasks are ending, and a new task
   * would wait for them without success.
   */
  void closeAttempt(long attemptNumber) {
    closedAttemptNumber = Math.max(closedAttemptNumber, attemptNumber);
  }

  boolean isGangAttemptClosed() {
    return closedAttemptNumber >= gangAttemptNumber;
  }

  /** Sets the phase of an attempt to the reported one. */
  void updatePhase(TaskAttempt attempt, Heartbeat.TaskPhase phase) {
    boolean holdsTask = attempts.get(attempt.index) == attempt;
    runningCount -= holdsTask && attempt.isRunning() ? 1 : 0;
    attempt.phase = phase;
    runningCount += holdsTask && attempt.isRunning() ? 1 : 0;
  }

  /** Returns the job's size, duration and lost attempts for the log. */
  String endSummary(long nowMs) {
    return spec.jobClass()
        + ", "
        + spec.tasks()
        + " tasks, after "
        + (nowMs - submittedMs) / 1000
        + " s (estimate "
        + Math.round(spec.estimateS())
        + " s, deadline "
        + (spec.deadlineS() == null ? "none" : Math.round(spec.deadlineS()) + " s")
        + "), last start "
        + (lastPlacedMs == 0
            ? "before this term, "
            : "after " + (lastPlacedMs - submittedMs) / 1000 + " s, ")
        + unsuccessfulAttempts
        + " attempts lost";
  }

  int attemptsInZone(String zone) {
    return attemptsByZone.getOrDefault(zone, 0);
  }

  /** Returns whether the job's zone rules allow one more task in the zone, given those held now. */
  boolean isZoneAllowed(String zone) {
    if (spec.zone() != null && !spec.zone().equals(zone)) {
      return false;
    }
    if (spec.oneZone()
        && !attemptsByZone.isEmpty()
        && (attemptsByZone.size() > 1 || !attemptsByZone.containsKey(zone))) {
      return false;
    }
    return !spec.spread() || attemptsInZone(zone) < spec.spreadLimit();
  }
}
