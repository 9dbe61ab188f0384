package org.astershift.scheduler;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Places waiting tasks of jobs other than gangs on machines, one machine and job at a time. */
final class TaskPlacer {
  private static final Logger LOG = LoggerFactory.getLogger(TaskPlacer.class);

  private final ClusterState cluster;
  private final WaitQueue queue;
  private final PlacementRules rules;
  private final DeferralTracker deferrals;

  TaskPlacer(
      ClusterState cluster, WaitQueue queue, PlacementRules rules, DeferralTracker deferrals) {
    this.cluster = cluster;
    this.queue = queue;
    this.rules = rules;
    this.deferrals = deferrals;
  }

  /**
   * Offers each machine to the jobs in their order. {@code starvedGroup} is the group whose minimum
   * share the jobs are served for, until it holds that share; null in the regular order.
   */
  void offerMachines(
      List<Machine> candidates,
      List<Job> jobs,
      PlacementStep step,
      MinimumShareGroup starvedGroup,
      long nowMs) {
    MinimumRequirements minimum = new MinimumRequirements(jobs);
    for (Machine machine : candidates) {
      if (minimum.isSatisfiedBy(machine)) {
        for (Job job : jobs) {
          if (starvedGroup != null && !starvedGroup.isStarved()) {
            return;
          }
          placeTasks(machine, job, step, starvedGroup, nowMs);
        }
      }
    }
  }

  /** Places as many tasks of the job on the machine as the step allows. */
  void placeTasks(
      Machine machine, Job job, PlacementStep step, MinimumShareGroup starvedGroup, long nowMs) {
    cluster.candidateChecks++;
    if (!isCandidate(machine, job, starvedGroup, nowMs)) {
      return;
    }
    double locality = machine.imageLocality(job.spec.image());
    if (!step.accepts(locality)) {
      return;
    }
    int index = job.waitingTasks.nextSetBit(0);
    while (index >= 0
        && (starvedGroup == null || starvedGroup.isStarved())
        && hasTaskToPlace(job, locality)
        && canPlaceAnotherTask(machine, job, step)
        && (locality > 0 || mayFetchImage(machine, job, nowMs))
        && job.isZoneAllowed(machine.zone)
        && cluster.teamQuotaAllows(job)) {
      if (!PlacementRules.hasAttemptOnMachine(machine, job, index)) {
        place(machine, job, index, starvedGroup, nowMs);
        LOG.debug(
            "task placed: job={} index={} machine={} locality={}",
            job.spec.id(),
            index,
            machine.name,
            locality);
      }
      index = job.waitingTasks.nextSetBit(index + 1);
    }
  }

  private boolean isCandidate(
      Machine machine, Job job, MinimumShareGroup starvedGroup, long nowMs) {
    return !job.waitingTasks.isEmpty()
        && rules.hasRoomFor(machine, job)
        && PlacementRules.isMachineAllowed(machine, job, nowMs)
        && (starvedGroup != null || !isDeferred(machine, job, nowMs))
        && !(job.isSuspect() && rules.shouldProbeElsewhere(machine, job, nowMs));
  }

  /**
   * Returns whether the room is withheld from a job without objectives, because work with
   * objectives is waiting that may become able to use it.
   */
  private boolean isDeferred(Machine machine, Job job, long nowMs) {
    return job.bestEffort
        && queue.hasWaitingObjectiveWork(machine)
        && !deferrals.tryAdmit(job, nowMs);
  }

  /**
   * Returns whether the job has a task for a machine of this image locality. Tasks for which
   * preemption is making room take another machine only if it has their image cached.
   */
  private static boolean hasTaskToPlace(Job job, double locality) {
    return locality == 1 || job.waitingCount() > job.tasksAwaitingPreemption;
  }

  private boolean canPlaceAnotherTask(Machine machine, Job job, PlacementStep step) {
    int batchTasks = machine.hasRecentFailures() ? 1 : cluster.policy.machineBatchTasks();
    return !(step.spreadReplicas() && PlacementRules.wouldExceedReplicaShare(machine, job))
        && machine.tasksPlacedInPass < batchTasks
        && !job.isProbeInProgress()
        && rules.hasRoomFor(machine, job);
  }

  /**
   * Returns whether a task may take a machine without its image: utilization is below the
   * threshold, or the job is past its waiting age.
   */
  private boolean mayFetchImage(Machine machine, Job job, long nowMs) {
    return rules.isPastWaitingAge(job, nowMs)
        || cluster.utilization.of(machine) < cluster.policy.utilizationThreshold();
  }

  private void place(
      Machine machine, Job job, int index, MinimumShareGroup starvedGroup, long nowMs) {
    cluster.place(job, index, machine, cluster.nextAttemptNumber(), nowMs);
    machine.tasksPlacedInPass++;
    if (starvedGroup != null) {
      starvedGroup.onPlaced(job, 1);
    }
  }
}
