package org.astershift.scheduler;

/** Builds the summary lines that a leader logs at intervals about its term. */
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

  /** Returns a log line with jobs, machines, utilization, commands in flight and cost. */
  String clusterSummary() {
    int liveMachines = 0;
    int bootingMachines = 0;
    int waitingTasks = 0;
    for (Machine machine : cluster.allMachines()) {
      liveMachines += machine.state == Machine.State.LIVE ? 1 : 0;
      bootingMachines += machine.state == Machine.State.BOOTING ? 1 : 0;
    }
    for (Job job : cluster.waitingJobs) {
      waitingTasks += job.waitingCount();
    }
    return cluster.jobs.size()
        + " jobs, "
        + waitingTasks
        + " tasks waiting, "
        + liveMachines
        + " machines live, "
        + bootingMachines
        + " booting, "
        + (cluster.machines.size() - liveMachines - bootingMachines)
        + " other, "
        + cluster.utilization.summary()
        + ", "
        + concurrencyLimit
        + "; "
        + costStatistics;
  }

  /**
   * Returns a log line with the service of each class and team; warns about jobs that have not
   * started.
   */
  String serviceSummary(long nowMs) {
    // Tasks that run on unreconciled machines seem to wait.
    if (!cluster.hasUnreconciledMachines()) {
      cluster.serviceStatistics.warnAboutUnstartedJobs(
          cluster.waitingJobs, cluster::teamQuotaAllows, nowMs);
    }
    return cluster.serviceStatistics.summary(cluster.jobs.values(), nowMs);
  }
}
