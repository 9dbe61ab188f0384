package org.astershift.simulation;

import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;

/** One attempt of a task on a worker; it stays after its exit until it is forgotten. */
final class TaskModel {
  final WorkerModel worker;
  final String job;
  final int index;
  final long attempt;
  Heartbeat.TaskPhase phase = Heartbeat.TaskPhase.FETCHING;

  /** Why the attempt exited; null before that. */
  String exitReason;

  TaskModel(WorkerModel worker, String job, int index, long attempt) {
    this.worker = worker;
    this.job = job;
    this.index = index;
    this.attempt = attempt;
  }

  String name() {
    return job + "/" + index;
  }

  boolean isExited() {
    return phase == Heartbeat.TaskPhase.EXITED;
  }

  boolean isGang(Simulation simulation) {
    JobSpec spec = simulation.users.spec(job);
    return spec != null && spec.kind() == JobKind.GANG;
  }
}
