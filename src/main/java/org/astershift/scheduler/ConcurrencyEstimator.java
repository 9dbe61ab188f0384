package org.astershift.scheduler;

/** Estimates how many tasks of a job should run at once; scale-out plans for that many. */
final class ConcurrencyEstimator {
  private final MachineTypeCatalog types;

  ConcurrencyEstimator(MachineTypeCatalog types) {
    this.types = types;
  }

  /** Returns how many of the waiting tasks should run at once for the job to be on time. */
  int desiredConcurrency(Job job, long nowMs) {
    JobSpec spec = job.spec;
    if (job.isSuspect()) {
      // A probe needs one machine; a gang that is probably broken waits for room on existing
      // machines.
      return spec.kind() == JobKind.GANG || job.isProbeInProgress() ? 0 : 1;
    }
    int tasks = job.waitingCount();
    Double dueS = job.completionDueS();
    if (spec.kind() == JobKind.ARRAY && dueS != null && spec.estimateS() > 0) {
      double remainingS = dueS - (nowMs - job.submittedMs) / 1000.0 - spec.estimateS() / 2;
      remainingS -= job.hasLongStartObjective() ? startupDelayS(job) : 0;
      double rounds = Math.max(1, remainingS / spec.estimateS());
      tasks = (int) Math.min(tasks, Math.ceil(tasks / rounds));
    }
    return tasks;
  }

  /**
   * Returns the seconds that a machine requested now needs before it could run a task of the job:
   * its boot and the image fetch.
   */
  private double startupDelayS(Job job) {
    double fastestS = Double.MAX_VALUE;
    for (String name : job.usableTypes) {
      MachineType type = types.all().get(name);
      fastestS = Math.min(fastestS, type.bootS() + job.spec.imageGb() / type.fetchGbPerS());
    }
    return fastestS == Double.MAX_VALUE ? 0 : fastestS;
  }

  /** Returns the boot time of the type that boots fastest, in milliseconds. */
  long fastestBootMs() {
    double fastestS = Double.MAX_VALUE;
    for (MachineType type : types.all().values()) {
      fastestS = Math.min(fastestS, type.bootS());
    }
    return (long) (fastestS * 1000);
  }
}
