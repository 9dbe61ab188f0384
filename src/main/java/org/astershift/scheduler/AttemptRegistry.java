package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which attempt holds which task on which machine. Placing, adopting, releasing or stopping
 * an attempt updates all sums and sets of {@link ClusterState} that depend on it.
 */
final class AttemptRegistry {
  /** Time constant in seconds with which the reuse rate of idle machines decays. */
  private static final double REUSE_WINDOW_S = 60;

  private final ClusterState cluster;
  private final Map<String, DecayingRate> reuseRateByType = new HashMap<>();

  AttemptRegistry(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Places a waiting task on a machine; its start command is sent once the job is opened. */
  TaskAttempt place(Job job, int index, Machine machine, long attemptNumber, long nowMs) {
    if (machine.isIdle()) {
      reuseRateByType
          .computeIfAbsent(machine.typeName, t -> new DecayingRate(REUSE_WINDOW_S))
          .add(nowMs);
    }
    TaskAttempt attempt = new TaskAttempt(job, index, attemptNumber, machine, nowMs);
    machine.add(attempt);
    addUsage(attempt, 1);
    holdTask(attempt);
    job.lastPlacedMs = nowMs;
    cluster.machinesWithPendingCommands.add(machine);
    if (!job.opened) {
      cluster.jobsToOpen.add(job);
    } else if (job.spec.kind() == JobKind.SERVICE) {
      cluster.servicesToPersist.add(job);
    }
    cluster.requestPass();
    return attempt;
  }

  /** Returns the number of idle machines of the type that are put to use per second. */
  double reuseRatePerS(String typeName, long nowMs) {
    DecayingRate rate = reuseRateByType.get(typeName);
    return rate == null ? 0 : rate.perS(nowMs);
  }

  /** Adds an attempt that a machine reported; only {@link #holdTask} makes it hold its task. */
  void adopt(TaskAttempt attempt) {
    attempt.machine.add(attempt);
    if (!attempt.isExited()) {
      addUsage(attempt, 1);
    }
  }

  /** Makes an attempt that is already known the one that holds its task. */
  void holdTask(TaskAttempt attempt) {
    attempt.job.hold(attempt);
    if (attempt.job.waitingTasks.isEmpty()) {
      cluster.waitingJobs.remove(attempt.job);
    }
  }

  /**
   * Releases the resources and the task of an attempt that no longer runs. The machine keeps the
   * attempt's entry until the worker has forgotten it. A remaining duplicate attempt takes over the
   * task.
   */
  void release(TaskAttempt attempt) {
    addUsage(attempt, -1);
    Job job = attempt.job;
    job.duplicateAttempts.remove(attempt);
    if (!job.release(attempt)) {
      return;
    }
    for (TaskAttempt duplicate : job.duplicateAttempts) {
      if (duplicate.index == attempt.index) {
        job.duplicateAttempts.remove(duplicate);
        holdTask(duplicate);
        break;
      }
    }
    if (job.state == Job.State.LIVE && !job.waitingTasks.isEmpty()) {
      cluster.waitingJobs.add(job);
    }
  }

  /** Removes an attempt that the machine provably neither holds nor can still receive. */
  void drop(TaskAttempt attempt) {
    if (!attempt.isExited()) {
      release(attempt);
      attempt.job.unsuccessfulAttempts += attempt.startSent ? 1 : 0;
      cluster.requestPass();
    }
    attempt.machine.remove(attempt);
  }

  /** Drops these attempts of one machine and logs those that it had reported. */
  void dropAll(Machine machine, List<TaskAttempt> attempts, DropReason reason) {
    cluster.reconciliationLog.onDropped(machine, attempts, reason);
    attempts.forEach(this::drop);
  }

  /** Drops the attempts of a machine that runs none, except those whose start may still arrive. */
  void dropExceptPendingStarts(Machine machine, DropReason reason) {
    List<TaskAttempt> nonPending = new ArrayList<>(machine.attempts.values());
    nonPending.removeIf(TaskAttempt::isStartPending);
    dropAll(machine, nonPending, reason);
  }

  /** Drops all attempts of a machine that is provably gone. */
  void dropAll(Machine machine) {
    dropAll(machine, new ArrayList<>(machine.attempts.values()), DropReason.MACHINE_GONE);
  }

  /** Stops a task with a grace period for its checkpoint; a gang is stopped as a whole. */
  void stop(TaskAttempt attempt) {
    if (attempt.job.spec.kind() == JobKind.GANG) {
      for (TaskAttempt other : attempt.job.attempts.values()) {
        markStopping(other);
      }
    } else {
      markStopping(attempt);
    }
  }

  /** Stops all tasks of a gang's attempt that can no longer become complete. */
  void stopIncompleteGang(Job job, long attemptNumber) {
    for (TaskAttempt attempt : job.attempts.values()) {
      if (attempt.attemptNumber == attemptNumber) {
        markStopping(attempt);
      }
    }
    cluster.requestPass();
  }

  /**
   * Stops the remaining tasks of a gang that an earlier leader began to stop. The stopped tasks end
   * in any case, and tasks that are stopped more than {@code gang_peer_s} after the first one fail
   * to save their checkpoint.
   */
  void stopRestOfGang(TaskAttempt attempt) {
    Job job = attempt.job;
    if (job.spec.kind() != JobKind.GANG || job.state != Job.State.LIVE) {
      return;
    }
    boolean stopBegun = false;
    boolean someNotStopping = false;
    for (TaskAttempt other : job.attempts.values()) {
      boolean sameAttempt = other.attemptNumber == attempt.attemptNumber && !other.isExited();
      stopBegun |= sameAttempt && other.phase == Heartbeat.TaskPhase.SAVING;
      someNotStopping |= sameAttempt && !other.stopping;
    }
    if (stopBegun && someNotStopping) {
      stop(attempt);
      cluster.requestPass();
    }
  }

  private void markStopping(TaskAttempt attempt) {
    attempt.stopping = true;
    attempt.machine.preemptible = null;
    attempt.stopGracePeriodS =
        attempt.job.spec.checkpointIntervalS() > 0 ? attempt.job.spec.checkpointSaveS() + 1 : 0;
    cluster.machinesWithPendingCommands.add(attempt.machine);
  }

  private void addUsage(TaskAttempt attempt, int sign) {
    JobSpec spec = attempt.job.spec;
    Machine machine = attempt.machine;
    machine.addUsage(spec, sign);
    if (attempt.job.orphaned) {
      machine.addOrphanedAttempts(sign);
      cluster.unobservedUsage.update(machine, cluster.machines.get(machine.name) == machine);
    }
    cluster.utilization.addUsedCpus(machine, sign * spec.cpus());
    cluster.quotaUsage.add(spec, sign);
  }
}
