package org.astershift.core;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A job the leader looks after, with where its tasks are. */
final class Job {
  enum State {
    LIVE,
    DONE,
    CANCELLED
  }

  final JobSpec spec;
  final long submittedMs;
  State state = State.LIVE;

  /** Commands for it may have gone out: durable, and set by this leader or an earlier one. */
  boolean opened;

  /** Opened by an earlier leader: its tasks may sit on any machine not heard yet. */
  boolean inherited;

  boolean cancelWanted;
  final BitSet done;
  final BitSet doneDurable;

  /** Tasks neither done nor held by a machine. */
  final BitSet waiting;

  /** Where each task is held; exited attempts are not here. */
  final Map<Integer, Run> runs = new HashMap<>();

  /** Within a pass: waiting tasks for which room is being made. */
  int covered;

  long gangAttempt;
  boolean gangRan;
  /** Runs that ended without completing their task. */
  int restarts;

  long lastPlacedMs;

  /** A task of it has completed, so it is no job that fails everywhere. */
  boolean everRan;

  final Set<String> failedOn = new HashSet<>();
  long pausedUntilMs;

  /** Since when the present waiting tasks wait. */
  long waitingSinceMs;

  Job(JobSpec spec, long submittedMs, boolean opened, BitSet done) {
    this.spec = spec;
    this.submittedMs = submittedMs;
    this.waitingSinceMs = submittedMs;
    this.opened = opened;
    this.done = done;
    this.doneDurable = (BitSet) done.clone();
    this.waiting = new BitSet(spec.tasks());
    this.waiting.set(0, spec.tasks());
    this.waiting.andNot(done);
  }

  boolean complete() {
    return spec.kind() != JobKind.SERVICE && done.cardinality() == spec.tasks();
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
        + "), last start after "
        + (lastPlacedMs - submittedMs) / 1000
        + " s, "
        + restarts
        + " runs lost";
  }

  int running() {
    int n = 0;
    for (Run r : runs.values()) {
      if (r.phase == Report.Phase.RUNNING || r.phase == Report.Phase.SAVING) {
        n++;
      }
    }
    return n;
  }

  int inZone(String zone) {
    int n = 0;
    for (Run r : runs.values()) {
      if (r.machine.zone.equals(zone)) {
        n++;
      }
    }
    return n;
  }

  /** Zone that the rules allow for one more task, given the others held now. */
  boolean zoneAllowed(String zone) {
    if (spec.zone() != null && !spec.zone().equals(zone)) {
      return false;
    }
    if (spec.oneZone()) {
      for (Run r : runs.values()) {
        if (!r.machine.zone.equals(zone)) {
          return false;
        }
      }
    }
    return !spec.spread() || inZone(zone) < spec.spreadLimit();
  }
}
