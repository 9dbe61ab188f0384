package org.astershift.scheduler;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tasks of one job for which a plan looks for room. What has to be in one zone is covered only by
 * one zone's room, and what is spread by no more of a zone than it may use: else such a job would
 * wait for ever beside room that it cannot take.
 */
final class Demand {
  final Job job;
  private int left;
  private String only;
  private final Map<String, Integer> taken = new HashMap<>();

  Demand(Job job, int tasks) {
    this.job = job;
    this.left = tasks;
  }

  int left() {
    return left;
  }

  /** Only this zone's room counts from now on. */
  void only(String zone) {
    only = zone;
  }

  /** How many more tasks this zone may take. */
  int allowed(String zone) {
    if ((only != null && !only.equals(zone)) || !job.zoneAllowed(zone)) {
      return 0;
    }
    return job.spec.spread()
        ? Math.min(left, job.spec.spreadLimit() - job.inZone(zone) - taken.getOrDefault(zone, 0))
        : left;
  }

  void fill(List<PlannedMachine> bins) {
    for (PlannedMachine bin : bins) {
      if (left == 0) {
        return;
      }
      if (!bin.holds(job.spec)) {
        continue; // most are full: this is asked for each job and machine
      }
      for (int n = allowed(bin.zone); n > 0 && bin.take(job.spec); n--) {
        taken.merge(bin.zone, 1, Integer::sum);
        left--;
      }
    }
  }

  /** How many of the tasks find room in this zone. */
  int fits(List<PlannedMachine> bins, String zone) {
    int n = 0;
    int most = allowed(zone);
    for (PlannedMachine bin : bins) {
      if (n < most && bin.zone.equals(zone)) {
        n += bin.fits(job.spec, most - n);
      }
    }
    return n;
  }
}
