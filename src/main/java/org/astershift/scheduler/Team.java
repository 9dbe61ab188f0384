package org.astershift.scheduler;

/**
 * A team with its guaranteed quota and its quota, the most that its tasks may use together, both in
 * processors and accelerators; 0 means none.
 */
public record Team(
    String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {

  /** Returns whether the team has any quota. */
  public boolean hasQuota() {
    return maxCpus > 0 || maxGpus > 0;
  }

  /**
   * Returns how many tasks of the job can run at once: of an array as many as the team's quota
   * allows, of any other job all.
   */
  public int maxConcurrentTasks(JobSpec spec) {
    double tasks = spec.tasks();
    if (spec.kind() == JobKind.ARRAY) {
      tasks = maxCpus > 0 && spec.cpus() > 0 ? Math.min(tasks, maxCpus / spec.cpus()) : tasks;
      tasks = maxGpus > 0 && spec.gpus() > 0 ? Math.min(tasks, maxGpus / spec.gpus()) : tasks;
    }
    return (int) tasks;
  }

  /** Returns whether the quota allows the team to use these amounts. */
  public boolean allows(double usedCpus, double usedGpus) {
    return (maxCpus <= 0 || usedCpus <= maxCpus + 1e-9)
        && (maxGpus <= 0 || usedGpus <= maxGpus + 1e-9);
  }
}
