package org.astershift.scheduler;

/** Handles cancellations by users: stops the job's tasks and decides when to confirm. */
final class JobCancellation {
  private final ClusterState cluster;

  JobCancellation(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Prevents further starts of the job's tasks and stops them, though its end is not durable yet.
   */
  void request(String jobId) {
    Job job = cluster.jobs.get(jobId);
    if (job != null && !job.cancellationRequested) {
      job.cancellationRequested = true;
      for (TaskAttempt attempt : job.attempts.values()) {
        attempt.cancelGracePeriod();
        cluster.machinesWithPendingCommands.add(attempt.machine);
      }
      cluster.requestPass();
    }
  }

  /**
   * Returns whether a cancellation confirmed now would hold. An older leader that is partitioned
   * together with a machine must not be able to renew that machine's lease if it may hold a task of
   * the job. Any leader that renews a lease from now on stops the task in the same response, so a
   * task outlives the confirmation by at most one lease. If less time than a lease is promised, no
   * task may be left.
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

  /** Returns whether an unrenewed lease expires within the time promised for a cancellation. */
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
