package org.astershift.scheduler;

/**
 * Tells what a message that came as a heartbeat proves. Epoch and sequence order the messages of
 * one incarnation, but a restarted machine counts from the beginning again, and copies of its
 * earlier messages may arrive for minutes. Taken for new, such a copy would drop tasks that still
 * run, and they would run twice.
 */
final class HeartbeatClassifier {
  /** What a heartbeat proves. */
  enum Evidence {
    /** The machine's newest status. */
    CURRENT,
    /**
     * A copy, or one that the worker gave up on: it sends one at a time, and a newer one came. No
     * response reaches the worker, so none renews a lease.
     */
    STALE,
    /**
     * Of this incarnation or an earlier one: only the machine's answer to a command shows which.
     */
    LIVENESS_ONLY,
    /**
     * It lacks what is held on the machine. It gets no response: unless the machine answers a
     * probe, its lease expires by this leader's clock.
     */
    CONTRADICTORY
  }

  private final long fencingToken;

  HeartbeatClassifier(long fencingToken) {
    this.fencingToken = fencingToken;
  }

  /** What the heartbeat proves; marks the machine where it suggests a restart. */
  Evidence classify(Machine machine, Heartbeat heartbeat) {
    boolean lowerFencingToken = machine.fenced && heartbeat.fencingToken() < fencingToken;
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
    if (!machine.lastHeartbeat.precedes(heartbeat) || heartbeat.epoch() < machine.epoch) {
      return Evidence.STALE;
    }
    return machine.restartedInTerm ? Evidence.LIVENESS_ONLY : Evidence.CURRENT;
  }

  /**
   * Whether the heartbeat lacks a task that was shown and has not exited. Within an epoch a machine
   * shows a task until it is told to forget it, so this heartbeat is of another incarnation: it was
   * delayed, or the machine restarted and has sent more messages since than before.
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
}
