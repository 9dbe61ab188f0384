package org.astershift.scheduler;

/** An attempt of a task on a worker. */
final class FuzzTask {
  final String job;
  final int index;
  final long attempt;
  Heartbeat.TaskPhase phase = Heartbeat.TaskPhase.FETCHING;
  String cause;
  boolean isOnMachine;
  boolean stopped;
  long waitsSinceMs;

  FuzzTask(String job, int index, long attempt) {
    this.job = job;
    this.index = index;
    this.attempt = attempt;
  }

  String taskName() {
    return job + "/" + index;
  }

  boolean exited() {
    return phase == Heartbeat.TaskPhase.EXITED;
  }
}
