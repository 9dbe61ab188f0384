package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The wait queue's window: the first tasks that may start now, as jobs, since all tasks of a job
 * share image and needs. Sorted anew by each pass; between passes it is used as it was.
 */
final class WaitQueue {
  /**
   * Tasks of each kind of place and need that are looked at beyond the window: as many as one
   * machine is given in a pass. The window may be full of what fits nowhere for now, and what could
   * start elsewhere waited behind it beside room.
   */
  private static final int WINDOW_OVERFLOW_TASKS = 64;

  private final ClusterState cluster;
  private final Map<Priority, List<Job>> jobsByPriority = new EnumMap<>(Priority.class);

  /** Those of them for which something is aimed at, gangs apart. */
  private final List<Job> withObjective = new ArrayList<>();

  private final DeadlineAdmission deadlineAdmission;

  /** Of all jobs in the window, as they were when it was sorted. */
  private MinimumRequirements minimumRequirements = new MinimumRequirements(List.of());

  WaitQueue(ClusterState cluster) {
    this.cluster = cluster;
    this.deadlineAdmission = new DeadlineAdmission(cluster);
  }

  /**
   * Jobs of this priority within the window, the first to serve first; some may be served by now.
   */
  List<Job> tier(Priority priority) {
    return jobsByPriority.getOrDefault(priority, List.of());
  }

  /**
   * Whether a job with an aim waits that may use the machine: then room that is too small for its
   * tasks must not go to those with no aim, or it would never become large enough.
   */
  boolean hasWaitingObjectiveWork(Machine machine) {
    for (Job job : withObjective) {
      if (!job.waitingTasks.isEmpty()
          && (job.spec.spotAllowed() || !machine.spot)
          && job.usableTypes.contains(machine.typeName)
          && job.zoneAllowed(machine.zone)
          && cluster.teamQuotaAllows(job)) {
        return true;
      }
    }
    return false;
  }

  /** Whether the machine has room for anything in the window. */
  boolean hasRoomForAny(Machine machine) {
    return minimumRequirements.satisfiedBy(machine);
  }

  boolean isEmpty() {
    return jobsByPriority.isEmpty();
  }

  void refresh(long nowMs) {
    jobsByPriority.clear();
    List<Job> queue = new ArrayList<>();
    Map<Priority, List<Job>> deadlineJobs = new EnumMap<>(Priority.class);
    for (Job job : cluster.waitingJobs) {
      FaultAttribution.checkProbe(job, nowMs);
      if (isStartable(job, nowMs)) {
        boolean byStartObjective = job.startObjectiveS != null && !job.isDeadlineDriven();
        job.urgencyMs =
            byStartObjective ? job.submittedMs + job.startObjectiveS * 1000 : job.latestStartMs();
        job.bestEffort = !job.hasObjective && !isBelowGuarantee(job);
        queue.add(job);
        if (job.isDeadlineDriven() && !job.isSuspect()) {
          deadlineJobs.computeIfAbsent(job.spec.priority(), priority -> new ArrayList<>()).add(job);
        }
      }
    }
    cluster.minimumShare.refresh(queue, nowMs);
    deadlineJobs.forEach(
        (priority, jobs) -> deadlineAdmission.assignUrgency(priority, jobs, nowMs));
    queue.sort(
        Comparator.comparing((Job job) -> job.spec.priority())
            .thenComparing(Job::isSuspect)
            .thenComparing(job -> !job.withinGuaranteedQuota)
            .thenComparing(job -> job.bestEffort)
            .thenComparingDouble(job -> job.urgencyMs)
            .thenComparingLong(job -> job.submittedMs));
    fillWindow(queue);
  }

  private void fillWindow(List<Job> queue) {
    int tasks = 0;
    int tasksOverQuota = 0;
    Map<Job.PlacementConstraints, Integer> tasksByConstraints = new HashMap<>();
    RemainingQuota remainingQuota = new RemainingQuota(cluster);
    List<Job> windowJobs = new ArrayList<>();
    withObjective.clear();
    for (Job job : queue) {
      // What its team's limit keeps from starting takes no place of what may start: the window was
      // full of one team's tasks while a tenth of the machines stood idle and others' waited.
      int startableTasks = remainingQuota.take(job, job.waitingCount());
      tasks += startableTasks;
      tasksOverQuota += job.waitingCount() - startableTasks;
      if (startableTasks == 0 && tasksOverQuota >= cluster.policy.windowTasks()) {
        continue;
      }
      // Nor does what fits nowhere keep from it what may start elsewhere: of each kind of place and
      // need some are looked at beyond its end.
      int sameConstraintTasks =
          tasksByConstraints.merge(job.placementConstraints, startableTasks, Integer::sum)
              - startableTasks;
      if (tasks - startableTasks >= cluster.policy.windowTasks()
          && (startableTasks == 0 || sameConstraintTasks >= WINDOW_OVERFLOW_TASKS)) {
        continue;
      }
      if (job.hasObjective && job.spec.kind() != JobKind.GANG && !job.isSuspect()) {
        withObjective.add(job);
      }
      jobsByPriority.computeIfAbsent(job.spec.priority(), priority -> new ArrayList<>()).add(job);
      windowJobs.add(job);
    }
    // What is starved goes before the window, and most of it stands beyond its end.
    cluster.minimumShare.starved().forEach(group -> windowJobs.addAll(group.agedJobs()));
    minimumRequirements = new MinimumRequirements(windowJobs);
  }

  /** Whether tasks of the job may be placed now. */
  boolean isStartable(Job job, long nowMs) {
    if (job.waitingTasks.isEmpty()
        || job.cancellationRequested
        || job.state != Job.State.LIVE
        || nowMs < job.pausedUntilMs) {
      return false;
    }
    // A broken job is probed by one task at a time.
    if (job.probeInProgress()) {
      return false;
    }
    // What is not heard may hold tasks of opened jobs; what it may use of limits is in teamAllows.
    return !cluster.anyUnreconciled() || !job.inherited;
  }

  private boolean isBelowGuarantee(Job job) {
    Team team = cluster.limits.teams().get(job.spec.team());
    if (team == null) {
      return false;
    }
    double[] usage = cluster.teamUsage(team.name());
    JobSpec spec = job.spec;
    return spec.gpus() > 0
        ? usage[1] + spec.gpus() <= team.guaranteedGpus() + 1e-9
        : usage[0] + spec.cpus() <= team.guaranteedCpus() + 1e-9;
  }
}
