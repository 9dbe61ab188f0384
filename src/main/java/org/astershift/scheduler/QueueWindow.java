package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the jobs whose tasks a pass looks at, from a sorted queue. It ends after a number of
 * tasks, of which neither those beyond their team's quota nor those alike beyond a few count.
 */
final class QueueWindow {
  /**
   * Tasks with the same placement constraints that are looked at beyond the end, as many as one
   * machine is given in a pass. The window may be full of what fits nowhere now, and what could
   * start elsewhere must not wait behind it.
   */
  private static final int WINDOW_OVERFLOW_TASKS = 64;

  private final ClusterState cluster;
  private final RemainingQuota remainingQuota;
  private final Map<Job.PlacementConstraints, Integer> tasksByConstraints = new HashMap<>();
  private final Map<Priority, List<Job>> jobsByPriority = new EnumMap<>(Priority.class);
  private final List<Job> jobs = new ArrayList<>();

  /** Startable tasks seen so far, within the window or not. */
  private int seenTasks;

  private int tasksOverQuota;

  QueueWindow(ClusterState cluster) {
    this.cluster = cluster;
    this.remainingQuota = new RemainingQuota(cluster);
  }

  /** Adds the job if it still belongs to the window; the jobs come in the queue's order. */
  void offer(Job job) {
    int startableTasks = remainingQuota.take(job, job.waitingCount());
    seenTasks += startableTasks;
    tasksOverQuota += job.waitingCount() - startableTasks;
    if (startableTasks == 0 && tasksOverQuota >= cluster.policy.windowTasks()) {
      return;
    }
    int sameConstraintTasks =
        tasksByConstraints.merge(job.placementConstraints, startableTasks, Integer::sum)
            - startableTasks;
    if (seenTasks - startableTasks >= cluster.policy.windowTasks()
        && (startableTasks == 0 || sameConstraintTasks >= WINDOW_OVERFLOW_TASKS)) {
      return;
    }
    jobsByPriority.computeIfAbsent(job.spec.priority(), priority -> new ArrayList<>()).add(job);
    jobs.add(job);
  }

  Map<Priority, List<Job>> jobsByPriority() {
    return jobsByPriority;
  }

  /** In the queue's order. */
  List<Job> jobs() {
    return jobs;
  }
}
