package org.astershift.core;

import java.util.HashMap;
import java.util.Map;

/**
 * What each team may still take of its limits, used up by one job after the other: for whoever
 * looks at many jobs of a team at once, since each alone may fit where all together do not.
 */
final class Allowance {
  private static final double TOLERANCE = 1e-6;
  private final Cluster c;
  private final Map<String, double[]> left = new HashMap<>();

  Allowance(Cluster cluster) {
    this.c = cluster;
  }

  /** How many of {@code most} tasks of the job its team may have, which are taken. */
  int take(Job job, int most) {
    double[] room = left.computeIfAbsent(job.spec.team(), c::teamLeft);
    JobSpec s = job.spec;
    double n = most;
    n = s.cpus() > 0 ? Math.min(n, room[0] / s.cpus() + TOLERANCE) : n;
    n = s.gpus() > 0 ? Math.min(n, room[1] / s.gpus() + TOLERANCE) : n;
    int taken = (int) Math.max(0, n);
    room[0] -= taken * s.cpus();
    room[1] -= taken * s.gpus();
    return taken;
  }
}
