package org.astershift.scheduler;

import java.util.BitSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Adopts tasks that a machine reports and that this leader did not place there. */
final class AttemptAdoption {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptAdoption.class);

  private final ClusterState cluster;
  private final TaskExitHandler exitHandler;

  AttemptAdoption(ClusterState cluster, TaskExitHandler exitHandler) {
    this.cluster = cluster;
    this.exitHandler = exitHandler;
  }

  /**
   * Adds an attempt for a reported task. Unless the attempt has exited, it becomes the holder of
   * the task, or is stopped if the task is unwanted or another attempt keeps holding the task.
   */
  void adopt(Machine machine, Heartbeat.TaskStatus status, long sequence, long nowMs) {
    Job job = cluster.jobs.get(status.jobId());
    if (job == null || status.index() >= job.spec.tasks()) {
      job = createOrphanedJob(status);
    }
    TaskAttempt attempt = createAttempt(job, machine, status, sequence, nowMs);
    cluster.attempts.adopt(attempt);
    if (status.closesAttempt()) {
      job.closeAttempt(attempt.attemptNumber);
    }
    if (attempt.isExited()) {
      exitHandler.onExited(attempt, nowMs);
      return;
    }
    if (status.phase() == Heartbeat.TaskPhase.RUNNING) {
      attempt.runningSinceMs = nowMs;
    }
    if (status.phase() != Heartbeat.TaskPhase.FETCHING) {
      machine.touchImage(job.spec.image(), job.spec.imageGb());
    }
    TaskAttempt other = resolveOtherHolder(attempt, nowMs);
    if (job.state != Job.State.LIVE || job.doneTasks.get(attempt.index) || other != null) {
      stopUnwanted(attempt, other != null);
      return;
    }
    cluster.attempts.holdTask(attempt);
    cluster.attempts.stopRestOfGang(attempt);
    job.opened = true;
    if (status.phase() == Heartbeat.TaskPhase.RUNNING) {
      cluster.serviceStatistics.onStarted(job, nowMs);
    }
  }

  private TaskAttempt createAttempt(
      Job job, Machine machine, Heartbeat.TaskStatus status, long sequence, long nowMs) {
    TaskAttempt attempt =
        new TaskAttempt(job, status.index(), status.attemptNumber(), machine, nowMs);
    attempt.startSent = true;
    attempt.phase = status.phase();
    attempt.exitReason = ExitReason.of(status.exitReason());
    attempt.lastReportedSequence = sequence;
    return attempt;
  }

  /**
   * Returns the other attempt that keeps holding the task, or null if there is none. A holder whose
   * start was never sent is dropped. A holder on an unfenced machine is stopped if this attempt's
   * machine is fenced and the job is live.
   */
  private TaskAttempt resolveOtherHolder(TaskAttempt attempt, long nowMs) {
    Job job = attempt.job;
    Machine machine = attempt.machine;
    TaskAttempt other = job.attempts.get(attempt.index);
    if (other != null && !other.startSent && !other.isStartPending()) {
      cluster.attempts.drop(other);
      other = null;
    }
    if (other != null && other.machine != machine) {
      cluster.reconciliationLog.onTaskFoundTwice(attempt, other, nowMs);
    }
    if (other != null && machine.fenced && !other.machine.fenced && job.state == Job.State.LIVE) {
      // The other machine's status may be a delayed copy, while this machine is fenced, so this
      // machine's status is current. A task is never on two machines, so this attempt takes over
      // the task.
      LOG.info(
          "task taken over from an attempt on an unfenced machine: task={} machine={} unfenced={}",
          attempt.name(),
          machine.name,
          other.machine.name);
      job.release(other);
      job.duplicateAttempts.add(other);
      other.stopping = true;
      other = null;
    }
    return other;
  }

  private static void stopUnwanted(TaskAttempt attempt, boolean duplicate) {
    LOG.info(
        "stopping unwanted task: task={} attempt={} machine={}",
        attempt.name(),
        attempt.attemptNumber,
        attempt.machine.name);
    attempt.stopping = true;
    if (duplicate) {
      attempt.job.duplicateAttempts.add(attempt);
    }
  }

  /**
   * Creates a placeholder for a job that this leader does not manage. Its tasks are only stopped.
   */
  private static Job createOrphanedJob(Heartbeat.TaskStatus status) {
    JobSpec spec =
        new JobSpec(
            status.jobId(),
            "",
            "",
            JobKind.ARRAY,
            Priority.LOW,
            0,
            0,
            0,
            0,
            "",
            0,
            null,
            null,
            false,
            false,
            true,
            0,
            0,
            0,
            null);
    Job job = new Job(spec, 0, true, new BitSet(), ClassObjectives.NONE);
    job.state = Job.State.CANCELLED;
    job.orphaned = true;
    return job;
  }
}
