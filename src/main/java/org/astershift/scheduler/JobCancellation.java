package org.astershift.scheduler;

/** Cancellations that users request: what they stop at once, and when they may be confirmed. */
final class JobCancellation {
  private final ClusterState cluster;

  JobCancellation(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Nothing of the job starts any more, though its end is not durable yet. */
  void request(String jobId) {
    Job job = cluster.jobs.get(jobId);
    if (job != null && !job.cancellationRequested) {
      job.cancellationRequested = true;
      for (TaskAttempt attempt : job.attempts.values()) {
        attempt.cancelGracePeriod();
        cluster.commandsPending.add(attempt.machine);
      }
      cluster.requestPass();
    }
  }

  /**
   * Whether a cancellation confirmed now would be kept: an older leader, cut off together with a
   * machine, must not be able to renew the lease of one that may hold a task of the job. Whoever
   * renews a lease from now on stops the task in the same response, so the task outlives the
   * confirmation by a lease at most; where less than that is promised, none may be left.
   */
  boolean canConfirm(String jobId) {
    Job job = cluster.jobs.get(jobId);
    if (job == null) {
      return true;
    }
    boolean mayOutliveConfirmation =
        !leaseFitsCancellationTime(cluster.limits) && job.hasAttempts();
    return !(job.inherited && cluster.hasUnreconciledMachines())
        && !isHeldOnUnfencedMachine(job)
        && !mayOutliveConfirmation;
  }

  /** Whether a lease that nobody renews expires within the time promised for a cancellation. */
  static boolean leaseFitsCancellationTime(DeploymentLimits limits) {
    return LeaseExpiry.leaseMs(limits) <= limits.cancellationS() * 1000;
  }

  private static boolean isHeldOnUnfencedMachine(Job job) {
    for (TaskAttempt attempt : job.attempts.values()) {
      if (attempt.startSent && !attempt.machine.fenced && attempt.machine.inherited) {
        return true;
      }
    }
    return false;
  }
}
