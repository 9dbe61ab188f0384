package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

  /** Share of an aim's time after which a task takes any machine: the rest is for its start. */
  private static final double WAITING_AGE_OBJECTIVE_SHARE = 0.2;

  /**
   * Milliseconds for which room is kept from jobs that would find some, for aimed, large or gang
   * work that waits: the operators' page lets no job wait for 90 s beside room.
   */
  private static final long DEFERRAL_LIMIT_MS = 60_000;

  /** Share of a machine's processors that replicas take while other machines have room. */
  private static final double REPLICA_CPU_SHARE = 0.5;

  /** Cached images first, then those being fetched, then none. */
  private static final double[] SCORE_THRESHOLDS = {1, 0.1, 0};

  private final ClusterState cluster;
  private final WaitQueue queue;
  private final GangScheduler gangs;
  private final Preemption preemption;

  /** Since when jobs have been kept from room that others wait for, by what they need. */
  private final Map<Job.PlacementConstraints, Long> deferredSinceMs = new HashMap<>();

  /** Those of them that found room since the last pass began, and those that may have it. */
  private final Set<Job.PlacementConstraints> deferredNow = new HashSet<>();

  private final Set<Job.PlacementConstraints> admittedNow = new HashSet<>();

  /** A pass is under way, which looks at all machines. */
  private boolean passInProgress;

  Placement(ClusterState cluster) {
    this.cluster = cluster;
    this.queue = new WaitQueue(cluster);
    this.gangs = new GangScheduler(cluster, this);
    this.preemption = new Preemption(cluster, this);
  }

  /** All free machines and the whole window. */
  void runPass(long nowMs) {
    cluster.recomputeUtilization();
    resetDeferrals();
    queue.refresh(nowMs);
    if (queue.isEmpty()) {
      return;
    }
    List<Machine> usable = new ArrayList<>();
    for (Machine machine : cluster.allMachines()) {
      machine.clearReservation();
      machine.placedInPass = 0;
      if (cluster.usable(machine, nowMs)) {
        usable.add(machine);
      }
    }
    passInProgress = true;
    for (Priority priority : Priority.values()) {
      runPass(queue.tier(priority), usable, nowMs);
      if (priority == Priority.PRODUCTION) {
        cluster.minimumShare.starved().forEach(group -> placeStarved(group, usable, nowMs));
      }
    }
    placeInReservedRoom(usable, nowMs);
    passInProgress = false;
  }

  /**
   * Lets those have reserved room who waited beside it for too long. What it is kept for cannot
   * start yet, maybe for minutes, since something else on the machine runs on.
   */
  private void placeInReservedRoom(List<Machine> usable, long nowMs) {
    Map<Machine, Reservation> reserved = new LinkedHashMap<>();
    for (Machine machine : usable) {
      if (machine.reserved()) {
        reserved.put(machine, machine.clearReservation());
      }
    }
    if (reserved.isEmpty()) {
      return;
    }
    List<Machine> machines = new ArrayList<>(reserved.keySet());
    Map<Job.PlacementConstraints, Boolean> roomByConstraints = new HashMap<>();
    for (Priority priority : Priority.values()) {
      for (Job job : queue.tier(priority)) {
        if (!job.waitingTasks.isEmpty()
            && !job.isSuspect()
            && roomByConstraints.computeIfAbsent(
                job.placementConstraints, p -> anyHasRoomFor(machines, job))
            && deferralExpired(job, nowMs)) {
          placeJob(machines, usable, job, nowMs);
        }
      }
    }
    reserved.forEach(Machine::reserve);
  }

  private boolean anyHasRoomFor(List<Machine> machines, Job job) {
    for (Machine machine : machines) {
      if (hasRoomFor(machine, job)) {
        return true;
      }
    }
    return false;
  }

  private void placeJob(List<Machine> machines, List<Machine> usable, Job job, long nowMs) {
    if (job.spec.kind() == JobKind.GANG) {
      gangs.placeIfRoom(job, usable, nowMs);
      return;
    }
    for (double minimumScore : SCORE_THRESHOLDS) {
      for (Machine machine : machines) {
        fill(machine, job, minimumScore, false, null, nowMs);
      }
    }
  }

  private void runPass(List<Job> jobs, List<Machine> usable, long nowMs) {
    if (jobs.isEmpty()) {
      return;
    }
    gangs.place(jobs, usable, nowMs);
    List<Job> nonGangJobs = nonGangJobs(jobs);
    if (nonGangJobs.isEmpty()) {
      return;
    }
    List<Machine> candidates = machinesWithRoom(usable, nonGangJobs);
    fill(candidates, nonGangJobs, 1, true, nowMs);
    fill(candidates, nonGangJobs, 1, false, nowMs);
    preemption.makeRoom(nonGangJobs, usable, true, nowMs);
    fill(candidates, nonGangJobs, 0.1, false, nowMs);
    fill(candidates, nonGangJobs, 0, false, nowMs);
    preemption.makeRoom(nonGangJobs, usable, false, nowMs);
  }

  /** The oldest jobs of a class that is served too little, up to the least that it should hold. */
  private void placeStarved(MinimumShare.ShareGroup group, List<Machine> usable, long nowMs) {
    gangs.placeStarved(group, usable, nowMs);
    List<Job> nonGangJobs = nonGangJobs(group.agedJobs());
    if (nonGangJobs.isEmpty() || !group.isStarved()) {
      return;
    }
    List<Machine> candidates = machinesWithRoom(usable, nonGangJobs);
    for (double minimumScore : SCORE_THRESHOLDS) {
      fill(candidates, nonGangJobs, minimumScore, false, group, nowMs);
    }
    if (group.isStarved()) {
      reserveRoom(nonGangJobs, usable, nowMs);
    }
  }

  /** Small tasks take each processor that becomes free, and a large one would wait for ever. */
  private void reserveRoom(List<Job> nonGangJobs, List<Machine> usable, long nowMs) {
    for (Job job : nonGangJobs) {
      if (job.waitingTasks.isEmpty() || !cluster.teamQuotaAllows(job)) {
        continue;
      }
      Machine best = null;
      for (Machine machine : usable) {
        boolean eligible =
            job.usableTypes.contains(machine.typeName)
                && isMachineAllowed(machine, job, nowMs)
                && machine.type.capacity(job.spec) > 0;
        if (eligible
            && (machine == job.reservedMachine
                || best == null
                || machine.freeCpus() > best.freeCpus())) {
          best = machine;
          if (machine == job.reservedMachine) {
            break;
          }
        }
      }
      job.reservedMachine = best;
      if (best != null) {
        best.reserve(job.spec, 1);
        return;
      }
    }
  }

  /** One machine that has just reported: what it freed is filled by the answer to its report. */
  void placeOnMachine(Machine machine, long nowMs) {
    if (queue.isEmpty() || !machine.usable(nowMs)) {
      return;
    }
    if (machine.reserved()) {
      cluster
          .requestPass(); // room kept for some task is given out by a pass, which knows for which
      return;
    }
    if (!queue.hasRoomForAny(machine)) {
      return; // most reports come from full machines, and there are hundreds a second
    }
    machine.placedInPass = 0;
    List<Machine> machineOnly = List.of(machine);
    for (Priority priority : Priority.values()) {
      placeOnMachine(machine, machineOnly, queue.tier(priority), null, nowMs);
      if (priority == Priority.PRODUCTION) {
        for (MinimumShare.ShareGroup group : cluster.minimumShare.starved()) {
          if (group.isStarved()) {
            placeOnMachine(machine, machineOnly, group.agedJobs(), group, nowMs);
          }
        }
      }
    }
  }

  private void placeOnMachine(
      Machine machine,
      List<Machine> machineOnly,
      List<Job> tier,
      MinimumShare.ShareGroup starvedGroup,
      long nowMs) {
    List<Job> jobs = nonGangJobs(tier);
    jobs.removeIf(job -> !queue.isStartable(job, nowMs) || !hasRoomFor(machine, job));
    if (!jobs.isEmpty()) {
      for (double minimumScore : SCORE_THRESHOLDS) {
        fill(machineOnly, jobs, minimumScore, true, starvedGroup, nowMs);
      }
    }
  }

  /** Whether a gang waits that could use this machine. */
  boolean hasWaitingGang(Machine machine) {
    for (Job job : cluster.waitingJobs) {
      if (job.spec.kind() == JobKind.GANG && job.usableTypes.contains(machine.typeName)) {
        return true;
      }
    }
    return false;
  }

  private static List<Job> nonGangJobs(List<Job> jobs) {
    List<Job> nonGangJobs = new ArrayList<>(jobs.size());
    for (Job job : jobs) {
      if (job.spec.kind() != JobKind.GANG && !job.waitingTasks.isEmpty()) {
        nonGangJobs.add(job);
      }
    }
    return nonGangJobs;
  }

  /** Machines with room for any of the jobs: cheap ones and fuller ones first, so others empty. */
  private static List<Machine> machinesWithRoom(List<Machine> usable, List<Job> jobs) {
    MinimumRequirements minimum = new MinimumRequirements(jobs);
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : usable) {
      if (minimum.satisfiedBy(machine)) {
        candidates.add(machine);
      }
    }
    candidates.sort(
        Comparator.comparing((Machine machine) -> !machine.spot)
            .thenComparingDouble(machine -> -machine.usedCpus() / machine.type.cpus()));
    return candidates;
  }

  private void fill(
      List<Machine> candidates,
      List<Job> jobs,
      double minimumScore,
      boolean spreadReplicas,
      long nowMs) {
    fill(candidates, jobs, minimumScore, spreadReplicas, null, nowMs);
  }

  /** {@code starvedGroup}: the group whose jobs these are, if that is why they are served now. */
  private void fill(
      List<Machine> candidates,
      List<Job> jobs,
      double minimumScore,
      boolean spreadReplicas,
      MinimumShare.ShareGroup starvedGroup,
      long nowMs) {
    MinimumRequirements minimum = new MinimumRequirements(jobs);
    for (Machine machine : candidates) {
      if (minimum.satisfiedBy(machine)) {
        for (Job job : jobs) {
          if (starvedGroup != null && !starvedGroup.isStarved()) {
            return;
          }
          fill(machine, job, minimumScore, spreadReplicas, starvedGroup, nowMs);
        }
      }
    }
  }

  private void fill(
      Machine machine,
      Job job,
      double minimumScore,
      boolean spreadReplicas,
      MinimumShare.ShareGroup starvedGroup,
      long nowMs) {
    cluster.candidateChecks++;
    if (job.waitingTasks.isEmpty()
        || !hasRoomFor(machine, job)
        || !isMachineAllowed(machine, job, nowMs)
        || (starvedGroup == null && isDeferred(machine, job, nowMs))
        || (job.isSuspect() && shouldProbeElsewhere(machine, job, nowMs))) {
      return;
    }
    double score = machine.imageLocality(job.spec.image());
    if (score < minimumScore || (minimumScore == 0 && score > 0)) {
      return;
    }
    int index = job.waitingTasks.nextSetBit(0);
    while (index >= 0
        && (starvedGroup == null || starvedGroup.isStarved())
        && (score == 1 || job.waitingCount() > job.tasksAwaitingPreemption)
        && !(spreadReplicas && exceedsReplicaShare(machine, job))
        && machine.placedInPass
            < (machine.hasRecentFailures() ? 1 : cluster.policy.machineBatchTasks())
        && !job.probeInProgress()
        && hasRoomFor(machine, job)) {
      if (score == 0
          && !pastWaitingAge(job, nowMs)
          && cluster.utilization.of(machine) >= cluster.policy.utilizationThreshold()) {
        return;
      }
      if (!job.zoneAllowed(machine.zone) || !cluster.teamQuotaAllows(job)) {
        return;
      }
      if (!hasAttemptOnMachine(machine, job, index)) {
        cluster.place(job, index, machine, cluster.nextAttemptNumber(), nowMs);
        machine.placedInPass++;
        if (starvedGroup != null) {
          starvedGroup.onPlaced(job, 1);
        }
        LOG.debug("task {}/{} placed on {} (score {})", job.spec.id(), index, machine.name, score);
      }
      index = job.waitingTasks.nextSetBit(index + 1);
    }
  }

  /**
   * Whether the room is kept from a job at which nobody aims, since aimed tasks wait that may
   * become able to use it. After a minute beside room all such jobs with the same place and need
   * may have what there is, in one pass, and then room is kept from them anew: for as long as
   * larger work waited they stood beside a processor that was free on each machine.
   */
  private boolean isDeferred(Machine machine, Job job, long nowMs) {
    if (!job.bestEffort || !queue.hasWaitingObjectiveWork(machine)) {
      return false;
    }
    return !deferralExpired(job, nowMs);
  }

  /**
   * Notes that room is kept from the job; true once that lasted for so long that it may have it.
   */
  private boolean deferralExpired(Job job, long nowMs) {
    deferredNow.add(job.placementConstraints);
    long sinceMs = deferredSinceMs.computeIfAbsent(job.placementConstraints, p -> nowMs);
    // Between passes there is one machine to be had, and with it the turn would be over.
    if (!passInProgress || nowMs - sinceMs < DEFERRAL_LIMIT_MS) {
      return false;
    }
    admittedNow.add(job.placementConstraints);
    return true;
  }

  /** What found no room in the pass before, or was let through there, waits anew. */
  private void resetDeferrals() {
    deferredSinceMs.keySet().retainAll(deferredNow);
    deferredSinceMs.keySet().removeAll(admittedNow);
    deferredNow.clear();
    admittedNow.clear();
  }

  /**
   * Whether a probe should rather go to another machine: it failed here and not there. Faulty
   * machines have its image by then, so each probe of a sound job went to one of them again.
   */
  private boolean shouldProbeElsewhere(Machine machine, Job job, long nowMs) {
    if (!job.lastFailureMsByMachine.containsKey(machine.name)) {
      return false;
    }
    for (Machine other : cluster.allMachines()) {
      if (!job.lastFailureMsByMachine.containsKey(other.name)
          && cluster.usable(other, nowMs)
          && hasRoomFor(other, job)
          && isMachineAllowed(other, job, nowMs)) {
        return true;
      }
    }
    return false;
  }

  /** Whether there is room for one more task of the job on a machine that it may use. */
  private boolean hasRoomFor(Machine machine, Job job) {
    return machine.fits(job.spec)
        && (job.usableTypes.contains(machine.typeName)
            || cluster.machineTypes.fitsBesideAccelerators(machine, job));
  }

  boolean pastWaitingAge(Job job, long nowMs) {
    double ageS = cluster.policy.waitingAgeS();
    if (job.startObjectiveS != null) {
      ageS =
          job.startObjectiveS <= Job.TIGHT_START_OBJECTIVE_S
              ? 0
              : Math.min(ageS, job.startObjectiveS * WAITING_AGE_OBJECTIVE_SHARE);
    }
    return nowMs - job.submittedMs >= ageS * 1000;
  }

  /**
   * Whether replicas would take more than their share of the machine: with its end all of them are
   * down at once, so they spread over machines as long as others have room.
   */
  boolean exceedsReplicaShare(Machine machine, Job job) {
    return job.spec.kind() == JobKind.SERVICE
        && machine.replicaCpus() + job.spec.cpus() > REPLICA_CPU_SHARE * machine.type.cpus();
  }

  /** An older attempt of the task is still known there: the start would be refused. */
  static boolean hasAttemptOnMachine(Machine machine, Job job, int index) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.index == index && attempt.job == job) {
        return true;
      }
    }
    return false;
  }

  boolean isMachineAllowed(Machine machine, Job job, long nowMs) {
    return (!machine.spot || job.spec.spotAllowed())
        && job.zoneAllowed(machine.zone)
        && !job.avoids(machine, nowMs);
  }
}
