package org.astershift.scheduler;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks for how long jobs have been deferred, by their placement constraints. A job is deferred
 * while room that it could use is withheld because more urgent work is waiting. Once the deferral
 * has lasted for the limit, all jobs with the same constraints may use the room within one pass,
 * and a new deferral begins. Without a limit such jobs would wait, although processors are free,
 * for as long as larger work waits.
 */
final class DeferralTracker {
  /**
   * Limit of a deferral in milliseconds. No job should wait for 90 s while a machine has room for
   * it; the difference is left for the start of the task.
   */
  private static final long DEFERRAL_LIMIT_MS = 60_000;

  private final Map<Job.PlacementConstraints, Long> deferredSinceMs = new HashMap<>();

  /**
   * Constraints of jobs for which there was room since the last pass began, whether the jobs were
   * deferred or admitted.
   */
  private final Set<Job.PlacementConstraints> constraintsWithRoom = new HashSet<>();

  /** Constraints whose deferral has expired in this pass. */
  private final Set<Job.PlacementConstraints> admittedConstraints = new HashSet<>();

  private boolean passInProgress;

  /**
   * Begins a pass: ends the deferral of constraints that found no room since the last pass began,
   * or that were admitted then.
   */
  void beginPass() {
    deferredSinceMs.keySet().retainAll(constraintsWithRoom);
    deferredSinceMs.keySet().removeAll(admittedConstraints);
    constraintsWithRoom.clear();
    admittedConstraints.clear();
    passInProgress = true;
  }

  /** Ends the pass over all machines. */
  void endPass() {
    passInProgress = false;
  }

  /**
   * Records that room is withheld from the job. Returns true once its deferral has expired: then
   * the job may use the room.
   */
  boolean tryAdmit(Job job, long nowMs) {
    constraintsWithRoom.add(job.placementConstraints);
    long sinceMs = deferredSinceMs.computeIfAbsent(job.placementConstraints, p -> nowMs);
    // Between passes only one machine is offered, and it would use up the admission.
    if (!passInProgress || nowMs - sinceMs < DEFERRAL_LIMIT_MS) {
      return false;
    }
    admittedConstraints.add(job.placementConstraints);
    return true;
  }
}
