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
 * Puts waiting tasks on free machines by the paper's good-cache-compute policy: for each free machine
 * a window of the queue is scored by cached image; full hits go first, then the best scorers; without
 * a hit a machine takes the top tasks below the utilization threshold and stays free above it, unless
 * a task has passed its waiting age. All tasks of a job share image and needs, so jobs are scanned, and
 * the window counts their tasks.
 */
final class Placement {
  private static final Logger LOG = LoggerFactory.getLogger(Placement.class);
  private final Scheduler s;

  Placement(Scheduler s) {
    this.s = s;
  }

  void pass(long nowMs) {
    List<Job> window = window(nowMs);
    if (window.isEmpty()) {
      return;
    }
    List<Machine> free = new ArrayList<>();
    for (Machine m : s.machines.values()) {
      if (m.usable(nowMs) && s.types.containsKey(m.type)) {
        free.add(m);
      }
    }
    free.sort(
        Comparator.comparing((Machine m) -> !m.spot)
            .thenComparing((Machine m) -> -m.usedCpus / s.types.get(m.type).cpus()));
    Map<Machine, Integer> taken = new HashMap<>();
    Map<Machine, double[]> freeing = new HashMap<>();
    for (Machine m : free) {
      m.reservedCpus = 0;
      m.reservedGpus = 0;
      m.reservedMemory = 0;
    }
    for (Priority tier : Priority.values()) {
      List<Job> jobs = new ArrayList<>();
      for (Job job : window) {
        if (job.spec.priority() == tier) {
          jobs.add(job);
        }
      }
      if (jobs.isEmpty()) {
        continue;
      }
      for (Job job : jobs) {
        if (job.spec.kind() == JobKind.GANG) {
          gang(job, free, nowMs);
        }
      }
      for (boolean thin : new boolean[] {true, false}) {
        for (Machine m : free) {
          fill(m, jobs, 1, thin, taken, nowMs);
        }
      }
      preempt(jobs, free, freeing, true, nowMs);
      for (double least : new double[] {0.1, 0}) {
        for (Machine m : free) {
          fill(m, jobs, least, false, taken, nowMs);
        }
      }
      preempt(jobs, free, freeing, false, nowMs);
    }
  }

  /** The first tasks of the queue that may start now, as jobs. */
  private List<Job> window(long nowMs) {
    boolean unheard = s.unheard();
    List<Job> queue = new ArrayList<>();
    for (Job job : s.jobs.values()) {
      if (job.waiting.isEmpty() || job.cancelWanted || nowMs < job.pausedUntilMs) {
        continue;
      }
      Team team = s.facts.teams().get(job.spec.team());
      // What is not heard may hold tasks of opened jobs, or use up the limit of a team.
      if (unheard && (job.inherited || (team != null && team.limited() && limitTouches(team, job)))) {
        continue;
      }
      queue.add(job);
    }
    queue.sort(
        Comparator.comparing((Job j) -> j.spec.priority())
            .thenComparing(j -> !belowGuarantee(j))
            .thenComparingDouble(j -> urgencyMs(j, nowMs))
            .thenComparingLong(j -> j.submittedMs));
    int tasks = 0;
    for (int i = 0; i < queue.size(); i++) {
      tasks += queue.get(i).waiting.cardinality();
      if (tasks >= s.policy.window()) {
        return queue.subList(0, i + 1);
      }
    }
    return queue;
  }

  /** Whether the team's limit concerns what the job takes. */
  private static boolean limitTouches(Team team, Job job) {
    return team.cpusMax() > 0 || (team.gpusMax() > 0 && job.spec.gpus() > 0);
  }

  private boolean belowGuarantee(Job job) {
    Team team = s.facts.teams().get(job.spec.team());
    if (team == null) {
      return false;
    }
    double[] use = s.teamUse(team.name());
    JobSpec spec = job.spec;
    return spec.gpus() > 0
        ? use[1] + spec.gpus() <= team.gpus() + 1e-9
        : use[0] + spec.cpus() <= team.cpus() + 1e-9;
  }

  /** When the job should be started, on the steady clock; later is less urgent. */
  private double urgencyMs(Job job, long nowMs) {
    JobSpec spec = job.spec;
    Double aim = s.facts.startAim(spec.jobClass());
    if (aim != null) {
      return job.waitingSinceMs + aim * 1000;
    }
    double deadline = spec.deadlineS() != null ? spec.deadlineS() : Constants.NO_DEADLINE_S;
    double start = job.submittedMs + (deadline - spec.estimateS()) * 1000;
    // A job that cannot be in time any more must not make others late as well.
    double hopeless = start + spec.estimateS() * Constants.HOPELESS_SHARE * 1000;
    return nowMs > hopeless ? start + Constants.OVERDUE_BEHIND_MS : start;
  }

