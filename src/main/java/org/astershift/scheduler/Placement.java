package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Puts waiting tasks on free machines by the paper's good-cache-compute policy: for each free
 * machine a window of the queue is scored by cached image; full hits go first, then the best
 * scorers; without a hit a machine takes the top tasks below the utilization threshold and stays
 * free above it, unless a task has passed its waiting age.
 */
final class Placement {
  private static final Logger LOG = LoggerFactory.getLogger(Placement.class);

  /** Cached images first, then those being fetched, then none. */
  private static final double[] BY_SCORE = {1, 0.1, 0};

  private final ClusterState c;
  private final WaitQueue queue;
  private final GangScheduler gangs;
  private final Preemption preemption;

  /** Since when jobs have been kept from room that others wait for, by what they need. */
  private final Map<Job.PlacementConstraints, Long> heldBackMs = new HashMap<>();

  /** Those of them that found room since the last pass began, and those that may have it. */
  private final Set<Job.PlacementConstraints> heldBackNow = new HashSet<>();

  private final Set<Job.PlacementConstraints> letThrough = new HashSet<>();

  /** A pass is under way, which looks at all machines. */
  private boolean passing;

  Placement(ClusterState cluster) {
    this.c = cluster;
    this.queue = new WaitQueue(cluster);
    this.gangs = new GangScheduler(cluster, this);
    this.preemption = new Preemption(cluster, this);
  }

  /** All free machines and the whole window. */
  void pass(long nowMs) {
    c.recount();
    holdBackAnew();
    queue.refresh(nowMs);
    if (queue.isEmpty()) {
      return;
    }
    List<Machine> usable = new ArrayList<>();
    for (Machine m : c.all()) {
      m.clearReserved();
      m.taken = 0;
      if (c.usable(m, nowMs)) {
        usable.add(m);
      }
    }
    passing = true;
    for (Priority priority : Priority.values()) {
      pass(queue.tier(priority), usable, nowMs);
      if (priority == Priority.PRODUCTION) {
        c.floor.starved().forEach(g -> starved(g, usable, nowMs));
      }
    }
    placeBesideReserved(usable, nowMs);
    passing = false;
  }

  /**
   * Lets those have reserved room who waited beside it for too long. What it is kept for cannot
   * start yet, maybe for minutes, since something else on the machine runs on.
   */
  private void placeBesideReserved(List<Machine> usable, long nowMs) {
    Map<Machine, Reservation> reserved = new LinkedHashMap<>();
    for (Machine m : usable) {
      if (m.reserved()) {
        reserved.put(m, m.clearReserved());
      }
    }
    if (reserved.isEmpty()) {
      return;
    }
    List<Machine> machines = new ArrayList<>(reserved.keySet());
    Map<Job.PlacementConstraints, Boolean> room = new HashMap<>();
    for (Priority priority : Priority.values()) {
      for (Job job : queue.tier(priority)) {
        if (!job.waiting.isEmpty()
            && !job.suspect()
            && room.computeIfAbsent(job.place, p -> fitsAny(machines, job))
            && heldBackForLong(job, nowMs)) {
          placeOn(machines, usable, job, nowMs);
        }
      }
    }
    reserved.forEach(Machine::reserve);
  }

  private boolean fitsAny(List<Machine> machines, Job job) {
    for (Machine m : machines) {
      if (fits(m, job)) {
        return true;
      }
    }
    return false;
  }

  private void placeOn(List<Machine> machines, List<Machine> usable, Job job, long nowMs) {
    if (job.spec.kind() == JobKind.GANG) {
      gangs.placeNow(job, usable, nowMs);
      return;
    }
    for (double least : BY_SCORE) {
      for (Machine m : machines) {
        fill(m, job, least, false, null, nowMs);
      }
    }
  }

  private void pass(List<Job> jobs, List<Machine> usable, long nowMs) {
    if (jobs.isEmpty()) {
      return;
    }
    gangs.place(jobs, usable, nowMs);
    List<Job> singles = singles(jobs);
    if (singles.isEmpty()) {
      return;
    }
    List<Machine> free = free(usable, singles);
    fill(free, singles, 1, true, nowMs);
    fill(free, singles, 1, false, nowMs);
    preemption.makeRoom(singles, usable, true, nowMs);
    fill(free, singles, 0.1, false, nowMs);
    fill(free, singles, 0, false, nowMs);
    preemption.makeRoom(singles, usable, false, nowMs);
  }

