package org.astershift.scheduler;

import java.util.ArrayList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attributes failed tasks to jobs or machines. A faulty machine fails every job, a broken job fails
 * on every machine, and a first failure shows neither. So a job is judged by distinct machines and
 * a machine by distinct jobs; what one verdict explains no longer counts for the other.
 */
final class FaultAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  /** Time without new starts on a machine where a task failed. */
  private static final long TASK_FAILED_BACKOFF_MS = 1500;

  /**
   * Jobs that failed on a machine, or failures there of jobs proven sound, without a completed task
   * between, that put it into quarantine.
   */
  private static final int FAILURES_TO_QUARANTINE = 2;

  /** Machines on which a job that never completed a task failed that make it suspect. */
  private static final int FAILED_MACHINES_TO_SUSPECT = 2;

  /** A task that has run for so long proves its job sound. */
  private static final long PROVEN_RUN_MS = 10_000;

  /** Pause after the first probe of a suspect job; doubled each time. */
  private static final long JOB_PROBE_INTERVAL_MS = 4000;

  /** Limits the pause to 64 s, as a sound job beside free room must not wait for longer. */
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
      return; // explained by the machine
    }
    job.lastFailureMsByMachine.put(machine.name, nowMs);
    boolean provenSound = isProvenHealthy(job, nowMs);
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

  /** A task of the job completed on the machine: neither is broken. */
  void onTaskCompleted(Job job, Machine machine) {
    machine.provenJobFailures = 0;
    machine.failedJobs.clear();
    if (!job.hasCompletedTask) {
      job.hasCompletedTask = true;
      if (job.isSuspect()) {
        LOG.info(
            "suspicion cleared, a task completed: job={} machine={}", job.spec.id(), machine.name);
        clearSuspicion(job);
      }
    }
  }

  /** Whether a task of it has completed, or has run for long enough. */
  private static boolean isProvenHealthy(Job job, long nowMs) {
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

  /** From now on one task at a time probes the job (a gang as a whole), with growing pauses. */
  private void suspectJob(Job job, long nowMs) {
    boolean first = !job.isSuspect();
    if (first) {
      LOG.info(
          "job suspect, probed with growing pauses: job={} class={} failed_machines={}",
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
          if (!attempt.isExited() && attempt.runningSinceMs < 0) {
            cluster.stop(attempt);
          }
        }
      }
    }
    // Tasks that fail together are one probe.
    if (nowMs >= job.pausedUntilMs) {
      int doublings = Math.min(job.probeCount++, JOB_PROBE_MAX_DOUBLINGS);
      job.pausedUntilMs = nowMs + (JOB_PROBE_INTERVAL_MS << doublings);
    }
  }

  private void quarantine(Machine machine) {
    machine.quarantined = true;
    LOG.info(
        "machine quarantined, to be released: machine={} type={} zone={}",
        machine.name,
        machine.typeName,
        machine.zone);
    for (Job job : cluster.jobs.values()) {
      if (job.lastFailureMsByMachine.remove(machine.name) != null
          && job.isSuspect()
          && job.lastFailureMsByMachine.size() < FAILED_MACHINES_TO_SUSPECT) {
        LOG.info(
            "suspicion cleared, the machine was faulty: job={} machine={}",
            job.spec.id(),
            machine.name);
        clearSuspicion(job);
      }
    }
  }

  /**
   * Clears the suspicion of a job whose probe has run for long enough. A replica never completes,
   * so its service could not leave the suspicion otherwise.
   */
  static void checkProbe(Job job, long nowMs) {
    if (job.isSuspect() && isProvenHealthy(job, nowMs)) {
      LOG.info("suspicion cleared, the probe runs: job={}", job.spec.id());
      clearSuspicion(job);
    }
  }

  private static void clearSuspicion(Job job) {
    job.probeCount = 0;
    job.pausedUntilMs = 0;
  }
}
