package org.astershift.scheduler;

/** A team's guarantee and limit; 0 means none. */
public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {

  /** Whether anything limits what the team's tasks use at any time. */
  public boolean limited() {
    return cpusMax > 0 || gpusMax > 0;
  }

  /** Tasks of the job that may run at once: of an array as many as the limit allows. */
  public int atOnce(JobSpec s) {
    double n = s.tasks();
    if (s.kind() == JobKind.ARRAY) {
      n = cpusMax > 0 && s.cpus() > 0 ? Math.min(n, cpusMax / s.cpus()) : n;
      n = gpusMax > 0 && s.gpus() > 0 ? Math.min(n, gpusMax / s.gpus()) : n;
    }
    return (int) n;
  }

  /** Whether use may grow to these amounts. */
  public boolean allows(double usedCpus, double usedGpus) {
    return (cpusMax <= 0 || usedCpus <= cpusMax + 1e-9)
        && (gpusMax <= 0 || usedGpus <= gpusMax + 1e-9);
  }
}
