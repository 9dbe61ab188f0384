package org.astershift.scheduler;

/** A command to a worker. */
public record Command(Kind op, String job, int index, long attempt, double graceS) {

  /** The commands there are. */
  public enum Kind {
    START,
    STOP,
    FORGET
  }

  static Command start(TaskAttempt run) {
    return new Command(Kind.START, run.job.spec.id(), run.index, run.attempt, 0);
  }

  static Command stop(TaskAttempt run, double graceS) {
    return new Command(Kind.STOP, run.job.spec.id(), run.index, run.attempt, graceS);
  }

  static Command forget(TaskAttempt run) {
    return new Command(Kind.FORGET, run.job.spec.id(), run.index, run.attempt, 0);
  }
}
