package org.astershift.scheduler;

/**
 * Which machines may take a task of a job. All methods only read the cluster's state; the order in
 * which jobs are served is not decided here.
 */
final class PlacementRules {
  /** Share of a start objective after which a task takes any machine: the rest is for its start. */
  private static final double WAITING_AGE_OBJECTIVE_SHARE = 0.2;

  /** Share of a machine's processors that replicas take while other machines have room. */
  private static final double REPLICA_CPU_SHARE = 0.5;

  private final ClusterState cluster;

  PlacementRules(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Whether there is room for one more task of the job on a machine of a type that it may use. */
  boolean hasRoomFor(Machine machine, Job job) {
    return machine.fits(job.spec)
        && (job.usableTypes.contains(machine.typeName)
            || cluster.machineTypes.canBackfill(machine, job));
  }

  /** Whether the machine's kind, zone and failure history allow the job; room is not checked. */
  static boolean isMachineAllowed(Machine machine, Job job, long nowMs) {
    return (!machine.spot || job.spec.spotAllowed())
        && job.zoneAllowed(machine.zone)
        && !job.avoids(machine, nowMs);
  }

  /** Whether the job has waited for so long that it takes a machine without its image. */
  boolean isPastWaitingAge(Job job, long nowMs) {
    double ageS = cluster.policy.waitingAgeS();
    if (job.startObjectiveS != null) {
      ageS =
          job.hasTightStartObjective()
              ? 0
              : Math.min(ageS, job.startObjectiveS * WAITING_AGE_OBJECTIVE_SHARE);
    }
    return nowMs - job.submittedMs >= ageS * 1000;
  }

  /**
   * Whether replicas would take more than their share of the machine: its failure ends all of them
   * at once, so they spread over machines as long as others have room.
   */
  static boolean wouldExceedReplicaShare(Machine machine, Job job) {
    return job.spec.kind() == JobKind.SERVICE
        && machine.replicaCpus() + job.spec.cpus() > REPLICA_CPU_SHARE * machine.type.cpus();
  }

  /** An older attempt of the task is still known there: the worker would refuse the start. */
  static boolean hasAttemptOnMachine(Machine machine, Job job, int index) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.index == index && attempt.job == job) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether a probe of a suspect job should go to another machine, because the job failed here and
   * not there. A faulty machine has the job's image cached, so without this rule it would attract
   * every probe of a sound job.
   */
  boolean shouldProbeElsewhere(Machine machine, Job job, long nowMs) {
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
}
