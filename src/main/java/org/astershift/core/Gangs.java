package org.astershift.core;

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
final class Gangs {
  private static final Logger LOG = LoggerFactory.getLogger(Gangs.class);
  private final Cluster c;
  private final Placement placement;

  Gangs(Cluster cluster, Placement placement) {
    this.c = cluster;
    this.placement = placement;
  }

  void place(List<Job> jobs, List<Machine> usable, long nowMs) {
    boolean keeps = false;
    for (Job job : jobs) {
      if (job.spec.kind() == JobKind.GANG && !job.waiting.isEmpty() && !oldAttemptLeft(job)) {
        Map<String, Part> parts = parts(job, usable, nowMs);
        if (!place(job, parts, nowMs)
            && !job.suspect()
            && withinLimit(job)
            && !evict(job, usable, nowMs)
            && !keeps
            && starves(job, nowMs)) {
          keeps = keep(job, parts, nowMs);
        }
      }
    }
  }

  /** The old attempt has to be gone everywhere before the next one starts. */
  private static boolean oldAttemptLeft(Job job) {
    return !job.runs.isEmpty() && (job.gangRan || anyStopping(job));
  }

  /** Keeping room empty costs others their aims, so it begins late; but nobody waits for ever. */
  private static boolean starves(Job job, long nowMs) {
    double aimS = job.startAimS == null ? Constants.GANG_AIM_S : job.startAimS;
    return nowMs - job.submittedMs >= aimS * 1000 * Constants.KEEP_AFTER;
  }

  private boolean withinLimit(Job job) {
    Team team = c.facts.teams().get(job.spec.team());
    if (team == null) {
      return false;
    }
    double[] use = c.teamUse(team.name());
    int tasks = job.waitingCount();
    return team.allows(use[0] + tasks * job.spec.cpus(), use[1] + tasks * job.spec.gpus());
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
        if (old || m.score(job.spec.image()) > 0 || c.utilization(m) < c.policy.utilization()) {
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

  /** A machine that the gang could use if the tasks that only borrow it stopped. */
  private record Lent(Machine machine, List<Run> borrowers, int room) {}

  /**
   * Stops tasks of lower priority that use accelerators' processors without need, where that makes
   * room for the whole gang; a later pass seats it. False if it would not.
   */
  private boolean evict(Job job, List<Machine> usable, long nowMs) {
    if (job.spec.gpus() == 0) {
      return false;
    }
    Map<String, List<Lent>> parts = new LinkedHashMap<>();
    for (Machine m : usable) {
      if (job.usableTypes.contains(m.type) && placement.allowed(m, job, nowMs)) {
        Lent lent = lent(m, job.spec);
        if (lent.room() > 0) {
          parts.computeIfAbsent(job.spec.oneZone() ? m.zone : "", z -> new ArrayList<>()).add(lent);
        }
      }
    }
    List<Lent> best = null;
    int fewest = Integer.MAX_VALUE;
    for (List<Lent> part : parts.values()) {
      part.sort(Comparator.comparingInt(l -> l.borrowers().size()));
      int need = job.waitingCount();
      int stops = 0;
      List<Lent> chosen = new ArrayList<>();
      for (Lent l : part) {
        if (need <= 0) {
          break;
        }
        chosen.add(l);
        need -= l.room();
        stops += l.borrowers().size();
      }
      if (need <= 0 && stops < fewest) {
        best = chosen;
        fewest = stops;
      }
    }
    if (best == null) {
      return false;
    }
    for (Lent l : best) {
      for (Run run : l.borrowers()) {
        if (!run.unwanted()) {
          LOG.debug("task {} on {} gives way to {}", run.name(), l.machine().name, job.spec.id());
          c.stop(run);
        }
      }
    }
    return true;
  }

  private static Lent lent(Machine m, JobSpec spec) {
    double cpus = m.freeCpus();
    double memory = m.freeMemory();
    List<Run> borrowers = new ArrayList<>(0);
    for (Run run : m.runs.values()) {
      JobSpec other = run.job.spec;
      if (!run.exited()
          && other.gpus() == 0
          && other.kind() == JobKind.ARRAY
          && (run.unwanted() || other.priority().compareTo(spec.priority()) > 0)) {
        borrowers.add(run);
        cpus += other.cpus();
        memory += other.memoryGb();
      }
    }
    int room = new Bin(m.kind, m.zone, m.spot, cpus, m.freeGpus(), memory).fits(spec, spec.tasks());
    return new Lent(m, borrowers, room);
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
    for (Run run : job.runs.values()) {
      if (run.unwanted()) {
        return true;
      }
    }
    return false;
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
