package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/**
 * What each team may still take of its limits, used up by one job after the other: for whoever
 * looks at many jobs of a team at once, since each alone may fit where all together do not.
 */
final class RemainingQuota {
  private static final double TOLERANCE = 1e-6;
  private final ClusterState c;
  private final Map<String, double[]> left = new HashMap<>();

  /** What of each team's use is thought to be over soon. */
  private final Map<String, double[]> soon = new HashMap<>();

  RemainingQuota(ClusterState cluster) {
    this.c = cluster;
  }

  /** This task will soon be over, and its team may have as much again from then on. */
  void soonOver(TaskAttempt run) {
    JobSpec s = run.job.spec;
    double[] room = soon.computeIfAbsent(s.team(), t -> new double[2]);
    room[0] += s.cpus();
    room[1] += s.gpus();
  }

  /** How many of {@code most} tasks of the job its team may have, which are taken. */
  int take(Job job, int most) {
    return take(job.spec, most, left.computeIfAbsent(job.spec.team(), c::teamLeft));
  }

  /** The same with what the team will have when its tasks that are soon over have left. */
  int takeSoon(Job job, int most) {
    double[] now = left.computeIfAbsent(job.spec.team(), c::teamLeft);
    double[] later = soon.computeIfAbsent(job.spec.team(), t -> new double[2]);
    for (int i = 0; i < now.length; i++) {
      later[i] += Math.min(0, now[i]); // what is over a limit has to be made good first
      now[i] = Math.max(0, now[i]);
    }
    int taken = take(job.spec, most, later);
    return taken + take(job, most - taken);
  }

  private static int take(JobSpec s, int most, double[] room) {
    double n = most;
    n = s.cpus() > 0 ? Math.min(n, room[0] / s.cpus() + TOLERANCE) : n;
    n = s.gpus() > 0 ? Math.min(n, room[1] / s.gpus() + TOLERANCE) : n;
    int taken = (int) Math.max(0, n);
    room[0] -= taken * s.cpus();
    room[1] -= taken * s.gpus();
    return taken;
  }
}