  private boolean pastAge(Job job, long nowMs) {
    Double aim = s.facts.startAim(job.spec.jobClass());
    double age = s.policy.waitingAgeS();
    if (aim != null) {
      age = aim <= Constants.TIGHT_START_S ? 0 : Math.min(age, aim * Constants.WAITING_AGE_SHARE);
    }
    return nowMs - job.waitingSinceMs >= age * 1000;
  }

  /** 1 if the image is there, less if it is being fetched, 0 otherwise. */
  private static double score(Machine m, Job job) {
    if (m.images.containsKey(job.spec.image())) {
      return 1;
    }
    for (Run run : m.runs.values()) {
      if (!run.exited() && run.job.spec.image().equals(job.spec.image())) {
        return 0.5;
      }
    }
    return 0;
  }

  private void fill(
      Machine m, List<Job> jobs, double least, boolean thin, Map<Machine, Integer> taken,
      long nowMs) {
    for (Job job : jobs) {
      if (job.spec.kind() == JobKind.GANG || job.waiting.isEmpty() || !allowed(m, job)) {
        continue;
      }
      double score = score(m, job);
      if (score < least || (least == 0 && score > 0)) {
        continue;
      }
      int index = job.waiting.nextSetBit(0);
      while (index >= 0
          && (score == 1 || job.waiting.cardinality() > job.covered)
          && !(thin && crowded(m, job))
          && taken.getOrDefault(m, 0) < s.policy.batch() && room(m, job)) {
        if (score == 0 && !pastAge(job, nowMs) && utilization(m) >= s.policy.utilization()) {
          break;
        }
        if (!job.zoneAllowed(m.zone) || !teamAllows(job)) {
          break;
        }
        if (!onMachine(m, job, index)) {
          s.place(job, index, m, s.nextAttempt(), nowMs);
          taken.merge(m, 1, Integer::sum);
          LOG.debug("task {}/{} placed on {} (score {})", job.spec.id(), index, m.name, score);
        }
        index = job.waiting.nextSetBit(index + 1);
      }
    }
  }

  /**
   * Whether replicas would take more than their share of the machine: with its end all of them are
   * down at once, so they spread over machines as long as others have room.
   */
  private boolean crowded(Machine m, Job job) {
    if (job.spec.kind() != JobKind.SERVICE) {
      return false;
    }
    double cpus = job.spec.cpus();
    for (Run run : m.runs.values()) {
      if (!run.exited() && run.job.spec.kind() == JobKind.SERVICE) {
        cpus += run.job.spec.cpus();
      }
    }
    return cpus > Constants.REPLICA_SHARE * s.types.get(m.type).cpus();
  }

  /** An older attempt of the task is still known there: the start would be refused. */
  private static boolean onMachine(Machine m, Job job, int index) {
    for (Run run : m.runs.values()) {
      if (run.index == index && run.job.spec.id().equals(job.spec.id())) {
        return true;
      }
    }
    return false;
  }

  private boolean allowed(Machine m, Job job) {
    JobSpec spec = job.spec;
    if ((m.spot && !spec.spot())
        || (spec.types() != null && !spec.types().contains(m.type))
        || !job.zoneAllowed(m.zone)) {
      return false;
    }
    if (job.failedOn.contains(m.name) && job.everRan) {
      return false;
    }
    // Work without accelerators stays off machines with them, where there are others for it.
    return spec.gpus() > 0 || s.types.get(m.type).gpus() == 0 || !s.plainTypeFits(spec);
  }

  private boolean room(Machine m, Job job) {
    MachineType t = s.types.get(m.type);
    return m.usedCpus + m.reservedCpus + job.spec.cpus() <= t.cpus() + 1e-6
        && m.usedGpus + m.reservedGpus + job.spec.gpus() <= t.gpus() + 1e-6
        && m.usedMemory + m.reservedMemory + job.spec.memoryGb() <= t.memoryGb() + 1e-6;
  }

  private boolean teamAllows(Job job) {
    Team team = s.facts.teams().get(job.spec.team());
    if (team == null) {
      return false;
    }
    double[] use = s.teamUse(team.name());
    return team.allows(use[0] + job.spec.cpus(), use[1] + job.spec.gpus());
  }

