package org.astershift.scheduler;

import java.util.ArrayList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attributes task failures to jobs or machines. Every job fails on a faulty machine, and a faulty
 * job fails on every machine; a first failure does not distinguish the two cases. A job is
 * therefore judged by the number of distinct machines on which it failed, and a machine by the
 * number of distinct jobs that failed on it. A failure that is attributed to one of them no longer
 * counts against the other.
 */
final class FaultAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  /** Time without new starts on a machine after a task failed on it. */
  private static final long TASK_FAILED_BACKOFF_MS = 1500;

  /**
   * Number of failures on a machine, without a completed task in between, that put it into
   * quarantine. Every failure of a job proven healthy counts, but only one per other job.
   */
  private static final int FAILURES_TO_QUARANTINE = 2;

  /** Number of machines on which a job without a completed task must fail to become suspect. */
  private static final int FAILED_MACHINES_TO_SUSPECT = 2;

  /** Run time of a task that proves its job healthy. */
  private static final long PROVEN_RUN_MS = 10_000;

  /** Pause after the first probe of a suspect job; doubled after each further probe. */
  private static final long JOB_PROBE_INTERVAL_MS = 4000;

  /**
   * Limits the pause to 64 s, because a healthy job must not wait longer than that while there is
   * free capacity.
   */
  private static final int JOB_PROBE_MAX_DOUBLINGS = 4;

  private final ClusterState cluster;

  FaultAttribution(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Attributes a task failure to its machine or its job. */
  void onTaskFailed(TaskAttempt attempt, long nowMs) {
    cluster.requestPass();
    Job job = attempt.job;
    Machine machine = attempt.machine;
    if (machine.quarantined) {
      return; // attributed to the machine
    }
    job.lastFailureMsByMachine.put(machine.name, nowMs);
    boolean provenHealthy = isProvenHealthy(job, nowMs);
    if (provenHealthy) {
      machine.provenJobFailures++;
    } else if (!job.isSuspect()) {
      machine.failedJobs.add(job);
    }
    if (machine.provenJobFailures + machine.failedJobs.size() >= FAILURES_TO_QUARANTINE) {
      quarantine(machine);
    } else if (!provenHealthy
        && (job.isSuspect() || job.lastFailureMsByMachine.size() >= FAILED_MACHINES_TO_SUSPECT)) {
      suspectJob(job, nowMs);
    } else {
      machine.cordonedUntilMs = nowMs + TASK_FAILED_BACKOFF_MS;
    }
  }

  /** Records that a task completed, which proves both its job and its machine healthy. */
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

  /** Returns whether a task of the job has completed or has run for long enough. */
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

  /**
   * Marks the job as suspect. From now on, one task at a time (or a gang as a whole) probes the
   * job, with growing pauses.
   */
  private void suspectJob(Job job, long nowMs) {
    boolean newlySuspect = !job.isSuspect();
    if (newlySuspect) {
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
    // Tasks that fail together count as one probe.
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
   * Clears the suspicion of a job whose probe has run for long enough. Without this check a service
   * would stay suspect, because its replicas never complete.
   */
  static void checkProbe(Job job, long nowMs) {
    if (job.isSuspect() && isProvenHealthy(job, nowMs)) {
      LOG.info("suspicion cleared, the probe has run for long enough: job={}", job.spec.id());
      clearSuspicion(job);
    }
  }

  private static void clearSuspicion(Job job) {
    job.probeCount = 0;
    job.pausedUntilMs = 0;
  }
}