  /** The oldest jobs of a class that is served too little, up to the least that it should hold. */
  private void starved(MinimumShare.Group group, List<Machine> usable, long nowMs) {
    gangs.placeStarved(group, usable, nowMs);
    List<Job> singles = singles(group.old());
    if (singles.isEmpty() || !group.hungry()) {
      return;
    }
    List<Machine> free = free(usable, singles);
    for (double least : BY_SCORE) {
      fill(free, singles, least, false, group, nowMs);
    }
    if (group.hungry()) {
      keepRoom(singles, usable, nowMs);
    }
  }

  /** Small tasks take each processor that becomes free, and a large one would wait for ever. */
  private void keepRoom(List<Job> singles, List<Machine> usable, long nowMs) {
    for (Job job : singles) {
      if (job.waiting.isEmpty() || !c.teamAllows(job)) {
        continue;
      }
      Machine best = null;
      for (Machine m : usable) {
        boolean may =
            job.usableTypes.contains(m.type)
                && allowed(m, job, nowMs)
                && m.kind.capacity(job.spec) > 0;
        if (may && (m == job.keptOn || best == null || m.freeCpus() > best.freeCpus())) {
          best = m;
          if (m == job.keptOn) {
            break;
          }
        }
      }
      job.keptOn = best;
      if (best != null) {
        best.reserve(job.spec, 1);
        return;
      }
    }
  }

  /** One machine that has just reported: what it freed is filled by the answer to its report. */
  void serve(Machine m, long nowMs) {
    if (queue.isEmpty() || !m.usable(nowMs)) {
      return;
    }
    if (m.reserved()) {
      c.stir(); // room kept for some task is given out by a pass, which knows for which
      return;
    }
    if (!queue.mayUse(m)) {
      return; // most reports come from full machines, and there are hundreds a second
    }
    m.taken = 0;
    List<Machine> only = List.of(m);
    for (Priority priority : Priority.values()) {
      serve(m, only, queue.tier(priority), null, nowMs);
      if (priority == Priority.PRODUCTION) {
        for (MinimumShare.Group group : c.floor.starved()) {
          if (group.hungry()) {
            serve(m, only, group.old(), group, nowMs);
          }
        }
      }
    }
  }

  private void serve(
      Machine m, List<Machine> only, List<Job> tier, MinimumShare.Group starved, long nowMs) {
    List<Job> jobs = singles(tier);
    jobs.removeIf(job -> !queue.startable(job, nowMs) || !fits(m, job));
    if (!jobs.isEmpty()) {
      for (double least : BY_SCORE) {
        fill(only, jobs, least, true, starved, nowMs);
      }
    }
  }

  /** Whether a gang waits that could use this machine. */
  boolean gangWaits(Machine m) {
    for (Job job : c.waiting) {
      if (job.spec.kind() == JobKind.GANG && job.usableTypes.contains(m.type)) {
        return true;
      }
    }
    return false;
  }

  private static List<Job> singles(List<Job> jobs) {
    List<Job> out = new ArrayList<>(jobs.size());
    for (Job job : jobs) {
      if (job.spec.kind() != JobKind.GANG && !job.waiting.isEmpty()) {
        out.add(job);
      }
    }
    return out;
  }

  /** Machines with room for any of the jobs: cheap ones and fuller ones first, so others empty. */
  private static List<Machine> free(List<Machine> usable, List<Job> jobs) {
    MinimumRequirements smallest = new MinimumRequirements(jobs);
    List<Machine> free = new ArrayList<>();
    for (Machine m : usable) {
      if (smallest.fits(m)) {
        free.add(m);
      }
    }
    free.sort(
        Comparator.comparing((Machine m) -> !m.spot)
            .thenComparingDouble(m -> -m.usedCpus() / m.kind.cpus()));
    return free;
  }

  private void fill(List<Machine> free, List<Job> jobs, double least, boolean thin, long nowMs) {
    fill(free, jobs, least, thin, null, nowMs);
  }

  /** {@code starved}: the group whose jobs these are, if that is why they are served now. */
  private void fill(
      List<Machine> free,
      List<Job> jobs,
      double least,
      boolean thin,
      MinimumShare.Group starved,
      long nowMs) {
    MinimumRequirements smallest = new MinimumRequirements(jobs);
    for (Machine m : free) {
      if (smallest.fits(m)) {
        for (Job job : jobs) {
          if (starved != null && !starved.hungry()) {
            return;
          }
          fill(m, job, least, thin, starved, nowMs);
        }
      }
    }
  }

