package org.astershift.scheduler;

import java.util.ArrayList;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whose fault a failed task is. A faulty machine fails every job, a job submitted with a mistake
 * fails on every machine, and a first failure tells neither. So blame follows distinct machines for
 * a job and distinct jobs for a machine; what one verdict explains counts no more for the other.
 */
final class FaultAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);
  private final ClusterState c;

  FaultAttribution(ClusterState cluster) {
    this.c = cluster;
  }

  /** A task failed on its machine. */
  void failed(TaskAttempt run, long nowMs) {
    c.stir();
    Job job = run.job;
    Machine m = run.machine;
    if (m.condemned) {
      return; // explained already
    }
    job.failedOn.put(m.name, nowMs);
    boolean proven = proven(job, nowMs);
    if (proven) {
      m.failedProven++;
    } else if (!job.suspect()) {
      m.failedJobs.add(job);
    }
    if (m.failedProven + m.failedJobs.size() >= Constants.FAILURES_TO_CONDEMN) {
      condemn(m);
    } else if (!proven && (job.suspect() || job.failedOn.size() >= Constants.MACHINES_TO_SUSPECT)) {
      suspect(job, nowMs);
    } else {
      m.holdUntilMs = nowMs + Constants.FAILED_HOLD_MS;
    }
  }

  /** A task of the job completed there: neither is broken. */
  void succeeded(Job job, Machine m) {
    m.failedProven = 0;
    m.failedJobs.clear();
    if (!job.everRan) {
      job.everRan = true;
      if (job.suspect()) {
        LOG.info("job {} is sound after all: a task completed on {}", job.spec.id(), m.name);
        clear(job);
      }
    }
  }

  /** A task of it has completed, or runs for so long that it is no job that fails at once. */
  private static boolean proven(Job job, long nowMs) {
    if (job.everRan) {
      return true;
    }
    for (TaskAttempt run : job.runs.values()) {
      if (run.phase == Heartbeat.TaskPhase.RUNNING
          && run.runningSinceMs >= 0
          && nowMs - run.runningSinceMs >= Constants.PROVEN_MS) {
        return true;
      }
    }
    return false;
  }

  /** The job is probed from now on: a task at a time (a gang as a whole), with growing pauses. */
  private void suspect(Job job, long nowMs) {
    boolean first = !job.suspect();
    if (first) {
      LOG.info(
          "job {} ({}) failed on {} machines and nowhere completed a task: taken to be broken,"
              + " probed with growing pauses",
          job.spec.id(),
          job.spec.jobClass(),
          job.failedOn.size());
      for (Machine m : c.all()) {
        if (m.failedJobs.remove(job) && !m.doubted()) {
          m.holdUntilMs = 0;
        }
      }
      if (job.spec.kind() != JobKind.GANG) {
        for (TaskAttempt run : new ArrayList<>(job.runs.values())) {
          if (!run.exited() && run.runningSinceMs < 0) {
            c.stop(run);
          }
        }
      }
    }
    // What fails together is one probe.
    if (nowMs >= job.pausedUntilMs) {
      int doublings = Math.min(job.probes++, Constants.PROBE_DOUBLINGS);
      job.pausedUntilMs = nowMs + (Constants.PROBE_PAUSE_MS << doublings);
    }
  }

  private void condemn(Machine m) {
    m.condemned = true;
    LOG.info(
        "machine {} ({} in {}) fails tasks of several jobs: no more work, to be returned",
        m.name,
        m.type,
        m.zone);
    for (Job job : c.jobs.values()) {
      if (job.failedOn.remove(m.name) != null
          && job.suspect()
          && job.failedOn.size() < Constants.MACHINES_TO_SUSPECT) {
        LOG.info("job {} is taken to be sound again: machine {} was faulty", job.spec.id(), m.name);
        clear(job);
      }
    }
  }

  /**
   * Whether its probe shows the job to be sound: it runs for longer than what fails at once does. A
   * replica never completes, and one that ran for good kept all others of its service waiting.
   */
  static void lookAt(Job job, long nowMs) {
    if (job.suspect() && proven(job, nowMs)) {
      LOG.info("job {} is sound after all: its probe runs", job.spec.id());
      clear(job);
    }
  }

  private static void clear(Job job) {
    job.probes = 0;
    job.pausedUntilMs = 0;
  }
}
