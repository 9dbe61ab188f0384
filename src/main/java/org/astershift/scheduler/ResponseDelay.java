package org.astershift.scheduler;

/** Determines how long the response to a heartbeat may wait for a command. */
final class ResponseDelay {
  /**
   * Delay of the response to a machine whose tasks may change at any time, in milliseconds. A
   * worker sends no two heartbeats within half a second, so this delays no report of a change.
   */
  private static final long WITH_CHANGING_TASKS_MS = 400;

  /** Delay of the response to any other machine, as a share of the heartbeat interval. */
  private static final double WITHOUT_CHANGING_TASKS_SHARE = 0.3;

  /** Maximum age of a heartbeat that is answered, in milliseconds: its worker gives up at 4 s. */
  private static final long MAX_HEARTBEAT_AGE_MS = 3000;

  /** Time for which it is not worthwhile to wait, in milliseconds. */
  private static final long MIN_DELAY_MS = 50;

  private final DeploymentLimits limits;

  ResponseDelay(DeploymentLimits limits) {
    this.limits = limits;
  }

  /**
   * Returns the time in milliseconds for which the response without urgent commands to a heartbeat
   * of this age may wait; 0 if it is to be sent at once.
   */
  long maxDelayMs(Machine machine, long heartbeatAgeMs) {
    if (!mayGetStart(machine)) {
      return 0;
    }
    long delayMs =
        mayReportChange(machine) && !hasPlacedStart(machine)
            ? WITH_CHANGING_TASKS_MS
            : (long) (limits.heartbeatIntervalS() * 1000 * WITHOUT_CHANGING_TASKS_SHARE);
    long remainingMs = Math.min(delayMs, MAX_HEARTBEAT_AGE_MS) - heartbeatAgeMs;
    return remainingMs < MIN_DELAY_MS ? 0 : remainingMs;
  }

  private static boolean mayGetStart(Machine machine) {
    return machine.state == Machine.State.LIVE
        && machine.fenced
        && !machine.quarantined
        && machine.preemptionNoticeS == null
        && machine.type != null;
  }

  /** Returns whether a start waits until the record that opens its job is durable. */
  private static boolean hasPlacedStart(Machine machine) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.phase == null && !attempt.startSent && !attempt.isUnwanted()) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the worker may soon report a change, other than the failure of a replica. */
  private static boolean mayReportChange(Machine machine) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      boolean isRunningReplica =
          attempt.job.spec.kind() == JobKind.SERVICE
              && attempt.phase == Heartbeat.TaskPhase.RUNNING
              && !attempt.isUnwanted();
      if (!attempt.isExited() && !isRunningReplica) {
        return true;
      }
    }
    return false;
  }
}
