package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A job the leader looks after, with where its tasks are. */
final class Job {
  /** Deadline assumed for the queue's order where a job has none, seconds. */
  private static final double DEFAULT_DEADLINE_S = 600;

  /**
   * Share of the aim on starting after which a job that was put off is served before others. The
   * rest is for its turn, since many may come to this at once.
   */
  private static final double OBJECTIVE_RISK_START_SHARE = 0.6;

  /**
   * The same of the aim on finishing, less its estimate: later, since long jobs are much work, and
   * served early they make many short ones late.
   */
  private static final double OBJECTIVE_RISK_END_SHARE = 0.9;

  /** Aims on starting up to this many seconds may stop work of lower priority. */
  static final double TIGHT_START_OBJECTIVE_S = 5;

  /**
   * Aims on starting from this many seconds on are a time by which, where machines are short, as
   * many jobs as possible start and the others are put off; shorter ones are served as they come.
   */
  private static final double LONG_START_OBJECTIVE_S = 60;

  /** Milliseconds in which a job that failed on a machine goes to others. */
  private static final long FAILED_MACHINE_AVOID_MS = 30_000;

  /** What is known of its end. */
  enum State {
    LIVE,
    DONE,
    CANCELLED
  }

  final JobSpec spec;
  final long submittedMs;

  /** The tightest aim on starting its tasks, seconds; null if there is none. */
  final Double startObjectiveS;

  /** The tightest aim on finishing it, seconds; null if there is none. */
  final Double finishObjectiveS;

  /**
   * Its deadline or what is aimed at for its class, whichever is sooner; null if there is neither.
   * Long jobs have deadlines beyond the aim on finishing, and missed that one.
   */
  final Double dueS;

  /** The operators aim at something for its class. */
  final boolean hasObjective;

  State state = State.LIVE;

  /** Commands for it may have gone out: durable, and set by this leader or an earlier one. */
  boolean opened;

  /** Opened by an earlier leader: its tasks may sit on any machine not heard yet. */
  boolean inherited;

  boolean cancellationRequested;

  /** Stands for a job that this leader does not look after: what its tasks take is not known. */
  boolean orphaned;

  final BitSet doneTasks;

  /** Those of them that are on record. */
  final BitSet persistedDoneTasks;

  /** Tasks neither done nor held by a machine. */
  final BitSet waitingTasks;

  /** Where each task is held; exited attempts are not here. */
  final Map<Integer, TaskAttempt> attempts = new HashMap<>();

  /**
   * Runs of tasks that another run holds, until they are off their machines. When that one goes,
   * one of these holds the task: what a copy of an old report showed went, the true run was still
   * being stopped, and the task was started a second time (seed 20001 of the swarm).
   */
  final List<TaskAttempt> duplicateAttempts = new ArrayList<>(0);

  /** Types of machines that its tasks may go to. */
  Set<String> usableTypes = Set.of();

  /** What a machine has to be and to have for its tasks; set together with the types. */
  PlacementConstraints placementConstraints;

  /** Jobs with the same find room on the same machines. */
  record PlacementConstraints(
      Set<String> types, String zone, boolean spot, double cpus, double gpus, double memoryGb) {}

  /**
   * Types with accelerators that its tasks need not: they may have what others leave over there.
   */
  Set<String> backfillTypes = Set.of();

  /** What it is counted with for the least that each class is served; set when it is taken in. */
  ShareGroup shareGroup;

  /** The machine on which room is kept for a task of it; null while it waits for none. */
  Machine reservedMachine;

  /** Within a pass: waiting tasks for which room is being made. */
  int tasksAwaitingPreemption;

  /** Within a sort of the queue: what it is sorted by. */
  double urgencyMs;

  /**
   * When it was taken in it fitted into its team's guarantee together with the team's earlier
   * unfinished jobs: it need not wait for other teams.
   */
  boolean withinGuaranteedQuota;

  /** Within a sort of the queue: nobody aims at anything for it, nor is it guaranteed anything. */
  boolean bestEffort;

  /** The zone in which free room is kept for this gang; null while it waits for none. */
  String reservedZone;

  /**
   * Of a gang, the attempt that its tasks have; numbers rise from one to the next, across leaders
   * too.
   */
  long gangAttemptNumber;

  /** The newest attempt that is known to have begun; 0: none is. */
  private long closedAttemptNumber;

  /** What the largest jobs of its class got is counted by this; set when it is taken in. */
  JobOutcome outcome;

  /** The operators were told that it has not begun. */
  boolean startWarningLogged;

  /** A task of it ran in this term. */
  boolean started;

  /** Runs that ended without completing their task. */
  int unsuccessfulAttempts;

  long lastPlacedMs;

  /** A task of it has completed, so it is no job that fails everywhere. */
  boolean hasCompletedTask;

  /** Machines on which its tasks failed, and when; faulty machines are taken out again. */
  final Map<String, Long> lastFailureMsByMachine = new HashMap<>();

  /** How often it has failed since it was taken to be broken; 0: it is not. */
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
    this.finishObjectiveS = objectives.finishS();
    this.dueS = earlier(spec.deadlineS(), objectives.finishS());
    this.hasObjective = objectives.anyObjective();
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

  private static Double earlier(Double first, Double second) {
    return first == null || second == null
        ? (first == null ? second : first)
        : (Double) Math.min(first, second);
  }

  /**
   * It failed on several machines and never completed a task: probably submitted with a mistake.
   */
  boolean isSuspect() {
    return probeCount > 0;
  }

