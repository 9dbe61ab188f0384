package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the jobs that a pass considers, from the sorted queue. The window ends after a number of
 * tasks; tasks beyond their team's quota do not count. Beyond the end of the window jobs are still
 * added while only a few tasks with the same placement constraints came before them.
 */
final class QueueWindow {
  /**
   * Number of tasks with the same placement constraints below which further jobs are still added
   * beyond the end of the window; as many as one machine is given in a pass. The window may be full
   * of tasks that fit nowhere now, and tasks that could start on other machines must not wait
   * behind these.
   */
  private static final int WINDOW_OVERFLOW_TASKS = 64;

  private final ClusterState cluster;
  private final RemainingQuota remainingQuota;
  private final Map<Job.PlacementConstraints, Integer> tasksByConstraints = new HashMap<>();
  private final Map<Priority, List<Job>> jobsByPriority = new EnumMap<>(Priority.class);
  private final List<Job> jobs = new ArrayList<>();

  /**
   * Number of tasks within their team's quota of all jobs passed so far, whether in the window or
   * not.
   */
  private int offeredTasks;

  private int tasksOverQuota;

  QueueWindow(ClusterState cluster) {
    this.cluster = cluster;
    this.remainingQuota = new RemainingQuota(cluster);
  }

  /**
   * Adds the job if the job still belongs to the window. Has to be called for all jobs in the order
   * of the queue.
   */
  void addIfInWindow(Job job) {
    int startableTasks = remainingQuota.allocate(job, job.waitingCount());
    offeredTasks += startableTasks;
    tasksOverQuota += job.waitingCount() - startableTasks;
    if (startableTasks == 0 && tasksOverQuota >= cluster.policy.windowTasks()) {
      return;
    }
    int sameConstraintTasks =
        tasksByConstraints.merge(job.placementConstraints, startableTasks, Integer::sum)
            - startableTasks;
    if (offeredTasks - startableTasks >= cluster.policy.windowTasks()
        && (startableTasks == 0 || sameConstraintTasks >= WINDOW_OVERFLOW_TASKS)) {
      return;
    }
    jobsByPriority.computeIfAbsent(job.spec.priority(), priority -> new ArrayList<>()).add(job);
    jobs.add(job);
  }

  Map<Priority, List<Job>> jobsByPriority() {
    return jobsByPriority;
  }

  /** Returns the jobs of the window in the order of the queue. */
  List<Job> jobs() {
    return jobs;
  }
}
