package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/**
 * What each team may still take of its limits, used up by one job after the other: for whoever
 * looks at many jobs of a team at once, since each alone may fit where all together do not.
 */
final class RemainingQuota {
  private static final double TOLERANCE = 1e-6;
  private final ClusterState cluster;
  private final Map<String, double[]> remaining = new HashMap<>();

  /** What of each team's use is thought to be over soon. */
  private final Map<String, double[]> soonReleased = new HashMap<>();

  RemainingQuota(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** This task will soon be over, and its team may have as much again from then on. */
  void expectRelease(TaskAttempt attempt) {
    JobSpec spec = attempt.job.spec;
    double[] available = soonReleased.computeIfAbsent(spec.team(), t -> new double[2]);
    available[0] += spec.cpus();
    available[1] += spec.gpus();
  }

  /** How many of {@code limit} tasks of the job its team may have, which are taken. */
  int take(Job job, int limit) {
    return take(
        job.spec, limit, remaining.computeIfAbsent(job.spec.team(), cluster::remainingTeamQuota));
  }

  /** The same with what the team will have when its tasks that are soon over have left. */
  int takeIncludingSoonReleased(Job job, int limit) {
    double[] now = remaining.computeIfAbsent(job.spec.team(), cluster::remainingTeamQuota);
    double[] later = soonReleased.computeIfAbsent(job.spec.team(), t -> new double[2]);
    for (int i = 0; i < now.length; i++) {
      later[i] += Math.min(0, now[i]); // what is over a limit has to be made good first
      now[i] = Math.max(0, now[i]);
    }
    int taken = take(job.spec, limit, later);
    return taken + take(job, limit - taken);
  }

  private static int take(JobSpec spec, int limit, double[] available) {
    double count = limit;
    count = spec.cpus() > 0 ? Math.min(count, available[0] / spec.cpus() + TOLERANCE) : count;
    count = spec.gpus() > 0 ? Math.min(count, available[1] / spec.gpus() + TOLERANCE) : count;
    int taken = (int) Math.max(0, count);
    available[0] -= taken * spec.cpus();
    available[1] -= taken * spec.gpus();
    return taken;
  }
}