  /** Whether it has to start so soon that work with objectives may be preempted for it. */
  boolean hasTightStartObjective() {
    return startObjectiveS != null && startObjectiveS <= TIGHT_START_OBJECTIVE_S;
  }

  /** Whether a task of it may be on a machine, as far as known here. */
  boolean hasAttempts() {
    return !attempts.isEmpty() || !duplicateAttempts.isEmpty();
  }

  /** Whether a task of it may still start, though no further command is sent for it. */
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

  /** Its probe is out: no further task of it starts. */
  boolean probeInProgress() {
    return isSuspect() && !attempts.isEmpty();
  }

  /** Whether it failed there so lately that another machine should have it. */
  boolean avoids(Machine machine, long nowMs) {
    Long failedMs = lastFailureMsByMachine.get(machine.name);
    return failedMs != null && !isSuspect() && nowMs - failedMs < FAILED_MACHINE_AVOID_MS;
  }

  /**
   * Whether its deadline asks for its start sooner than any aim on starting does, so that the
   * deadline says when it is served. An aim of minutes on starting is a limit for those that come
   * late, and no reason to serve a class in the order of arrival.
   */
  boolean isDeadlineDriven() {
    return spec.kind() == JobKind.ARRAY
        && (deadlineBeforeStartObjective() || hasLongStartObjective());
  }

  private boolean deadlineBeforeStartObjective() {
    return dueS != null && (startObjectiveS == null || dueS - spec.estimateS() < startObjectiveS);
  }

  /**
   * Whether it has minutes to start. Served in the order of arrival such jobs all come late where
   * machines are short, as with deadlines (half of a class started 124 s after its submission,
   * where 120 were aimed at); so this aim too is a time by which some are in time and others are
   * put off.
   */
  boolean hasLongStartObjective() {
    return startObjectiveS != null && startObjectiveS >= LONG_START_OBJECTIVE_S;
  }

  /** For a timed job: seconds after its submission by which it is to be done; else its deadline. */
  Double completionDueS() {
    return isDeadlineDriven() && !deadlineBeforeStartObjective()
        ? (Double) (startObjectiveS + spec.estimateS())
        : dueS;
  }

  /**
   * When it is to be done if {@code deadlineMultiple} the time for it may be taken, on the steady
   * clock.
   */
  double completionDueMs(double deadlineMultiple) {
    return submittedMs + deadlineMultiple * completionDueS() * 1000;
  }

  /** When its tasks should start, on the steady clock. */
  double latestStartMs() {
    Double completionS = completionDueS();
    double seconds = completionS != null ? completionS : DEFAULT_DEADLINE_S;
    return submittedMs + (seconds - spec.estimateS()) * 1000;
  }

  /**
   * From when on the longer aims of a timed job are in danger, on the steady clock: its tasks have
   * to start, and to end, within these however late its deadline finds it.
   */
  double objectiveAtRiskMs() {
    double seconds = Double.MAX_VALUE;
    if (startObjectiveS != null && deadlineBeforeStartObjective()) {
      seconds = startObjectiveS * OBJECTIVE_RISK_START_SHARE;
    }
    if (finishObjectiveS != null && spec.deadlineS() != null) {
      seconds = Math.min(seconds, finishObjectiveS * OBJECTIVE_RISK_END_SHARE - spec.estimateS());
    }
    return seconds == Double.MAX_VALUE ? seconds : submittedMs + seconds * 1000;
  }

  /** When the last of these aims is missed: from then on haste helps it no more. */
  double objectiveMissedMs() {
    double seconds =
        Math.max(
            startObjectiveS == null ? 0 : startObjectiveS,
            finishObjectiveS == null ? 0 : finishObjectiveS);
    return submittedMs + seconds * 1000;
  }

  boolean complete() {
    return spec.kind() != JobKind.SERVICE && doneCount == spec.tasks();
  }

  /** For a service, the machines that hold its replicas; of others nobody asks. */
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

  void markDone(int index) {
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

  /** The run now holds its task. */
  void hold(TaskAttempt attempt) {
    attempts.put(attempt.index, attempt);
    gangAttemptNumber = attempt.attemptNumber;
    attemptsByZone.merge(attempt.machine.zone, 1, Integer::sum);
    runningCount += attempt.isRunning() ? 1 : 0;
    setWaiting(attempt.index, false);
  }

  /** Lets the task go if this run holds it; it waits again unless it is done. */
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
   * All tasks of this attempt have run, so none may be started again with its number: those that
   * are left are ending, and a new one would wait for them in vain. It was counted from tasks seen
   * running only; a leader that began while a gang was saving, or had just lost a task, gave the
   * number out again, and the gang never ran any more.
   */
  void closeAttempt(long attemptNumber) {
    closedAttemptNumber = Math.max(closedAttemptNumber, attemptNumber);
  }

  boolean gangAttemptClosed() {
    return closedAttemptNumber >= gangAttemptNumber;
  }

  /** Moves a run to its reported phase. */
  void updatePhase(TaskAttempt attempt, Heartbeat.TaskPhase phase) {
    boolean holdsTask = attempts.get(attempt.index) == attempt;
    runningCount -= holdsTask && attempt.isRunning() ? 1 : 0;
    attempt.phase = phase;
    runningCount += holdsTask && attempt.isRunning() ? 1 : 0;
  }

  /** For the log: what became of it and how long that took. */
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

  /** Zone that the rules allow for one more task, given the others held now. */
  boolean zoneAllowed(String zone) {
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
