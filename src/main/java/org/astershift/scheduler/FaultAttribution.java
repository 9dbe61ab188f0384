package org.astershift.scheduler;

import java.util.ArrayList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whose fault a failed task is. A faulty machine fails every job, a job submitted with a mistake
 * fails on every machine, and a first failure tells neither. So blame follows distinct machines for
 * a job and distinct jobs for a machine; what one verdict explains counts no more for the other.
 */
final class FaultAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  /** Milliseconds without new starts on a machine where a task failed. */
  private static final long TASK_FAILED_BACKOFF_MS = 1500;

  /**
   * Jobs that failed on a machine, or failures there of jobs that are sound elsewhere, that convict
   * it, without a completed task between.
   */
  private static final int FAILURES_TO_QUARANTINE = 2;

  /** Machines on which a job failed, without ever completing a task, that make it a suspect. */
  private static final int FAILED_MACHINES_TO_SUSPECT = 2;

  /** Milliseconds that a task has run after which its job is no job that fails on every machine. */
  private static final long PROVEN_RUN_MS = 10_000;

  /** Milliseconds between the first probes of a job that is probably broken; doubled each time. */
  private static final long JOB_PROBE_INTERVAL_MS = 4000;

  /**
   * So often at the most, up to 64 s: a sound job whose faulty machines are replaced may wait for
   * less than 90 s beside room, its probe's first seconds included.
   */
  private static final int JOB_PROBE_MAX_DOUBLINGS = 4;

  private final ClusterState cluster;

  FaultAttribution(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** A task failed on its machine. */
  void onTaskFailed(TaskAttempt attempt, long nowMs) {
    cluster.requestPass();
    Job job = attempt.job;
    Machine machine = attempt.machine;
    if (machine.quarantined) {
      return; // explained already
    }
    job.lastFailureMsByMachine.put(machine.name, nowMs);
    boolean provenSound = isProvenSound(job, nowMs);
    if (provenSound) {
      machine.provenJobFailures++;
    } else if (!job.isSuspect()) {
      machine.failedJobs.add(job);
    }
    if (machine.provenJobFailures + machine.failedJobs.size() >= FAILURES_TO_QUARANTINE) {
      quarantine(machine);
    } else if (!provenSound
        && (job.isSuspect() || job.lastFailureMsByMachine.size() >= FAILED_MACHINES_TO_SUSPECT)) {
      suspectJob(job, nowMs);
    } else {
      machine.cordonedUntilMs = nowMs + TASK_FAILED_BACKOFF_MS;
    }
  }

  /** A task of the job completed there: neither is broken. */
  void onTaskCompleted(Job job, Machine machine) {
    machine.provenJobFailures = 0;
    machine.failedJobs.clear();
    if (!job.hasCompletedTask) {
      job.hasCompletedTask = true;
      if (job.isSuspect()) {
        LOG.info("job {} is sound after all: a task completed on {}", job.spec.id(), machine.name);
        clearSuspicion(job);
      }
    }
  }

  /** A task of it has completed, or runs for so long that it is no job that fails at once. */
  private static boolean isProvenSound(Job job, long nowMs) {
    if (job.hasCompletedTask) {
      return true;
    }
    for (TaskAttempt attempt : job.attempts.values()) {
      if (attempt.phase == Heartbeat.TaskPhase.RUNNING
          && attempt.runningSinceMs >= 0
          && nowMs - attempt.runningSinceMs >= PROVEN_RUN_MS) {
        return true;
      }
    }
    return false;
  }

  /** The job is probed from now on: a task at a time (a gang as a whole), with growing pauses. */
  private void suspectJob(Job job, long nowMs) {
    boolean first = !job.isSuspect();
    if (first) {
      LOG.info(
          "job {} ({}) failed on {} machines and nowhere completed a task: taken to be broken,"
              + " probed with growing pauses",
          job.spec.id(),
          job.spec.jobClass(),
          job.lastFailureMsByMachine.size());
      for (Machine machine : cluster.allMachines()) {
        if (machine.failedJobs.remove(job) && !machine.hasRecentFailures()) {
          machine.cordonedUntilMs = 0;
        }
      }
      if (job.spec.kind() != JobKind.GANG) {
        for (TaskAttempt attempt : new ArrayList<>(job.attempts.values())) {
          if (!attempt.exited() && attempt.runningSinceMs < 0) {
            cluster.stop(attempt);
          }
        }
      }
    }
    // What fails together is one probe.
    if (nowMs >= job.pausedUntilMs) {
      int doublings = Math.min(job.probeCount++, JOB_PROBE_MAX_DOUBLINGS);
      job.pausedUntilMs = nowMs + (JOB_PROBE_INTERVAL_MS << doublings);
    }
  }

  private void quarantine(Machine machine) {
    machine.quarantined = true;
    LOG.info(
        "machine {} ({} in {}) fails tasks of several jobs: no more work, to be returned",
        machine.name,
        machine.typeName,
        machine.zone);
    for (Job job : cluster.jobs.values()) {
      if (job.lastFailureMsByMachine.remove(machine.name) != null
          && job.isSuspect()
          && job.lastFailureMsByMachine.size() < FAILED_MACHINES_TO_SUSPECT) {
        LOG.info(
            "job {} is taken to be sound again: machine {} was faulty",
            job.spec.id(),
            machine.name);
        clearSuspicion(job);
      }
    }
  }

  /**
   * Whether its probe shows the job to be sound: it runs for longer than what fails at once does. A
   * replica never completes, and one that ran for good kept all others of its service waiting.
   */
  static void checkProbe(Job job, long nowMs) {
    if (job.isSuspect() && isProvenSound(job, nowMs)) {
      LOG.info("job {} is sound after all: its probe runs", job.spec.id());
      clearSuspicion(job);
    }
  }

  private static void clearSuspicion(Job job) {
    job.probeCount = 0;
    job.pausedUntilMs = 0;
  }
}
