package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.Constants;

/** A job the leader looks after, with where its tasks are. */
final class Job {
  /** What is known of its end. */
  enum State {
    LIVE,
    DONE,
    CANCELLED
  }

  final JobSpec spec;
  final long submittedMs;

  /** The tightest aim on starting its tasks, seconds; null if there is none. */
  final Double startAimS;

  /** The tightest aim on finishing it, seconds; null if there is none. */
  final Double finishAimS;

  /**
   * Its deadline or what is aimed at for its class, whichever is sooner; null if there is neither.
   * Long jobs have deadlines beyond the aim on finishing, and missed that one.
   */
  final Double dueS;

  /** The operators aim at something for its class. */
  final boolean aimed;

  State state = State.LIVE;

  /** Commands for it may have gone out: durable, and set by this leader or an earlier one. */
  boolean opened;

  /** Opened by an earlier leader: its tasks may sit on any machine not heard yet. */
  boolean inherited;

  boolean cancelWanted;

  /** Stands for a job that this leader does not look after: what its tasks take is not known. */
  boolean stranger;

  final BitSet done;

  /** Those of them that are on record. */
  final BitSet doneDurable;

  /** Tasks neither done nor held by a machine. */
  final BitSet waiting;

  /** Where each task is held; exited attempts are not here. */
  final Map<Integer, TaskAttempt> runs = new HashMap<>();

  /**
   * Runs of tasks that another run holds, until they are off their machines. When that one goes,
   * one of these holds the task: what a copy of an old report showed went, the true run was still
   * being stopped, and the task was started a second time (seed 20001 of the swarm).
   */
  final List<TaskAttempt> extras = new ArrayList<>(0);

  /** Types of machines that its tasks may go to. */
  Set<String> usableTypes = Set.of();

  /** What a machine has to be and to have for its tasks; set together with the types. */
  PlacementConstraints place;

  /** Jobs with the same find room on the same machines. */
  record PlacementConstraints(
      Set<String> types, String zone, boolean spot, double cpus, double gpus, double memoryGb) {}

  /**
   * Types with accelerators that its tasks need not: they may have what others leave over there.
   */
  Set<String> spareTypes = Set.of();

  /** What it is counted with for the least that each class is served; set when it is taken in. */
  MinimumShare.Group group;

  /** The machine on which room is kept for a task of it; null while it waits for none. */
  Machine keptOn;

  /** Within a pass: waiting tasks for which room is being made. */
  int covered;

  /** Within a sort of the queue: what it is sorted by. */
  double urgencyMs;

  /**
   * When it was taken in it fitted into its team's guarantee together with the team's earlier
   * unfinished jobs: it need not wait for other teams.
   */
  boolean guaranteed;

  /** Within a sort of the queue: nobody aims at anything for it, nor is it guaranteed anything. */
  boolean spare;

  /** The zone in which free room is kept for this gang; null while it waits for none. */
  String keptIn;

  /**
   * Of a gang, the attempt that its tasks have; numbers rise from one to the next, across leaders
   * too.
   */
  long gangAttempt;

  /** The newest attempt that is known to have begun; 0: none is. */
  private long begunAttempt;

  /** What the largest jobs of its class got is counted by this; set when it is taken in. */
  ServiceStatistics.JobOutcome fate;

  /** The operators were told that it has not begun. */
  boolean warned;

  /** A task of it ran in this term. */
  boolean begun;

  /** Runs that ended without completing their task. */
  int restarts;

  long lastPlacedMs;

  /** A task of it has completed, so it is no job that fails everywhere. */
  boolean everRan;

  /** Machines on which its tasks failed, and when; faulty machines are taken out again. */
  final Map<String, Long> failedOn = new HashMap<>();

  /** How often it has failed since it was taken to be broken; 0: it is not. */
  int probes;

  long pausedUntilMs;

  private final Map<String, Integer> zones = new HashMap<>();
  private int doneCount;
  private int waitingCount;
  private int running;

  Job(JobSpec spec, long submittedMs, boolean opened, BitSet done, ClassObjectives aims) {
    this.spec = spec;
    this.submittedMs = submittedMs;
    this.startAimS = aims.startS();
    this.finishAimS = aims.finishS();
    this.dueS = sooner(spec.deadlineS(), aims.finishS());
    this.aimed = aims.any();
    this.opened = opened;
    this.done = done;
    this.doneDurable = (BitSet) done.clone();
    this.doneCount = done.cardinality();
    this.waiting = new BitSet(spec.tasks());
    this.waiting.set(0, spec.tasks());
    this.waiting.andNot(done);
    this.waitingCount = waiting.cardinality();
    this.everRan = doneCount > 0;
  }

  private static Double sooner(Double a, Double b) {
    return a == null || b == null ? (a == null ? b : a) : (Double) Math.min(a, b);
  }

  /**
   * It failed on several machines and never completed a task: probably submitted with a mistake.
   */
  boolean suspect() {
    return probes > 0;
  }

  /** Whether a task of it may be on a machine, as far as known here. */
  boolean holdsAny() {
    return !runs.isEmpty() || !extras.isEmpty();
  }

  /** Whether a task of it may still start, though no further command is sent for it. */
  boolean mayStart() {
    for (TaskAttempt run : runs.values()) {
      if (run.mayStart()) {
        return true;
      }
    }
    for (TaskAttempt run : extras) {
      if (run.mayStart()) {
        return true;
      }
    }
    return false;
  }

  /** Its probe is out: no further task of it starts. */
  boolean beingProbed() {
    return suspect() && !runs.isEmpty();
  }

