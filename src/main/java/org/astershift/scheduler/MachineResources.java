package org.astershift.scheduler;

/** Sums of the resources that the tasks held by one machine use. */
final class MachineResources {
  private double usedCpus;
  private double usedGpus;
  private double usedMemoryGb;
  private double replicaCpus;
  private double nonGpuCpus;
  private double nonGpuMemoryGb;
  private int heldAttemptCount;

  /** Adds one task of the job, or removes one if {@code sign} is -1. */
  void add(JobSpec spec, int sign) {
    usedCpus += sign * spec.cpus();
    usedGpus += sign * spec.gpus();
    usedMemoryGb += sign * spec.memoryGb();
    replicaCpus += spec.kind() == JobKind.SERVICE ? sign * spec.cpus() : 0;
    if (spec.gpus() == 0) {
      nonGpuCpus += sign * spec.cpus();
      nonGpuMemoryGb += sign * spec.memoryGb();
    }
    heldAttemptCount += sign;
    if (heldAttemptCount == 0) {
      clear();
    }
  }

  /** Resets the sums: sums of fractions drift, and an empty machine uses exactly nothing. */
  private void clear() {
    usedCpus = 0;
    usedGpus = 0;
    usedMemoryGb = 0;
    replicaCpus = 0;
    nonGpuCpus = 0;
    nonGpuMemoryGb = 0;
  }

  double usedCpus() {
    return usedCpus;
  }

  double usedGpus() {
    return usedGpus;
  }

  double usedMemoryGb() {
    return usedMemoryGb;
  }

  /** Returns the processors that service replicas use. */
  double replicaCpus() {
    return replicaCpus;
  }

  /** Returns the processors that tasks without accelerators use. */
  double nonGpuCpus() {
    return nonGpuCpus;
  }

  /** Returns the memory in GB that tasks without accelerators use. */
  double nonGpuMemoryGb() {
    return nonGpuMemoryGb;
  }

  int heldAttemptCount() {
    return heldAttemptCount;
  }
}
