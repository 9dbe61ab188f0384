package org.astershift.scheduler;

/** What became of one job, for the statistics of the largest jobs of its class. */
final class JobOutcome {
  /** Processors, or accelerators, of all its tasks. */
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

  /** A task of the job runs. */
  void onStarted() {
    started = true;
  }

  void onEnded(boolean cancelled) {
    finished = !cancelled;
  }
}