  /** Whether it failed there so lately that another machine should have it. */
  boolean avoids(Machine m, long nowMs) {
    Long at = failedOn.get(m.name);
    return at != null && !suspect() && nowMs - at < Constants.FAILED_AVOID_MS;
  }

  /**
   * Whether its deadline asks for its start sooner than any aim on starting does, so that the
   * deadline says when it is served. An aim of minutes on starting is a limit for those that come
   * late, and no reason to serve a class in the order of arrival.
   */
  boolean timed() {
    return spec.kind() == JobKind.ARRAY && (dueFirst() || longStart());
  }

  private boolean dueFirst() {
    return dueS != null && (startAimS == null || dueS - spec.estimateS() < startAimS);
  }

  /**
   * Whether it has minutes to start. Served in the order of arrival such jobs all come late where
   * machines are short, as with deadlines (half of a class started 124 s after its submission,
   * where 120 were aimed at); so this aim too is a time by which some are in time and others are
   * put off.
   */
  boolean longStart() {
    return startAimS != null && startAimS >= Constants.LONG_START_S;
  }

  /** For a timed job: seconds after its submission by which it is to be done; else its deadline. */
  Double endS() {
    return timed() && !dueFirst() ? (Double) (startAimS + spec.estimateS()) : dueS;
  }

  /** When it is to be done if {@code times} the time for it may be taken, on the steady clock. */
  double endMs(double times) {
    return submittedMs + times * endS() * 1000;
  }

  /** When its tasks should start, on the steady clock. */
  double startMs() {
    Double end = endS();
    double s = end != null ? end : Constants.NO_DEADLINE_S;
    return submittedMs + (s - spec.estimateS()) * 1000;
  }

  /**
   * From when on the longer aims of a timed job are in danger, on the steady clock: its tasks have
   * to start, and to end, within these however late its deadline finds it.
   */
  double rescueMs() {
    double s = Double.MAX_VALUE;
    if (startAimS != null && dueFirst()) {
      s = startAimS * Constants.RESCUE_SHARE;
    }
    if (finishAimS != null && spec.deadlineS() != null) {
      s = Math.min(s, finishAimS * Constants.RESCUE_END_SHARE - spec.estimateS());
    }
    return s == Double.MAX_VALUE ? s : submittedMs + s * 1000;
  }

  /** When the last of these aims is missed: from then on haste helps it no more. */
  double rescuedMs() {
    double s = Math.max(startAimS == null ? 0 : startAimS, finishAimS == null ? 0 : finishAimS);
    return submittedMs + s * 1000;
  }

  boolean complete() {
    return spec.kind() != JobKind.SERVICE && doneCount == spec.tasks();
  }

  /** For a service, the machines that hold its replicas; of others nobody asks. */
  List<String> machines() {
    List<String> out = new ArrayList<>(0);
    if (spec.kind() == JobKind.SERVICE) {
      for (TaskAttempt run : runs.values()) {
        if (!out.contains(run.machine.name)) {
          out.add(run.machine.name);
        }
      }
    }
    return out;
  }

  int waitingCount() {
    return waitingCount;
  }

  int doneCount() {
    return doneCount;
  }

  int running() {
    return running;
  }

  void markDone(int index) {
    if (!done.get(index)) {
      done.set(index);
      doneCount++;
    }
    setWaiting(index, false);
  }

  private void setWaiting(int index, boolean waits) {
    if (waiting.get(index) != waits) {
      waiting.set(index, waits);
      waitingCount += waits ? 1 : -1;
    }
  }

  /** The run now holds its task. */
  void hold(TaskAttempt run) {
    runs.put(run.index, run);
    gangAttempt = run.attempt;
    zones.merge(run.machine.zone, 1, Integer::sum);
    running += run.works() ? 1 : 0;
    setWaiting(run.index, false);
  }

  /** Lets the task go if this run holds it; it waits again unless it is done. */
  boolean release(TaskAttempt run) {
    boolean held = runs.get(run.index) == run;
    if (held) {
      runs.remove(run.index);
      zones.computeIfPresent(run.machine.zone, (z, n) -> n > 1 ? n - 1 : null);
      running -= run.works() ? 1 : 0;
      setWaiting(run.index, !done.get(run.index));
    }
    return held;
  }

  /**
   * All tasks of this attempt have run, so none may be started again with its number: those that
   * are left are ending, and a new one would wait for them in vain. It was counted from tasks seen
   * running only; a leader that began while a gang was saving, or had just lost a task, gave the
   * number out again, and the gang never ran any more.
   */
  void begun(long attempt) {
    begunAttempt = Math.max(begunAttempt, attempt);
  }

  boolean gangRan() {
    return begunAttempt >= gangAttempt;
  }

  /** Moves a run to its reported phase. */
  void phase(TaskAttempt run, Heartbeat.TaskPhase phase) {
    boolean counts = runs.get(run.index) == run;
    running -= counts && run.works() ? 1 : 0;
    run.phase = phase;
    running += counts && run.works() ? 1 : 0;
  }

  /** For the log: what became of it and how long that took. */
  String story(long nowMs) {
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
        + restarts
        + " runs lost";
  }

  int inZone(String zone) {
    return zones.getOrDefault(zone, 0);
  }

  /** Zone that the rules allow for one more task, given the others held now. */
  boolean zoneAllowed(String zone) {
    if (spec.zone() != null && !spec.zone().equals(zone)) {
      return false;
    }
    if (spec.oneZone() && !zones.isEmpty() && (zones.size() > 1 || !zones.containsKey(zone))) {
      return false;
    }
    return !spec.spread() || inZone(zone) < spec.spreadLimit();
  }
}
