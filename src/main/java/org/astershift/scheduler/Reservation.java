package org.astershift.scheduler;

/** Room of a machine that a pass reserves for tasks which do not fit yet. */
record Reservation(double cpus, double gpus, double memoryGb, int tasks) {
  static final Reservation NONE = new Reservation(0, 0, 0, 0);

  /** The same with room for so many tasks of this kind more. */
  Reservation plus(JobSpec spec, int additionalTasks) {
    return new Reservation(
        cpus + additionalTasks * spec.cpus(),
        gpus + additionalTasks * spec.gpus(),
        memoryGb + additionalTasks * spec.memoryGb(),
        tasks + additionalTasks);
  }
}
