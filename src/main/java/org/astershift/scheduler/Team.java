package org.astershift.scheduler;

/** A team with its guaranteed quota and its limit; 0 means none. */
public record Team(
    String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {

  /** Whether the team has any limit. */
  public boolean isLimited() {
    return maxCpus > 0 || maxGpus > 0;
  }

  /** Tasks of the job that can run at once: of an array as many as the team's limit allows. */
  public int maxConcurrentTasks(JobSpec spec) {
    double tasks = spec.tasks();
    if (spec.kind() == JobKind.ARRAY) {
      tasks = maxCpus > 0 && spec.cpus() > 0 ? Math.min(tasks, maxCpus / spec.cpus()) : tasks;
      tasks = maxGpus > 0 && spec.gpus() > 0 ? Math.min(tasks, maxGpus / spec.gpus()) : tasks;
    }
    return (int) tasks;
  }

  /** Whether the limit allows a usage of these amounts. */
  public boolean allows(double usedCpus, double usedGpus) {
    return (maxCpus <= 0 || usedCpus <= maxCpus + 1e-9)
        && (maxGpus <= 0 || usedGpus <= maxGpus + 1e-9);
  }
}
