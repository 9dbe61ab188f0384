package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A live job, with the state and the holders of its tasks. Times are steady milliseconds. */
final class Job {
  /** Start objectives up to this many seconds may preempt work of lower priority. */
  static final double TIGHT_START_OBJECTIVE_S = 5;

  /** Time in which a job that failed on a machine goes to others. */
  private static final long FAILED_MACHINE_AVOID_MS = 30_000;

  /** Whether and how it has ended; set once that is durable. */
  enum State {
    LIVE,
    DONE,
    CANCELLED
  }

  final JobSpec spec;
  final long submittedMs;

  /** The tightest objective for starting its tasks, seconds; null if there is none. */
  final Double startObjectiveS;

  /** Whether there is any objective for its class. */
  final boolean hasObjective;

  private final JobDeadlines deadlines;

  State state = State.LIVE;

  /** Durable, by this leader or an earlier one: commands for it may have gone out. */
  boolean opened;

  /** Opened by an earlier leader: unreconciled machines may hold its tasks. */
  boolean inherited;

  boolean cancellationRequested;

  /** A placeholder for a job that this leader does not manage: its needs are not known. */
  boolean orphaned;

  final BitSet doneTasks;

  /** Done tasks whose completion is durable. */
  final BitSet persistedDoneTasks;

  /** Tasks neither done nor held by a machine. */
  final BitSet waitingTasks;

  /** The attempt that holds each task, by task index; exited attempts hold none. */
  final Map<Integer, TaskAttempt> attempts = new HashMap<>();

  /**
   * Other attempts of held tasks, until they are off their machines. When the holder goes, one of
   * these takes over the task: else it would be started while it still runs there.
   */
  final List<TaskAttempt> duplicateAttempts = new ArrayList<>(0);

  /** Machine types that its tasks may use. */
  Set<String> usableTypes = Set.of();

  /** What a machine needs for its tasks; set together with the types. */
  PlacementConstraints placementConstraints;

  /** Jobs with equal constraints find room on the same machines. */
  record PlacementConstraints(
      Set<String> types, String zone, boolean spot, double cpus, double gpus, double memoryGb) {}

  /** Machine types whose accelerators it does not need: its tasks may only backfill them. */
  Set<String> backfillTypes = Set.of();

  /** The group whose minimum share it counts for; set when it is added. */
  ShareGroup shareGroup;

  /** The machine on which room is reserved for a task of it; null if there is none. */
  Machine reservedMachine;

  /** Within a pass: waiting tasks for which others are preempted. */
  int tasksAwaitingPreemption;

  /** Within a sort of the queue: its sort key. */
  double urgencyMs;

  /**
   * When it was added it fitted into its team's guaranteed quota together with the team's earlier
   * unfinished jobs: it need not wait for other teams.
   */
  boolean withinGuaranteedQuota;

  /** Within a sort of the queue: it has neither an objective nor a guaranteed quota. */
  boolean bestEffort;

  /** The zone in which room is reserved for this gang; null if there is none. */
  String reservedZone;

  /** Of a gang, the attempt number that its tasks share; it grows, also across leaders. */
  long gangAttemptNumber;

  /** The newest attempt number that no task may start under any more; 0: none. */
  private long closedAttemptNumber;

  /** Its entry in the service statistics; set when it is added. */
  JobOutcome outcome;

  /** The warning that it does not start was logged. */
  boolean startWarningLogged;

  /** A task of it ran in this term. */
  boolean started;

  /** Attempts that ended without completing their task. */
  int unsuccessfulAttempts;

  long lastPlacedMs;

  /** A task of it has completed, so it does not fail on every machine. */
  boolean hasCompletedTask;

  /** When its tasks last failed, by machine; quarantined machines are removed. */
  final Map<String, Long> lastFailureMsByMachine = new HashMap<>();

  /** Failed probes since it became suspect; 0: it is not. */
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
    this.hasObjective = objectives.anyObjective();
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

  /** Whether it failed on several machines and completed nothing: probably it is broken. */
  boolean isSuspect() {
    return probeCount > 0;
  }

  /** Whether it has to start so soon that work with objectives may be preempted for it. */
  boolean hasTightStartObjective() {
    return startObjectiveS != null && startObjectiveS <= TIGHT_START_OBJECTIVE_S;
  }

  /** Whether a task of it may be on a machine, as far as is known here. */
  boolean hasAttempts() {
    return !attempts.isEmpty() || !duplicateAttempts.isEmpty();
  }

  /** Whether a task of it may still start without a further command. */
  boolean mayStart() {
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.mayStart()) {
        return true;
      }
    }
    for (TaskAttempt attempt : duplicateAttempts) {
      if (attempt.mayStart()) {
        return true;
      }
    }
    return false;
  }

  /** Whether its probe runs: no further task of it starts meanwhile. */
  boolean isProbeInProgress() {
    return isSuspect() && !attempts.isEmpty();
  }

  /** Whether it failed on the machine so lately that another one should have it. */
  boolean avoids(Machine machine, long nowMs) {
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

  /** For a service, the machines that hold its replicas; empty for other jobs. */
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

  /** The attempt now holds its task. */
  void hold(TaskAttempt attempt) {
    attempts.put(attempt.index, attempt);
    gangAttemptNumber = attempt.attemptNumber;
    attemptsByZone.merge(attempt.machine.zone, 1, Integer::sum);
    runningCount += attempt.isRunning() ? 1 : 0;
    setWaiting(attempt.index, false);
  }

  /** Releases the task if this attempt holds it; it waits again unless it is done. */
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
   * No task may start under this attempt number any more: its gang has run as a whole, so tasks
   * that are left are ending, and a new one would wait for them in vain.
   */
  void closeAttempt(long attemptNumber) {
    closedAttemptNumber = Math.max(closedAttemptNumber, attemptNumber);
  }

  boolean isGangAttemptClosed() {
    return closedAttemptNumber >= gangAttemptNumber;
  }

  /** Moves an attempt to its reported phase. */
  void updatePhase(TaskAttempt attempt, Heartbeat.TaskPhase phase) {
    boolean holdsTask = attempts.get(attempt.index) == attempt;
    runningCount -= holdsTask && attempt.isRunning() ? 1 : 0;
    attempt.phase = phase;
    runningCount += holdsTask && attempt.isRunning() ? 1 : 0;
  }

  /** For the log: its size, duration and lost attempts. */
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
        + " runs lost";
  }

  int attemptsInZone(String zone) {
    return attemptsByZone.getOrDefault(zone, 0);
  }

  /** Whether its zone rules allow one more task there, beside those held now. */
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