  /** Busy over allocated processors, of the machines that can stand in for this one. */
  private double utilization(Machine m) {
    boolean accelerated = s.types.get(m.type).gpus() > 0;
    double used = 0;
    double all = 0;
    for (Machine o : s.machines.values()) {
      MachineType t = s.types.get(o.type);
      if (o.state == Machine.State.LIVE && t != null && (t.gpus() > 0) == accelerated) {
        used += o.usedCpus;
        all += t.cpus();
      }
    }
    return all == 0 ? 0 : used / all;
  }

  // ---- gangs ----

  /** All tasks of a gang in one pass, or none; replaces tasks lost before the gang has started. */
  private void gang(Job job, List<Machine> free, long nowMs) {
    boolean renewing = !job.runs.isEmpty();
    if (renewing && (job.gangRan || anyStopping(job))) {
      return; // the old attempt has to be gone first
    }
    List<String> zones = new ArrayList<>();
    if (job.spec.oneZone()) {
      for (Machine m : free) {
        if (!zones.contains(m.zone) && job.zoneAllowed(m.zone)) {
          zones.add(m.zone);
        }
      }
    } else {
      zones.add(null);
    }
    Map<Integer, Machine> best = null;
    int bestHits = -1;
    for (String zone : zones) {
      Map<Integer, Machine> plan = new LinkedHashMap<>();
      int hits = seat(job, free, zone, plan, nowMs);
      if (plan.size() == job.waiting.cardinality() && hits > bestHits) {
        best = plan;
        bestHits = hits;
      }
    }
    if (best == null) {
      return;
    }
    if (!renewing) {
      job.gangAttempt = s.nextAttempt();
    }
    for (Map.Entry<Integer, Machine> e : best.entrySet()) {
      s.place(job, e.getKey(), e.getValue(), job.gangAttempt, nowMs);
      LOG.debug("gang task {}/{} placed on {}", job.spec.id(), e.getKey(), e.getValue().name);
    }
  }

  private static boolean anyStopping(Job job) {
    for (Run run : job.runs.values()) {
      if (Scheduler.unwanted(run)) {
        return true;
      }
    }
    return false;
  }

  private int seat(
      Job job, List<Machine> free, String zone, Map<Integer, Machine> plan, long nowMs) {
    List<Machine> order = new ArrayList<>();
    for (Machine m : free) {
      if ((zone == null || m.zone.equals(zone)) && allowed(m, job)) {
        order.add(m);
      }
    }
    order.sort(Comparator.comparingDouble((Machine m) -> -score(m, job)));
    int hits = 0;
    int index = job.waiting.nextSetBit(0);
    int placed = 0;
    Map<String, Integer> zoneUse = new HashMap<>();
    double[] use = s.teamUse(job.spec.team());
    Team team = s.facts.teams().get(job.spec.team());
    for (Machine m : order) {
      MachineType t = s.types.get(m.type);
      double score = score(m, job);
      if (score == 0 && !pastAge(job, nowMs) && utilization(m) >= s.policy.utilization()) {
        continue;
      }
      int here = 0;
      while (index >= 0
          && m.usedCpus + (here + 1) * job.spec.cpus() <= t.cpus() + 1e-6
          && m.usedGpus + (here + 1) * job.spec.gpus() <= t.gpus() + 1e-6
          && m.usedMemory + (here + 1) * job.spec.memoryGb() <= t.memoryGb() + 1e-6
          && (!job.spec.spread()
              || job.inZone(m.zone) + zoneUse.getOrDefault(m.zone, 0) < job.spec.spreadLimit())
          && team != null
          && team.allows(
              use[0] + (placed + 1) * job.spec.cpus(), use[1] + (placed + 1) * job.spec.gpus())
          && !onMachine(m, job, index)) {
        plan.put(index, m);
        zoneUse.merge(m.zone, 1, Integer::sum);
        here++;
        placed++;
        hits += score == 1 ? 1 : 0;
        index = job.waiting.nextSetBit(index + 1);
      }
    }
    return hits;
  }

  // ---- preemption ----

