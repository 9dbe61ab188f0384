package org.astershift.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Seats gangs: all tasks in one pass or none; and replaces tasks lost before the gang started. */
final class Gangs {
  private static final Logger LOG = LoggerFactory.getLogger(Gangs.class);
  private final Cluster c;
  private final Placement placement;

  Gangs(Cluster cluster, Placement placement) {
    this.c = cluster;
    this.placement = placement;
  }

  void place(List<Job> jobs, List<Machine> usable, long nowMs) {
    for (Job job : jobs) {
      if (job.spec.kind() == JobKind.GANG && !job.waiting.isEmpty()) {
        place(job, usable, nowMs);
      }
    }
  }

  private void place(Job job, List<Machine> usable, long nowMs) {
    boolean renewing = !job.runs.isEmpty();
    if (renewing && (job.gangRan || anyStopping(job))) {
      return; // the old attempt has to be gone first
    }
    Map<Integer, Machine> best = null;
    int bestHits = -1;
    for (List<Machine> candidates : candidates(job, usable, nowMs)) {
      Map<Integer, Machine> plan = new LinkedHashMap<>();
      int hits = seat(job, candidates, plan);
      if (plan.size() == job.waitingCount() && hits > bestHits) {
        best = plan;
        bestHits = hits;
      }
    }
    if (best == null) {
      return;
    }
    if (!renewing) {
      job.gangAttempt = c.nextAttempt();
    }
    for (Map.Entry<Integer, Machine> e : best.entrySet()) {
      c.place(job, e.getKey(), e.getValue(), job.gangAttempt, nowMs);
      LOG.debug("gang task {}/{} placed on {}", job.spec.id(), e.getKey(), e.getValue().name);
    }
  }

  private static boolean anyStopping(Job job) {
    for (Run run : job.runs.values()) {
      if (run.unwanted()) {
        return true;
      }
    }
    return false;
  }

  /** Machines that could hold tasks of the job, apart by zone if it has to be in one. */
  private Iterable<List<Machine>> candidates(Job job, List<Machine> usable, long nowMs) {
    Map<String, List<Machine>> byZone = new LinkedHashMap<>();
    Map<String, Integer> room = new HashMap<>();
    boolean old = placement.pastAge(job, nowMs);
    for (Machine m : usable) {
      int fits = m.room(job.spec, job.waitingCount());
      if (fits > 0
          && placement.allowed(m, job)
          && (old || m.score(job.spec.image()) > 0 || c.utilization(m) < c.policy.utilization())) {
        String part = job.spec.oneZone() ? m.zone : "";
        byZone.computeIfAbsent(part, z -> new ArrayList<>()).add(m);
        room.merge(part, fits, Integer::sum);
      }
    }
    byZone.keySet().removeIf(zone -> room.get(zone) < job.waitingCount());
    return byZone.values();
  }

  private int seat(Job job, List<Machine> candidates, Map<Integer, Machine> plan) {
    String image = job.spec.image();
    candidates.sort(Comparator.comparingDouble(m -> -m.score(image)));
    Team team = c.facts.teams().get(job.spec.team());
    if (team == null) {
      return 0;
    }
    double[] use = c.teamUse(team.name());
    Map<String, Integer> zoneUse = new HashMap<>();
    int hits = 0;
    int placed = 0;
    int index = job.waiting.nextSetBit(0);
    for (Machine m : candidates) {
      int room = m.room(job.spec, job.waitingCount());
      for (int here = 0; here < room && index >= 0; here++) {
        boolean spread =
            !job.spec.spread()
                || job.inZone(m.zone) + zoneUse.getOrDefault(m.zone, 0) < job.spec.spreadLimit();
        if (!spread
            || Placement.onMachine(m, job, index)
            || !team.allows(
                use[0] + (placed + 1) * job.spec.cpus(), use[1] + (placed + 1) * job.spec.gpus())) {
          break;
        }
        plan.put(index, m);
        zoneUse.merge(m.zone, 1, Integer::sum);
        placed++;
        hits += m.score(image) == 1 ? 1 : 0;
        index = job.waiting.nextSetBit(index + 1);
      }
    }
    return hits;
  }
}
