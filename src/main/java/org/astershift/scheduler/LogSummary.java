package org.astershift.scheduler;

/** The lines that a leader logs at intervals about its term. */
final class LogSummary {
  private final ClusterState cluster;
  private final CommandConcurrencyLimit concurrencyLimit;
  private final CostStatistics costStatistics;

  LogSummary(
      ClusterState cluster,
      CommandConcurrencyLimit concurrencyLimit,
      CostStatistics costStatistics) {
    this.cluster = cluster;
    this.concurrencyLimit = concurrencyLimit;
    this.costStatistics = costStatistics;
  }

  /** Jobs, machines, utilization, commands in flight and cost. */
  String clusterLine() {
    int live = 0;
    int booting = 0;
    int waiting = 0;
    for (Machine machine : cluster.allMachines()) {
      live += machine.state == Machine.State.LIVE ? 1 : 0;
      booting += machine.state == Machine.State.BOOTING ? 1 : 0;
    }
    for (Job job : cluster.waitingJobs) {
      waiting += job.waitingCount();
    }
    return cluster.jobs.size()
        + " jobs, "
        + waiting
        + " tasks wait, "
        + live
        + " machines live, "
        + booting
        + " booting, "
        + (cluster.machines.size() - live - booting)
        + " other, "
        + cluster.utilization.summary()
        + ", "
        + concurrencyLimit
        + "; "
        + costStatistics;
  }

  /** The service of each class and team; warns of jobs that do not start. */
  String serviceLine(long nowMs) {
    // Tasks on unreconciled machines seem to wait.
    if (!cluster.hasUnreconciledMachines()) {
      cluster.serviceStatistics.warnAboutUnstartedJobs(
          cluster.waitingJobs, cluster::teamQuotaAllows, nowMs);
    }
    return cluster.serviceStatistics.summary(cluster.jobs.values(), nowMs);
  }
}
