package org.astershift.scheduler;

/** Room on a machine that a pass reserves for tasks that do not fit yet. */
record Reservation(double cpus, double gpus, double memoryGb, int tasks) {
  static final Reservation NONE = new Reservation(0, 0, 0, 0);

  /** Returns this reservation extended by room for {@code additionalTasks} such tasks. */
  Reservation plus(JobSpec spec, int additionalTasks) {
    return new Reservation(
        cpus + additionalTasks * spec.cpus(),
        gpus + additionalTasks * spec.gpus(),
        memoryGb + additionalTasks * spec.memoryGb(),
        tasks + additionalTasks);
  }
}
