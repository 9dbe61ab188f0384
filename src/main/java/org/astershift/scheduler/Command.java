package org.astershift.scheduler;

/** A command to a worker; {@code graceS}: seconds that a stop leaves for a checkpoint. */
public record Command(Kind kind, String jobId, int index, long attemptNumber, double gracePeriodS) {

  /** What the worker is to do with the attempt. */
  public enum Kind {
    /** Run the attempt. */
    START,
    /** End the attempt, after the grace to save a checkpoint. */
    STOP,
    /** Drop an exited attempt from the heartbeats. */
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