  private void fill(
      Machine m, Job job, double least, boolean thin, MinimumShare.Group starved, long nowMs) {
    c.looks++;
    if (job.waiting.isEmpty()
        || !fits(m, job)
        || !allowed(m, job, nowMs)
        || (starved == null && heldBack(m, job, nowMs))
        || (job.suspect() && probedElsewhere(m, job, nowMs))) {
      return;
    }
    double score = m.score(job.spec.image());
    if (score < least || (least == 0 && score > 0)) {
      return;
    }
    int index = job.waiting.nextSetBit(0);
    while (index >= 0
        && (starved == null || starved.hungry())
        && (score == 1 || job.waitingCount() > job.covered)
        && !(thin && crowded(m, job))
        && m.taken < (m.doubted() ? 1 : c.policy.batch())
        && !job.beingProbed()
        && fits(m, job)) {
      if (score == 0 && !pastAge(job, nowMs) && c.utilization.of(m) >= c.policy.utilization()) {
        return;
      }
      if (!job.zoneAllowed(m.zone) || !c.teamAllows(job)) {
        return;
      }
      if (!onMachine(m, job, index)) {
        c.place(job, index, m, c.nextAttempt(), nowMs);
        m.taken++;
        if (starved != null) {
          starved.took(job, 1);
        }
        LOG.debug("task {}/{} placed on {} (score {})", job.spec.id(), index, m.name, score);
      }
      index = job.waiting.nextSetBit(index + 1);
    }
  }

  /**
   * Whether the room is kept from a job at which nobody aims, since aimed tasks wait that may
   * become able to use it. After a minute beside room all such jobs with the same place and need
   * may have what there is, in one pass, and then room is kept from them anew: for as long as
   * larger work waited they stood beside a processor that was free on each machine.
   */
  private boolean heldBack(Machine m, Job job, long nowMs) {
    if (!job.spare || !queue.aimedWaits(m)) {
      return false;
    }
    return !heldBackForLong(job, nowMs);
  }

  /**
   * Notes that room is kept from the job; true once that lasted for so long that it may have it.
   */
  private boolean heldBackForLong(Job job, long nowMs) {
    heldBackNow.add(job.place);
    long sinceMs = heldBackMs.computeIfAbsent(job.place, p -> nowMs);
    // Between passes there is one machine to be had, and with it the turn would be over.
    if (!passing || nowMs - sinceMs < Constants.HELD_BACK_MS) {
      return false;
    }
    letThrough.add(job.place);
    return true;
  }

  /** What found no room in the pass before, or was let through there, waits anew. */
  private void holdBackAnew() {
    heldBackMs.keySet().retainAll(heldBackNow);
    heldBackMs.keySet().removeAll(letThrough);
    heldBackNow.clear();
    letThrough.clear();
  }

  /**
   * Whether a probe should rather go to another machine: it failed here and not there. Faulty
   * machines have its image by then, so each probe of a sound job went to one of them again.
   */
  private boolean probedElsewhere(Machine m, Job job, long nowMs) {
    if (!job.failedOn.containsKey(m.name)) {
      return false;
    }
    for (Machine other : c.all()) {
      if (!job.failedOn.containsKey(other.name)
          && c.usable(other, nowMs)
          && fits(other, job)
          && allowed(other, job, nowMs)) {
        return true;
      }
    }
    return false;
  }

  /** Whether there is room for one more task of the job on a machine that it may use. */
  private boolean fits(Machine m, Job job) {
    return m.hasRoom(job.spec)
        && (job.usableTypes.contains(m.type) || c.machineTypes.spareHolds(m, job));
  }

  boolean pastAge(Job job, long nowMs) {
    double age = c.policy.waitingAgeS();
    if (job.startAimS != null) {
      age =
          job.startAimS <= Constants.TIGHT_START_S
              ? 0
              : Math.min(age, job.startAimS * Constants.WAITING_AGE_SHARE);
    }
    return nowMs - job.submittedMs >= age * 1000;
  }

  /**
   * Whether replicas would take more than their share of the machine: with its end all of them are
   * down at once, so they spread over machines as long as others have room.
   */
  boolean crowded(Machine m, Job job) {
    return job.spec.kind() == JobKind.SERVICE
        && m.replicaCpus() + job.spec.cpus() > Constants.REPLICA_SHARE * m.kind.cpus();
  }

  /** An older attempt of the task is still known there: the start would be refused. */
  static boolean onMachine(Machine m, Job job, int index) {
    for (TaskAttempt run : m.runs.values()) {
      if (run.index == index && run.job == job) {
        return true;
      }
    }
    return false;
  }

  boolean allowed(Machine m, Job job, long nowMs) {
    return (!m.spot || job.spec.spot()) && job.zoneAllowed(m.zone) && !job.avoids(m, nowMs);
  }
}
