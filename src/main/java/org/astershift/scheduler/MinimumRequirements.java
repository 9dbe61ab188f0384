package org.astershift.scheduler;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The minimum resources that any waiting task of some jobs needs, and the machine types that any of
 * them may use: a machine that offers less is skipped without a check of each job.
 */
final class MinimumRequirements {
  private final Set<String> types = new HashSet<>();
  private double cpus = Double.MAX_VALUE;
  private double gpus = Double.MAX_VALUE;
  private double memoryGb = Double.MAX_VALUE;

  MinimumRequirements(List<Job> jobs) {
    for (Job job : jobs) {
      if (!job.waitingTasks.isEmpty()) {
        cpus = Math.min(cpus, job.spec.cpus());
        gpus = Math.min(gpus, job.spec.gpus());
        memoryGb = Math.min(memoryGb, job.spec.memoryGb());
        types.addAll(job.usableTypes);
        types.addAll(job.backfillTypes);
      }
    }
  }

  /**
   * Returns whether one of the jobs may find room on the machine; false only if certainly none
   * does.
   */
  boolean isSatisfiedBy(Machine machine) {
    return machine.fits(cpus, gpus, memoryGb) && types.contains(machine.typeName);
  }
}
