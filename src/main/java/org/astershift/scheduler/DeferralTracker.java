package org.astershift.scheduler;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * For how long jobs have been kept from room that more urgent work waits for, by what they need of
 * a machine. Once that lasted for the limit, all jobs with the same constraints may use the room
 * within one pass, and a new deferral begins: otherwise they would wait beside free processors for
 * as long as larger work waits.
 */
final class DeferralTracker {
  /** Milliseconds of a deferral. The service's requirement is 90 s; the rest is for the start. */
  private static final long DEFERRAL_LIMIT_MS = 60_000;

  private final Map<Job.PlacementConstraints, Long> deferredSinceMs = new HashMap<>();

  /** Constraints that found room since the last pass began. */
  private final Set<Job.PlacementConstraints> deferredNow = new HashSet<>();

  /** Those of them whose deferral has expired in this pass. */
  private final Set<Job.PlacementConstraints> admittedNow = new HashSet<>();

  private boolean passInProgress;

  /** Ends the deferral of what found no room since the last pass began, or was admitted then. */
  void beginPass() {
    deferredSinceMs.keySet().retainAll(deferredNow);
    deferredSinceMs.keySet().removeAll(admittedNow);
    deferredNow.clear();
    admittedNow.clear();
    passInProgress = true;
  }

  /** The pass over all machines is over. */
  void endPass() {
    passInProgress = false;
  }

  /**
   * Records that room is kept from the job; true once that lasted for so long that it may have it.
   */
  boolean tryAdmit(Job job, long nowMs) {
    deferredNow.add(job.placementConstraints);
    long sinceMs = deferredSinceMs.computeIfAbsent(job.placementConstraints, p -> nowMs);
    // Between passes only one machine is on offer, and admission would end with it.
    if (!passInProgress || nowMs - sinceMs < DEFERRAL_LIMIT_MS) {
      return false;
    }
    admittedNow.add(job.placementConstraints);
    return true;
  }
}
