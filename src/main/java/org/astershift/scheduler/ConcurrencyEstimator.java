package org.astershift.scheduler;

/** How many tasks of a job should run at once, which is what scale-out plans for. */
final class ConcurrencyEstimator {
  private final MachineTypeCatalog types;

  ConcurrencyEstimator(MachineTypeCatalog types) {
    this.types = types;
  }

  /** How many of the waiting tasks should run at once for the job to be in time. */
  int desiredConcurrency(Job job, long nowMs) {
    JobSpec spec = job.spec;
    if (job.isSuspect()) {
      // A probe needs one machine; a gang that is probably broken waits for what is there.
      return spec.kind() == JobKind.GANG || job.probeInProgress() ? 0 : 1;
    }
    int tasks = job.waitingCount();
    Double endS = job.completionDueS();
    if (spec.kind() == JobKind.ARRAY && endS != null && spec.estimateS() > 0) {
      double leftS = endS - (nowMs - job.submittedMs) / 1000.0 - spec.estimateS() / 2;
      leftS -= job.hasLongStartObjective() ? startupDelayS(job) : 0;
      double rounds = Math.max(1, leftS / spec.estimateS());
      tasks = (int) Math.min(tasks, Math.ceil(tasks / rounds));
    }
    return tasks;
  }

  /** Seconds until a machine requested now could run a task of the job: its boot and its fetch. */
  private double startupDelayS(Job job) {
    double fastestS = Double.MAX_VALUE;
    for (String name : job.usableTypes) {
      MachineType type = types.all().get(name);
      fastestS = Math.min(fastestS, type.bootS() + job.spec.imageGb() / type.fetchGbPerS());
    }
    return fastestS == Double.MAX_VALUE ? 0 : fastestS;
  }

  /** Milliseconds in which the fastest type boots. */
  long fastestBootMs() {
    double fastestS = Double.MAX_VALUE;
    for (MachineType type : types.all().values()) {
      fastestS = Math.min(fastestS, type.bootS());
    }
    return (long) (fastestS * 1000);
  }
}
