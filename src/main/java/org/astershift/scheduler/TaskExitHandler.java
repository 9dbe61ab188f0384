package org.astershift.scheduler;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reacts to the exit of a task by its reason. */
final class TaskExitHandler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskExitHandler.class);

  /** Without new starts on a machine that rejected one, until its status is known. */
  private static final long START_REJECTED_BACKOFF_MS = 1000;

  /** Without starts of a job that a machine does not know: its upload may be late. */
  private static final long UNKNOWN_JOB_BACKOFF_MS = 1000;

  private final ClusterState cluster;
  private final FaultAttribution faultAttribution;

  TaskExitHandler(ClusterState cluster) {
    this.cluster = cluster;
    this.faultAttribution = new FaultAttribution(cluster);
  }

  /** A known attempt is reported as exited for the first time. */
  void onReportedExit(TaskAttempt attempt, Heartbeat.TaskStatus status, long nowMs) {
    cluster.attempts.release(attempt);
    attempt.exitReason = ExitReason.of(status.exitReason());
    if (attempt.exitReason != ExitReason.DONE) {
      attempt.job.unsuccessfulAttempts++;
    }
    attempt.phase = Heartbeat.TaskPhase.EXITED;
    onExited(attempt, nowMs);
  }

  /** The attempt has exited, with its reason set; nothing is done for jobs that are over. */
  void onExited(TaskAttempt attempt, long nowMs) {
    Job job = attempt.job;
    Machine machine = attempt.machine;
    if (job.state != Job.State.LIVE) {
      return;
    }
    switch (attempt.exitReason) {
      case DONE -> {
        faultAttribution.onTaskCompleted(job, machine);
        if (job.spec.kind() != JobKind.SERVICE) {
          cluster.markTaskDone(job, attempt.index);
        }
      }
      case ERROR -> {
        LOG.info("task failed: task={} machine={}", attempt.name(), machine.name);
        faultAttribution.onTaskFailed(attempt, nowMs);
      }
      case NO_ROOM, IN_USE -> onStartRejected(attempt, nowMs);
      case UNKNOWN_JOB -> {
        onStartRejected(attempt, nowMs);
        job.pausedUntilMs = nowMs + UNKNOWN_JOB_BACKOFF_MS;
      }
      case INCOMPLETE -> {
        LOG.info("gang incomplete in time: task={} machine={}", attempt.name(), machine.name);
        cluster.attempts.stopIncompleteGang(job, attempt.attemptNumber);
      }
      case PEERS, OTHER -> {
        LOG.debug(
            "task exited: task={} machine={} reason={}",
            attempt.name(),
            machine.name,
            attempt.exitReason);
        cluster.requestPass();
      }
    }
  }

  private static void onStartRejected(TaskAttempt attempt, long nowMs) {
    LOG.info(
        "start rejected: task={} machine={} reason={}",
        attempt.name(),
        attempt.machine.name,
        attempt.exitReason);
    attempt.machine.cordonedUntilMs = nowMs + START_REJECTED_BACKOFF_MS;
  }
}
