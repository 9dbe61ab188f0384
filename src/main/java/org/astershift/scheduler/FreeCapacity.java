package org.astershift.scheduler;

/**
 * Room for tasks on one machine. Preemption and scale-out plans decide by this class whether a task
 * fits, so that they apply the same tolerance.
 */
class FreeCapacity {
  /** Sums of fractions drift, so a need that exceeds the room by no more than this still fits. */
  private static final double TOLERANCE = 1e-6;

  private double cpus;
  private double gpus;
  private double memoryGb;
  private int freeTaskSlots;

  FreeCapacity() {}

  FreeCapacity(double cpus, double gpus, double memoryGb, int tasks) {
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
    this.freeTaskSlots = tasks;
  }

  final void add(FreeCapacity other) {
    freeTaskSlots += other.freeTaskSlots;
    cpus += other.cpus;
    gpus += other.gpus;
    memoryGb += other.memoryGb;
  }

  /** Adds the capacity that is free on the machine and not reserved. */
  final void addFree(Machine machine) {
    freeTaskSlots += machine.freeTaskSlots();
    cpus += machine.freeCpus();
    gpus += machine.freeGpus();
    memoryGb += machine.freeMemoryGb();
  }

  /** Adds the room of one task. */
  final void add(JobSpec spec) {
    freeTaskSlots++;
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** Subtracts the room of one task. */
  final void remove(JobSpec spec) {
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
    freeTaskSlots--;
  }

  /** Returns whether one task fits. */
  final boolean hasRoomFor(JobSpec spec) {
    return fits(spec, freeTaskSlots, cpus, gpus, memoryGb);
  }

  /** Returns whether one task fits into this capacity and what is free on the machine combined. */
  final boolean hasRoomTogetherWith(Machine machine, JobSpec spec) {
    return fits(
        spec,
        machine.freeTaskSlots() + freeTaskSlots,
        machine.freeCpus() + cpus,
        machine.freeGpus() + gpus,
        machine.freeMemoryGb() + memoryGb);
  }

  private static boolean fits(
      JobSpec spec, int freeTasks, double freeCpus, double freeGpus, double freeMemoryGb) {
    return freeTasks > 0
        && freeCpus + TOLERANCE >= spec.cpus()
        && freeGpus + TOLERANCE >= spec.gpus()
        && freeMemoryGb + TOLERANCE >= spec.memoryGb();
  }

  /** Returns how many such tasks fit, at most {@code limit}. */
  final int countFittingTasks(JobSpec spec, int limit) {
    if (!hasRoomFor(spec)) {
      return 0;
    }
    double count = Math.min(limit, freeTaskSlots);
    count = spec.cpus() > 0 ? Math.min(count, (cpus + TOLERANCE) / spec.cpus()) : count;
    count = spec.gpus() > 0 ? Math.min(count, (gpus + TOLERANCE) / spec.gpus()) : count;
    count = spec.memoryGb() > 0 ? Math.min(count, (memoryGb + TOLERANCE) / spec.memoryGb()) : count;
    return Math.max(0, (int) count);
  }
}
