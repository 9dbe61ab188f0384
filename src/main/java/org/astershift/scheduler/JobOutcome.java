package org.astershift.scheduler;

/** The outcome of one job, for the statistics of the largest jobs of its class. */
final class JobOutcome {
  /** Processors or accelerators of all tasks of the job, whichever are more. */
  private final double size;

  private boolean started;
  private boolean finished;

  JobOutcome(double size) {
    this.size = size;
  }

  double size() {
    return size;
  }

  boolean started() {
    return started;
  }

  boolean finished() {
    return finished;
  }

  /** Records that a task of the job runs. */
  void onStarted() {
    started = true;
  }

  void onEnded(boolean cancelled) {
    finished = !cancelled;
  }
}
