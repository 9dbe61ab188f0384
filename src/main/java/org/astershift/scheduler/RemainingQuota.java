package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/**
 * The quota that each team may still take. Jobs use it up one after the other: several jobs of a
 * team may each fit alone and not all together.
 */
final class RemainingQuota {
  private static final double TOLERANCE = 1e-6;
  private final ClusterState cluster;
  private final Map<String, ResourceAmounts> remainingByTeam = new HashMap<>();

  /** The part of each team's usage that is expected to be released soon. */
  private final Map<String, ResourceAmounts> soonReleasedByTeam = new HashMap<>();

  /** Processors and accelerators that a team may take. */
  private static final class ResourceAmounts {
    private double cpus;
    private double gpus;

    ResourceAmounts(double cpus, double gpus) {
      this.cpus = cpus;
      this.gpus = gpus;
    }

    /**
     * Moves the amount by which a team is over its quota from {@code now} to here, since it has to
     * be released first.
     */
    void absorbDeficit(ResourceAmounts now) {
      cpus += Math.min(0, now.cpus);
      now.cpus = Math.max(0, now.cpus);
      gpus += Math.min(0, now.gpus);
      now.gpus = Math.max(0, now.gpus);
    }

    /** Takes quota for as many tasks as fit, at most {@code limit}; returns how many. */
    int allocate(JobSpec spec, int limit) {
      double count = limit;
      count = spec.cpus() > 0 ? Math.min(count, cpus / spec.cpus() + TOLERANCE) : count;
      count = spec.gpus() > 0 ? Math.min(count, gpus / spec.gpus() + TOLERANCE) : count;
      int taken = (int) Math.max(0, count);
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
   * Takes quota for as many tasks of the job as its team may run, at most {@code limit}; returns
   * how many.
   */
  int allocate(Job job, int limit) {
    return remainingOf(job.spec.team()).allocate(job.spec, limit);
  }

  /**
   * Does the same as {@link #allocate}, but first uses the quota that tasks of the team which end
   * soon will release.
   */
  int allocateIncludingSoonReleased(Job job, int limit) {
    ResourceAmounts later = soonReleasedOf(job.spec.team());
    later.absorbDeficit(remainingOf(job.spec.team()));
    int taken = later.allocate(job.spec, limit);
    return taken + allocate(job, limit - taken);
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
