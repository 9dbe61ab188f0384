package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Preempts work of lower priority for tasks with objectives that found no room. Machines with the
 * image cached come first, since a fetch may take longer than a tight start objective. The tasks
 * then wait for the room that is being freed. Work without objectives may be preempted by any work
 * of higher priority that has an objective: it only fills gaps, and its long tasks would otherwise
 * hold the machines for as long as they run. Work with objectives is preempted only for a tight
 * start objective.
 */
final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

  /** Cost of one second of image fetch, in processor seconds of lost work. */
  private static final double IMAGE_FETCH_LOSS_CPU_S_PER_S = 10;

  /**
   * Cost of placing a replica beyond the replica share of a machine, in processor seconds of lost
   * work.
   */
  private static final double REPLICA_CROWDING_LOSS_CPU_S = 20;

  private final ClusterState cluster;

  Preemption(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Makes room for the tasks of these jobs that still wait, in the order of the jobs. {@code
   * imageHitsOnly}: only on machines that have the image cached; a pass makes this call first for
   * the same jobs.
   */
  void makeRoom(List<Job> jobs, List<Machine> usable, boolean imageHitsOnly, long nowMs) {
    List<Machine> hosts = null;
    for (Job job : jobs) {
      if (imageHitsOnly) {
        job.tasksAwaitingPreemption = 0;
      }
      if (!mayPreempt(job)) {
        continue;
      }
      if (!job.hasTightStartObjective() && hosts == null) {
        hosts = findHostsOfWorkWithoutObjective(usable);
      }
      List<Machine> candidates = job.hasTightStartObjective() ? usable : hosts;
      int needed = job.waitingCount() - job.tasksAwaitingPreemption;
      if (needed > 0 && !candidates.isEmpty()) {
        job.tasksAwaitingPreemption += makeRoom(job, needed, candidates, imageHitsOnly, nowMs);
      }
    }
  }

  private boolean mayPreempt(Job job) {
    return !job.waitingTasks.isEmpty()
        && !job.isSuspect()
        && job.hasObjective
        && cluster.teamQuotaAllows(job);
  }

  private List<Machine> findHostsOfWorkWithoutObjective(List<Machine> usable) {
    boolean anyWithoutObjective = false;
    for (Job job : cluster.jobs.values()) {
      anyWithoutObjective |= !job.hasObjective && !job.attempts.isEmpty();
    }
    List<Machine> hosts = new ArrayList<>();
    if (anyWithoutObjective) {
      for (Machine machine : usable) {
        if (hostsWorkWithoutObjective(machine)) {
          hosts.add(machine);
        }
      }
    }
    return hosts;
  }

  private static boolean hostsWorkWithoutObjective(Machine machine) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (!attempt.isExited() && !attempt.job.hasObjective) {
        return true;
      }
    }
    return false;
  }

  /**
   * Makes room for up to {@code needed} tasks where the least work is lost; returns the number of
   * tasks for which room was made.
   */
  private int makeRoom(
      Job job, int needed, List<Machine> usable, boolean imageHitsOnly, long nowMs) {
    PriorityQueue<PreemptionChoice> choices = new PriorityQueue<>(PreemptionChoice.CHEAPEST_FIRST);
    int order = 0;
    for (Machine machine : usable) {
      PreemptionChoice choice = findCheapestChoice(machine, job, imageHitsOnly, order++, nowMs);
      if (choice != null) {
        choices.add(choice);
      }
    }
    int tasksWithRoom = 0;
    while (tasksWithRoom < needed && !choices.isEmpty()) {
      PreemptionChoice cheapest = choices.remove();
      reserveAndPreempt(cheapest, job);
      tasksWithRoom++;
      PreemptionChoice next =
          findCheapestChoice(cheapest.machine(), job, imageHitsOnly, order++, nowMs);
      if (next != null) {
        choices.add(next);
      }
    }
    return tasksWithRoom;
  }

  /**
   * Returns the cheapest way to make room for one task of the job on this machine; null if there is
   * none.
   */
  private PreemptionChoice findCheapestChoice(
      Machine machine, Job job, boolean imageHitsOnly, int order, long nowMs) {
    cluster.candidateChecks++;
    JobSpec spec = job.spec;
    if (!job.usableTypes.contains(machine.typeName)) {
      return null;
    }
    PreemptibleWork work = PreemptibleWork.getOrCreate(machine, job, nowMs);
    if (!work.canMakeRoomFor(machine, spec)) {
      return null;
    }
    boolean imageHit = machine.hasCachedImage(spec.image());
    if ((imageHitsOnly && !imageHit) || !PlacementRules.isMachineAllowed(machine, job, nowMs)) {
      return null;
    }
    List<TaskAttempt> victims = work.selectVictims(machine, spec);
    if (victims == null) {
      return null;
    }
    double lossCpuS =
        imageHit ? 0 : IMAGE_FETCH_LOSS_CPU_S_PER_S * spec.imageGb() / machine.type.fetchGbPerS();
    lossCpuS +=
        PlacementRules.wouldExceedReplicaShare(machine, job) ? REPLICA_CROWDING_LOSS_CPU_S : 0;
    for (TaskAttempt attempt : victims) {
      lossCpuS += PreemptibleWork.lostCpuS(attempt, nowMs);
    }
    return new PreemptionChoice(machine, victims, lossCpuS, order);
  }

  private void reserveAndPreempt(PreemptionChoice choice, Job job) {
    Machine machine = choice.machine();
    machine.reserve(job.spec, 1);
    for (TaskAttempt attempt : choice.victims()) {
      cluster.stop(attempt);
      LOG.debug(
          "task preempted: task={} machine={} for_job={}",
          attempt.name(),
          machine.name,
          job.spec.id());
    }
  }
}
