package org.astershift.scheduler;

/** One attempt of one task on one machine, from its placement until the proof of its end. */
final class TaskAttempt {
  /** Identifies an attempt on its machine. */
  record Key(String jobId, int index, long attemptNumber) {}

  final Job job;
  final int index;
  final long attemptNumber;
  final Machine machine;
  final long placedMs;
  final Key key;

  /** The phase last reported; null while the machine has not shown the task in this epoch. */
  Heartbeat.TaskPhase phase;

  /** Sequence of the newest message that showed it. */
  long lastShownSequence = -1;

  /** A start command went out, directly or in a heartbeat response. */
  boolean startSent;

  /**
   * A direct start got no answer and may still be executed while fencing token and epoch match.
   * Until the epoch is over the worker must not forget the attempt, or the late start would run the
   * task a second time.
   */
  boolean startUnconfirmed;

  /** A direct start is in flight. */
  boolean startInFlight;

  /**
   * The lease of the incarnation for which an unconfirmed start was meant has expired: only a
   * restarted machine could execute it now.
   */
  boolean startLeaseExpired;

  /** The epoch for which the last direct start was meant: it has no effect in a later one. */
  long startEpoch;

  /**
   * A start went with the newest heartbeat response. Only the next heartbeat shows whether it
   * arrived: a worker may take a response at the last moment before its deadline.
   */
  boolean startInHeartbeatResponse;

  boolean stopping;
  boolean stopSent;
  double stopGracePeriodS;

  /** Why it exited; null before that. */
  ExitReason exitReason;

  /** When it was first seen running; -1: not yet. */
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

  /** No direct start is in flight any more; {@code unconfirmed}: one may have been executed. */
  void onDirectStartSettled(boolean unconfirmed) {
    startUnconfirmed |= startInFlight && unconfirmed;
    startInFlight = false;
  }

  /**
   * Whether a direct start that the machine has not shown yet may still be executed. An expired
   * lease does not exclude it: a restarted machine is in its first epoch again and has no fencing
   * token, so it would execute a delayed start.
   */
  boolean isStartPending() {
    return phase == null && (startUnconfirmed || startInFlight);
  }

  /**
   * Whether the task may still start without a further command: a start is in flight or
   * unconfirmed, directly or in a response, or its image is being fetched.
   */
  boolean mayStart() {
    return phase == Heartbeat.TaskPhase.FETCHING
        || (phase == null && (isStartPending() || startInHeartbeatResponse) && !startLeaseExpired);
  }

  /** Whether its user sees it as running. */
  boolean isRunning() {
    return phase == Heartbeat.TaskPhase.RUNNING || phase == Heartbeat.TaskPhase.SAVING;
  }

  /** Whether it will have ended at this time by its estimate. */
  boolean isExpectedDoneBy(long atMs) {
    return job.spec.kind() == JobKind.ARRAY
        && !isExited()
        && placedMs + job.spec.estimateS() * 1000 < atMs;
  }

  /** Whether it should not run any more. */
  boolean isUnwanted() {
    return stopping || isResultUnused();
  }

  /** Its job is over or about to be, so a checkpoint is of no use. */
  private boolean isResultUnused() {
    return job.state != Job.State.LIVE || job.cancellationRequested;
  }

  /** Seconds that a stop leaves for a checkpoint; 0 where that is of no use. */
  double gracePeriodS() {
    return isResultUnused() ? 0 : stopGracePeriodS;
  }

  /** Has a stop that left time for a checkpoint sent again without. */
  void cancelGracePeriod() {
    stopSent &= stopGracePeriodS == 0;
  }

  String name() {
    return job.spec.id() + "/" + index;
  }
}
