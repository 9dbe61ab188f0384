package org.astershift.scheduler;

/** The outcome of one job, for the statistics of the largest jobs of its class. */
final class JobOutcome {
  /** Processors or accelerators of all tasks of the job, whichever are more. */
  private final double size;

  private boolean hasStarted;
  private boolean hasFinished;

  JobOutcome(double size) {
    this.size = size;
  }

  double size() {
    return size;
  }

  boolean hasStarted() {
    return hasStarted;
  }

  boolean hasFinished() {
    return hasFinished;
  }

  /** Records that a task of the job runs. */
  void onStarted() {
    hasStarted = true;
  }

  void onEnded(boolean cancelled) {
    hasFinished = !cancelled;
  }
}
