package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The window of the wait queue: the first tasks that may start now, grouped by job, since all tasks
 * of a job share their image and requirements. Each pass sorts the queue and selects the window
 * again; between passes the window of the last pass is used.
 */
final class WaitQueue {
  private static final double TOLERANCE = 1e-9;

  private static final Comparator<Job> SERVICE_ORDER =
      Comparator.comparing((Job job) -> job.spec.priority())
          .thenComparing(Job::isSuspect)
          .thenComparing(job -> !job.withinGuaranteedQuota)
          .thenComparing(job -> job.bestEffort)
          .thenComparingDouble(job -> job.urgencyMs)
          .thenComparingLong(job -> job.submittedMs);

  private final ClusterState cluster;
  private final DeadlineAdmission deadlineAdmission;
  private Map<Priority, List<Job>> jobsByPriority = Map.of();

  /** Jobs in the window that have objectives, without gangs and suspect jobs. */
  private final List<Job> objectiveJobs = new ArrayList<>();

  /** The requirements of all jobs in the window and in starved groups, as of the last sort. */
  private MinimumRequirements minimumRequirements = new MinimumRequirements(List.of());

  WaitQueue(ClusterState cluster) {
    this.cluster = cluster;
    this.deadlineAdmission = new DeadlineAdmission(cluster);
  }

  /**
   * Returns the jobs of this priority in the window, in the order in which to serve them; some may
   * have been served since the last sort.
   */
  List<Job> jobsWithPriority(Priority priority) {
    return jobsByPriority.getOrDefault(priority, List.of());
  }

  /**
   * Returns whether a job with an objective is waiting that may use the machine. Room that is too
   * small for its tasks must then not go to jobs without objectives, or the room would never become
   * large enough.
   */
  boolean hasWaitingObjectiveWork(Machine machine) {
    for (Job job : objectiveJobs) {
      if (!job.waitingTasks.isEmpty()
          && (job.spec.spotAllowed() || !machine.spot)
          && job.usableTypes.contains(machine.typeName)
          && job.isZoneAllowed(machine.zone)
          && cluster.teamQuotaAllows(job)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether the machine may have room for any job in the window; false only if there is
   * none.
   */
  boolean hasRoomForAny(Machine machine) {
    return minimumRequirements.isSatisfiedBy(machine);
  }

  boolean isEmpty() {
    return jobsByPriority.isEmpty();
  }

  /** Sorts all waiting jobs and selects the window again. */
  void refresh(long nowMs) {
    jobsByPriority = Map.of();
    List<Job> startable = collectStartableJobs(nowMs);
    cluster.minimumShare.refresh(startable, nowMs);
    assignDeadlineUrgency(startable, nowMs);
    startable.sort(SERVICE_ORDER);
    fillWindow(startable);
  }

  /** Returns the jobs with tasks that may start now, with their sort keys set. */
  private List<Job> collectStartableJobs(long nowMs) {
    List<Job> startable = new ArrayList<>();
    for (Job job : cluster.waitingJobs) {
      FaultAttribution.checkProbe(job, nowMs);
      if (isStartable(job, nowMs)) {
        boolean byStartObjective = job.startObjectiveS != null && !job.isDeadlineDriven();
        job.urgencyMs =
            byStartObjective ? job.submittedMs + job.startObjectiveS * 1000 : job.latestStartMs();
        job.bestEffort = !job.hasObjective && !isBelowGuaranteedQuota(job);
        startable.add(job);
      }
    }
    return startable;
  }

  private void assignDeadlineUrgency(List<Job> startable, long nowMs) {
    Map<Priority, List<Job>> deadlineJobs = new EnumMap<>(Priority.class);
    for (Job job : startable) {
      if (job.isDeadlineDriven() && !job.isSuspect()) {
        deadlineJobs.computeIfAbsent(job.spec.priority(), priority -> new ArrayList<>()).add(job);
      }
    }
    deadlineJobs.forEach(
        (priority, jobs) -> deadlineAdmission.assignUrgency(priority, jobs, nowMs));
  }

  private void fillWindow(List<Job> queue) {
    QueueWindow window = new QueueWindow(cluster);
    for (Job job : queue) {
      window.addIfInWindow(job);
    }
    jobsByPriority = window.jobsByPriority();
    objectiveJobs.clear();
    for (Job job : window.jobs()) {
      if (job.hasObjective && job.spec.kind() != JobKind.GANG && !job.isSuspect()) {
        objectiveJobs.add(job);
      }
    }
    // Starved groups are served even if their jobs are outside the window.
    List<Job> servedJobs = new ArrayList<>(window.jobs());
    cluster.minimumShare.starvedGroups().forEach(group -> servedJobs.addAll(group.agedJobs()));
    minimumRequirements = new MinimumRequirements(servedJobs);
  }

  /** Returns whether tasks of the job may be placed now. */
  boolean isStartable(Job job, long nowMs) {
    if (job.waitingTasks.isEmpty()
        || job.cancellationRequested
        || job.state != Job.State.LIVE
        || nowMs < job.pausedUntilMs) {
      return false;
    }
    // A suspect job is probed by one task at a time.
    if (job.isProbeInProgress()) {
      return false;
    }
    // Unreconciled machines may hold tasks of inherited jobs, so these jobs wait. The usage of such
    // tasks is counted in teamQuotaAllows.
    return !cluster.hasUnreconciledMachines() || !job.inherited;
  }

  private boolean isBelowGuaranteedQuota(Job job) {
    Team team = cluster.limits.teams().get(job.spec.team());
    if (team == null) {
      return false;
    }
    double[] usage = cluster.teamUsage(team.name());
    double usedCpus = usage[0];
    double usedGpus = usage[1];
    JobSpec spec = job.spec;
    return spec.gpus() > 0
        ? usedGpus + spec.gpus() <= team.guaranteedGpus() + TOLERANCE
        : usedCpus + spec.cpus() <= team.guaranteedCpus() + TOLERANCE;
  }
}
