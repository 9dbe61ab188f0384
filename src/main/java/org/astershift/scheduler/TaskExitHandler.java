package org.astershift.scheduler;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles exited task attempts according to their exit reason. */
final class TaskExitHandler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskExitHandler.class);

  /** Time without new starts on a machine that rejected one, until its status is known. */
  private static final long START_REJECTED_BACKOFF_MS = 1000;

  /** Time without starts of a job that a machine does not know, as the job's upload may be late. */
  private static final long UNKNOWN_JOB_BACKOFF_MS = 1000;

  private final ClusterState cluster;
  private final FaultAttribution faultAttribution;

  TaskExitHandler(ClusterState cluster) {
    this.cluster = cluster;
    this.faultAttribution = new FaultAttribution(cluster);
  }

  /** Handles the first report that a known attempt has exited. */
  void onReportedExit(TaskAttempt attempt, Heartbeat.TaskStatus status, long nowMs) {
    cluster.attempts.release(attempt);
    attempt.exitReason = ExitReason.of(status.exitReason());
    if (attempt.exitReason != ExitReason.DONE) {
      attempt.job.unsuccessfulAttempts++;
    }
    attempt.phase = Heartbeat.TaskPhase.EXITED;
    onExited(attempt, nowMs);
  }

  /** Handles an exited attempt whose exit reason is set; ignores attempts of jobs that are over. */
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
        LOG.info(
            "gang not complete in time, stopping its tasks: task={} machine={}",
            attempt.name(),
            machine.name);
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
