package org.astershift.core;

/** A command to a worker. */
public record Order(Op op, String job, int index, long attempt, double graceS) {

  /** The commands there are. */
  public enum Op {
    START,
    STOP,
    FORGET
  }

  static Order start(Run run) {
    return new Order(Op.START, run.job.spec.id(), run.index, run.attempt, 0);
  }

  static Order stop(Run run, double graceS) {
    return new Order(Op.STOP, run.job.spec.id(), run.index, run.attempt, graceS);
  }

  static Order forget(Run run) {
    return new Order(Op.FORGET, run.job.spec.id(), run.index, run.attempt, 0);
  }
}
