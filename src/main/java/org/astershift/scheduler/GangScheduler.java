package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Seats gangs: all tasks in one pass or none; and replaces tasks lost before the gang started. The
 * first gang that has waited for too long has what becomes free in a zone kept for it: otherwise
 * smaller ones take each machine, and a large gang waits for ever.
 */
final class GangScheduler {
  private static final Logger LOG = LoggerFactory.getLogger(GangScheduler.class);
  private final ClusterState c;
  private final Placement placement;

  GangScheduler(ClusterState cluster, Placement placement) {
    this.c = cluster;
    this.placement = placement;
  }

  void place(List<Job> jobs, List<Machine> usable, long nowMs) {
    boolean keeps = false;
    for (Job job : jobs) {
      if (mayStart(job)) {
        Map<String, Part> parts = parts(job, usable, nowMs);
        if (!place(job, parts, nowMs)
            && !keeps
            && !job.suspect()
            && starves(job, nowMs)
            && withinLimit(job)) {
          keeps = keep(job, parts, nowMs);
        }
      }
    }
  }

  /**
   * The same for gangs of a class that is served too little: the first that finds no room has it
   * kept.
   */
  void placeStarved(MinimumShare.Group group, List<Machine> usable, long nowMs) {
    for (Job job : group.old()) {
      if (!group.hungry()) {
        return;
      }
      if (mayStart(job) && withinLimit(job)) {
        int tasks = job.waitingCount();
        Map<String, Part> parts = parts(job, usable, nowMs);
        if (place(job, parts, nowMs)) {
          group.took(job, tasks);
        } else if (keep(job, parts, nowMs)) {
          return;
        }
      }
    }
  }

  /** Seats this gang if it finds room as it is. */
  void placeNow(Job job, List<Machine> usable, long nowMs) {
    if (mayStart(job) && withinLimit(job)) {
      place(job, parts(job, usable, nowMs), nowMs);
    }
  }

  private static boolean mayStart(Job job) {
    return job.spec.kind() == JobKind.GANG && !job.waiting.isEmpty() && !oldAttemptLeft(job);
  }

  /** The old attempt has to be gone everywhere before the next one starts. */
  private static boolean oldAttemptLeft(Job job) {
    return !job.runs.isEmpty() && (job.gangRan() || anyStopping(job));
  }

  /** Keeping room empty costs others their aims, so it begins late; but nobody waits for ever. */
  private static boolean starves(Job job, long nowMs) {
    double aimS = job.startAimS == null ? Constants.GANG_AIM_S : job.startAimS;
    return nowMs - job.submittedMs >= aimS * 1000 * Constants.KEEP_AFTER;
  }

  private boolean withinLimit(Job job) {
    return c.teamAllows(job, job.waitingCount());
  }

  /** Machines among which all tasks of a gang have to find room: one zone's, or all. */
  private static final class Part {
    /** With room now, and with the image where that counts. */
    final List<Machine> candidates = new ArrayList<>();

    /** With room now. */
    final List<Machine> free = new ArrayList<>();

    /** Tasks that the candidates can take. */
    int room;

    /** Tasks that all machines here could take if they were empty. */
    int capacity;
  }

  private Map<String, Part> parts(Job job, List<Machine> usable, long nowMs) {
    Map<String, Part> parts = new LinkedHashMap<>();
    boolean old = placement.pastAge(job, nowMs);
    for (Machine m : usable) {
      if (!job.usableTypes.contains(m.type) || !placement.allowed(m, job, nowMs)) {
        continue;
      }
      Part part = parts.computeIfAbsent(job.spec.oneZone() ? m.zone : "", z -> new Part());
      part.capacity += m.kind.capacity(job.spec);
      int fits = m.room(job.spec, job.waitingCount());
      if (fits > 0) {
        part.free.add(m);
        if (old || m.score(job.spec.image()) > 0 || c.utilization.of(m) < c.policy.utilization()) {
          part.candidates.add(m);
          part.room += fits;
        }
      }
    }
    return parts;
  }

  /** Seats the gang where it finds most images, and among these where least room is left over. */
  private boolean place(Job job, Map<String, Part> parts, long nowMs) {
    Map<Integer, Machine> best = null;
    int bestHits = -1;
    int bestRoom = 0;
    for (Part part : parts.values()) {
      if (part.room < job.waitingCount()) {
        continue;
      }
      Map<Integer, Machine> plan = new LinkedHashMap<>();
      int hits = seat(job, part.candidates, plan);
      if (plan.size() == job.waitingCount()
          && (hits > bestHits || (hits == bestHits && part.room < bestRoom))) {
        best = plan;
        bestHits = hits;
        bestRoom = part.room;
      }
    }
    if (best == null) {
      return false;
    }
    if (job.runs.isEmpty()) {
      job.gangAttempt = c.nextAttempt();
    }
    job.keptIn = null;
    for (Map.Entry<Integer, Machine> e : best.entrySet()) {
      c.place(job, e.getKey(), e.getValue(), job.gangAttempt, nowMs);
      LOG.debug("gang task {}/{} placed on {}", job.spec.id(), e.getKey(), e.getValue().name);
    }
    return true;
  }

  /** Keeps what is free for this gang in one zone. */
  private boolean keep(Job job, Map<String, Part> parts, long nowMs) {
    String best = null;
    for (Map.Entry<String, Part> e : parts.entrySet()) {
      if (e.getValue().capacity >= job.waitingCount()
          && (best == null
              || e.getKey().equals(job.keptIn)
              || (!best.equals(job.keptIn)
                  && e.getValue().free.size() > parts.get(best).free.size()))) {
        best = e.getKey();
      }
    }
    if (best == null) {
      return false;
    }
    if (!best.equals(job.keptIn)) {
      LOG.info(
          "gang {} of {} finds no room for all: what becomes free in {} is kept for it",
          job.spec.id(),
          job.spec.tasks(),
          best.isEmpty() ? "any zone" : best);
      job.keptIn = best;
    }
    for (Machine m : parts.get(best).free) {
      m.reserve(job.spec, m.room(job.spec, job.waitingCount()));
      m.idleSinceMs = nowMs;
    }
    return true;
  }

  private static boolean anyStopping(Job job) {
    for (TaskAttempt run : job.runs.values()) {
      if (run.unwanted()) {
        return true;
      }
    }
    return false;
  }

  private int seat(Job job, List<Machine> candidates, Map<Integer, Machine> plan) {
    String image = job.spec.image();
    candidates.sort(Comparator.comparingDouble(m -> -m.score(image)));
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
        if (!spread || Placement.onMachine(m, job, index) || !c.teamAllows(job, placed + 1)) {
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
