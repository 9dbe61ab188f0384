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
  private final Map<String, Amounts> remaining = new HashMap<>();

  /** The part of each team's usage that is expected to be released soon. */
  private final Map<String, Amounts> soonReleased = new HashMap<>();

  /** Processors and accelerators that a team may take. */
  private static final class Amounts {
    private double cpus;
    private double gpus;

    Amounts(double cpus, double gpus) {
      this.cpus = cpus;
      this.gpus = gpus;
    }

    /**
     * Moves the amount by which a team is over its quota from {@code now} to here, since it has to
     * be released first.
     */
    void absorbDeficit(Amounts now) {
      cpus += Math.min(0, now.cpus);
      now.cpus = Math.max(0, now.cpus);
      gpus += Math.min(0, now.gpus);
      now.gpus = Math.max(0, now.gpus);
    }

    /** Takes quota for as many tasks as fit, at most {@code limit}; returns how many. */
    int take(JobSpec spec, int limit) {
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
    Amounts amounts = soonReleasedOf(spec.team());
    amounts.cpus += spec.cpus();
    amounts.gpus += spec.gpus();
  }

  /**
   * Takes quota for as many tasks of the job as its team may run, at most {@code limit}; returns
   * how many.
   */
  int take(Job job, int limit) {
    return remainingOf(job.spec.team()).take(job.spec, limit);
  }

  /**
   * Does the same as {@link #take}, but first uses the quota that tasks of the team which end soon
   * will release.
   */
  int takeIncludingSoonReleased(Job job, int limit) {
    Amounts later = soonReleasedOf(job.spec.team());
    later.absorbDeficit(remainingOf(job.spec.team()));
    int taken = later.take(job.spec, limit);
    return taken + take(job, limit - taken);
  }

  private Amounts remainingOf(String team) {
    return remaining.computeIfAbsent(team, this::remainingNow);
  }

  private Amounts remainingNow(String team) {
    double[] cpusAndGpus = cluster.remainingTeamQuota(team);
    return new Amounts(cpusAndGpus[0], cpusAndGpus[1]);
  }

  private Amounts soonReleasedOf(String team) {
    return soonReleased.computeIfAbsent(team, name -> new Amounts(0, 0));
  }
}