  /**
   * Stops work of lower priority for tasks with a tight aim that found no room. First where their
   * image is: fetching it may take longer than the aim. These tasks then wait for the room made.
   */
  private void preempt(
      List<Job> jobs, List<Machine> free, Map<Machine, double[]> freeing, boolean onlyHits,
      long nowMs) {
    for (Job job : jobs) {
      if (onlyHits) {
        job.covered = 0;
      }
      Double aim = s.facts.startAim(job.spec.jobClass());
      if (job.waiting.isEmpty() || aim == null || aim > Constants.TIGHT_START_S
          || job.spec.kind() == JobKind.GANG || !teamAllows(job)) {
        continue;
      }
      int need = job.waiting.cardinality() - job.covered;
      for (int i = 0; i < need && makeRoom(job, free, freeing, onlyHits, nowMs); i++) {
        job.covered++;
      }
    }
  }

  private boolean makeRoom(
      Job job, List<Machine> free, Map<Machine, double[]> freeing, boolean onlyHits, long nowMs) {
    JobSpec spec = job.spec;
    Machine best = null;
    List<Run> bestVictims = null;
    double bestLoss = Double.MAX_VALUE;
    for (Machine m : free) {
      boolean hit = m.images.containsKey(spec.image());
      if (!allowed(m, job) || (onlyHits && !hit)) {
        continue;
      }
      MachineType t = s.types.get(m.type);
      double[] f = freeing.computeIfAbsent(m, x -> freeAndFreeing(x, t));
      List<Run> victims = new ArrayList<>();
      double cpus = f[0];
      double gpus = f[1];
      double memory = f[2];
      double loss = 0;
      List<Run> candidates = new ArrayList<>();
      for (Run run : m.runs.values()) {
        if (!run.exited() && !Scheduler.unwanted(run)
            && run.job.spec.kind() != JobKind.SERVICE
            && run.job.spec.priority().compareTo(spec.priority()) > 0) {
          candidates.add(run);
        }
      }
      candidates.sort(Comparator.comparingDouble(r -> lost(r, nowMs)));
      for (Run run : candidates) {
        if (cpus + 1e-6 >= spec.cpus() && gpus + 1e-6 >= spec.gpus()
            && memory + 1e-6 >= spec.memoryGb()) {
          break;
        }
        victims.add(run);
        cpus += run.job.spec.cpus();
        gpus += run.job.spec.gpus();
        memory += run.job.spec.memoryGb();
        loss += lost(run, nowMs);
      }
      if (cpus + 1e-6 < spec.cpus() || gpus + 1e-6 < spec.gpus()
          || memory + 1e-6 < spec.memoryGb()) {
        continue;
      }
      loss += hit ? 0 : Constants.FETCH_LOSS * spec.imageGb() / t.fetchGbPerS();
      loss += crowded(m, job) ? Constants.CROWDED_LOSS : 0;
      if (loss < bestLoss) {
        best = m;
        bestVictims = victims;
        bestLoss = loss;
      }
    }
    if (best == null) {
      return false;
    }
    double[] f = freeing.get(best);
    f[0] -= spec.cpus();
    f[1] -= spec.gpus();
    f[2] -= spec.memoryGb();
    best.reservedCpus += spec.cpus();
    best.reservedGpus += spec.gpus();
    best.reservedMemory += spec.memoryGb();
    for (Run run : bestVictims) {
      stop(run);
      LOG.debug("task {} on {} stops for {}", run.name(), best.name, spec.id());
      f[0] += run.job.spec.cpus();
      f[1] += run.job.spec.gpus();
      f[2] += run.job.spec.memoryGb();
    }
    return true;
  }

  /** Stops a task in the way that saves most: a gang as a whole, with time to save. */
  static void stop(Run run) {
    if (run.job.spec.kind() == JobKind.GANG) {
      for (Run other : run.job.runs.values()) {
        mark(other);
      }
    } else {
      mark(run);
    }
  }

  private static void mark(Run run) {
    run.stopping = true;
    run.stopGraceS = run.job.spec.checkpointS() > 0 ? run.job.spec.saveS() + 1 : 0;
  }

  private static double[] freeAndFreeing(Machine m, MachineType t) {
    double[] f = {t.cpus() - m.usedCpus, t.gpus() - m.usedGpus, t.memoryGb() - m.usedMemory};
    for (Run run : m.runs.values()) {
      if (!run.exited() && Scheduler.unwanted(run)) {
        f[0] += run.job.spec.cpus();
        f[1] += run.job.spec.gpus();
        f[2] += run.job.spec.memoryGb();
      }
    }
    return f;
  }

  /** Work lost if the task stops now, in processor seconds. */
  private static double lost(Run run, long nowMs) {
    double ran = run.runningSinceMs < 0 ? 0 : (nowMs - run.runningSinceMs) / 1000.0;
    return 1 + ran * Math.max(run.job.spec.cpus(), 1);
  }
}
