package org.astershift.scheduler;

/** One attempt of one task on one machine, from its placement until its end is proven. */
final class TaskAttempt {
  /** Identifies an attempt on its machine. */
  record Key(String jobId, int index, long attemptNumber) {}

  final Job job;
  final int index;
  final long attemptNumber;
  final Machine machine;
  final long placedMs;
  final Key key;

  /** The phase reported last; null while the machine has not reported the attempt in this epoch. */
  Heartbeat.TaskPhase phase;

  /** Sequence number of the newest message that reported the attempt; -1 if none did. */
  long lastReportedSequence = -1;

  /** Whether a start was sent in a heartbeat response. */
  boolean startSent;

  /**
   * Whether the newest heartbeat response contained a start. Only the next heartbeat shows whether
   * it arrived, since a worker may receive a response just before its deadline.
   */
  boolean startInHeartbeatResponse;

  boolean stopping;
  boolean stopSent;
  double stopGracePeriodS;

  /** Why the attempt exited; null while it has not. */
  ExitReason exitReason;

  /**
   * When the attempt was first reported as running, in milliseconds of the monotonic clock; -1 if
   * it was not.
   */
  long runningSinceMs = -1;

  TaskAttempt(Job job, int index, long attemptNumber, Machine machine, long placedMs) {
    this.job = job;
    this.index = index;
    this.attemptNumber = attemptNumber;
    this.machine = machine;
    this.placedMs = placedMs;
    this.key = new Key(job.spec.id(), index, attemptNumber);
  }

  boolean isExited() {
    return phase == Heartbeat.TaskPhase.EXITED;
  }

  /** Returns whether the machine has not reported the attempt and its start may still arrive. */
  boolean isStartPending() {
    return phase == null && startInHeartbeatResponse;
  }

  /**
   * Returns whether the task may still start without a further command, because its image is being
   * fetched or the response with its start may still arrive.
   */
  boolean mayStillStart() {
    return phase == Heartbeat.TaskPhase.FETCHING || isStartPending();
  }

  /** Returns whether the user sees the task as running, which includes saving a checkpoint. */
  boolean isRunning() {
    return phase == Heartbeat.TaskPhase.RUNNING || phase == Heartbeat.TaskPhase.SAVING;
  }

  /** Returns whether the task will have ended by this time according to its job's estimate. */
  boolean isExpectedDoneBy(long atMs) {
    return job.spec.kind() == JobKind.ARRAY
        && !isExited()
        && placedMs + job.spec.estimateS() * 1000 < atMs;
  }

  /** Returns whether the attempt should no longer run. */
  boolean isUnwanted() {
    return stopping || isResultUnused();
  }

  /** Returns whether the job is over or being cancelled, so that a checkpoint has no use. */
  private boolean isResultUnused() {
    return job.state != Job.State.LIVE || job.cancellationRequested;
  }

  /** Returns the seconds that a stop leaves for a checkpoint; 0 if a checkpoint has no use. */
  double gracePeriodS() {
    return isResultUnused() ? 0 : stopGracePeriodS;
  }

  /** Makes a stop that left time for a checkpoint be sent again without a grace period. */
  void cancelGracePeriod() {
    stopSent &= stopGracePeriodS == 0;
  }

  String name() {
    return job.spec.id() + "/" + index;
  }
}
