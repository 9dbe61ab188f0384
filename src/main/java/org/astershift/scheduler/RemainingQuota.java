package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/**
 * The quota that each team has left. Jobs use it up one after the other: several jobs of a team may
 * each fit alone and not all together.
 */
final class RemainingQuota {
  private static final double TOLERANCE = 1e-6;
  private final ClusterState cluster;
  private final Map<String, ResourceAmounts> remainingByTeam = new HashMap<>();

  /** The part of each team's usage that is expected to be released soon. */
  private final Map<String, ResourceAmounts> soonReleasedByTeam = new HashMap<>();

  /** Processors and accelerators that a team may still use. */
  private static final class ResourceAmounts {
    private double cpus;
    private double gpus;

    ResourceAmounts(double cpus, double gpus) {
      this.cpus = cpus;
      this.gpus = gpus;
    }

    /**
     * Moves the amount by which a team is over its quota from {@code remaining} to here, since that
     * amount has to be released first.
     */
    void absorbDeficit(ResourceAmounts remaining) {
      cpus += Math.min(0, remaining.cpus);
      remaining.cpus = Math.max(0, remaining.cpus);
      gpus += Math.min(0, remaining.gpus);
      remaining.gpus = Math.max(0, remaining.gpus);
    }

    /** Takes quota for as many tasks as fit, at most {@code maxTasks}; returns how many. */
    int allocate(JobSpec spec, int maxTasks) {
      double taskCount = maxTasks;
      taskCount = spec.cpus() > 0 ? Math.min(taskCount, cpus / spec.cpus() + TOLERANCE) : taskCount;
      taskCount = spec.gpus() > 0 ? Math.min(taskCount, gpus / spec.gpus() + TOLERANCE) : taskCount;
      int taken = (int) Math.max(0, taskCount);
      cpus -= taken * spec.cpus();
      gpus -= taken * spec.gpus();
      return taken;
    }
  }

  RemainingQuota(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Records that this task will end soon, and that its team may use its resources from then on. */
  void expectRelease(TaskAttempt attempt) {
    JobSpec spec = attempt.job.spec;
    ResourceAmounts amounts = soonReleasedOf(spec.team());
    amounts.cpus += spec.cpus();
    amounts.gpus += spec.gpus();
  }

  /**
   * Takes quota for as many tasks of the job as its team may run, at most {@code maxTasks}; returns
   * how many.
   */
  int allocate(Job job, int maxTasks) {
    return remainingOf(job.spec.team()).allocate(job.spec, maxTasks);
  }

  /**
   * Does the same as {@link #allocate}, but first uses the quota that tasks of the team which end
   * soon will release.
   */
  int allocateIncludingSoonReleased(Job job, int maxTasks) {
    ResourceAmounts soonReleased = soonReleasedOf(job.spec.team());
    soonReleased.absorbDeficit(remainingOf(job.spec.team()));
    int taken = soonReleased.allocate(job.spec, maxTasks);
    return taken + allocate(job, maxTasks - taken);
  }

  private ResourceAmounts remainingOf(String team) {
    return remainingByTeam.computeIfAbsent(team, this::computeRemaining);
  }

  private ResourceAmounts computeRemaining(String team) {
    double[] cpusAndGpus = cluster.remainingTeamQuota(team);
    return new ResourceAmounts(cpusAndGpus[0], cpusAndGpus[1]);
  }

  private ResourceAmounts soonReleasedOf(String team) {
    return soonReleasedByTeam.computeIfAbsent(team, name -> new ResourceAmounts(0, 0));
  }
}
