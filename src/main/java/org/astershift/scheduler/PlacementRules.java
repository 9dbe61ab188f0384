package org.astershift.scheduler;

/**
 * Decides which machines may take a task of a job. All methods only read the cluster's state; the
 * order in which jobs are served is decided elsewhere.
 */
final class PlacementRules {
  /**
   * Share of a start objective after which a task takes a machine without its image; the rest is
   * left for the start of the task.
   */
  private static final double WAITING_AGE_OBJECTIVE_SHARE = 0.2;

  /** Share of a machine's processors that replicas may take while other machines have room. */
  private static final double REPLICA_CPU_SHARE = 0.5;

  private final ClusterState cluster;

  PlacementRules(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Returns whether the machine has room for one more task of the job, and is of a type that the
   * job may use or backfill.
   */
  boolean hasRoomFor(Machine machine, Job job) {
    return machine.fits(job.spec)
        && (job.usableTypes.contains(machine.typeName)
            || cluster.machineTypes.canBackfill(machine, job));
  }

  /**
   * Returns whether the job may use the machine, judged by spot or on-demand, zone and failure
   * history; room is not checked.
   */
  static boolean isMachineAllowed(Machine machine, Job job, long nowMs) {
    return (!machine.spot || job.spec.spotAllowed())
        && job.isZoneAllowed(machine.zone)
        && !job.shouldAvoid(machine, nowMs);
  }

  /** Returns whether the job has waited long enough to take a machine without its image. */
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
   * Returns whether one more replica would exceed the share of the machine that replicas may take.
   * A machine's failure ends all of its replicas at once, so they spread over machines as long as
   * others have room.
   */
  static boolean wouldExceedReplicaShare(Machine machine, Job job) {
    return job.spec.kind() == JobKind.SERVICE
        && machine.replicaCpus() + job.spec.cpus() > REPLICA_CPU_SHARE * machine.type.cpus();
  }

  /**
   * Returns whether the machine still has an older attempt of the task: its worker would reject the
   * start.
   */
  static boolean hasAttemptOnMachine(Machine machine, Job job, int index) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.index == index && attempt.job == job) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether a probe of a suspect job should go to another machine, because the job failed
   * on this one and another suitable machine without a failure has room. A faulty machine has the
   * job's image cached, so without this rule it would attract every probe of a sound job.
   */
  boolean shouldProbeElsewhere(Machine machine, Job job, long nowMs) {
    if (!job.lastFailureMsByMachine.containsKey(machine.name)) {
      return false;
    }
    for (Machine other : cluster.allMachines()) {
      if (!job.lastFailureMsByMachine.containsKey(other.name)
          && cluster.isUsable(other, nowMs)
          && hasRoomFor(other, job)
          && isMachineAllowed(other, job, nowMs)) {
        return true;
      }
    }
    return false;
  }
}
