package org.astershift.scheduler;

/**
 * A command to a worker.
 *
 * @param gracePeriodS seconds that a stop leaves for saving a checkpoint; 0 in other commands
 */
public record Command(Kind kind, String jobId, int index, long attemptNumber, double gracePeriodS) {

  /** The action that the worker takes on the attempt. */
  public enum Kind {
    /** Starts the attempt. */
    START,
    /** Stops the attempt after the grace period for saving a checkpoint. */
    STOP,
    /** Removes an exited attempt from the worker's heartbeats. */
    FORGET
  }

  static Command start(TaskAttempt attempt) {
    return new Command(Kind.START, attempt.job.spec.id(), attempt.index, attempt.attemptNumber, 0);
  }

  static Command stop(TaskAttempt attempt, double graceS) {
    return new Command(
        Kind.STOP, attempt.job.spec.id(), attempt.index, attempt.attemptNumber, graceS);
  }

  static Command forget(TaskAttempt attempt) {
    return new Command(Kind.FORGET, attempt.job.spec.id(), attempt.index, attempt.attemptNumber, 0);
  }
}
