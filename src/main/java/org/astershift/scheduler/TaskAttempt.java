package org.astershift.scheduler;

/** One attempt of one task on one machine, from the decision to place it until its proof of end. */
final class TaskAttempt {
  /** Names an attempt on its machine. */
  record Key(String jobId, int index, long attemptNumber) {}

  final Job job;
  final int index;
  final long attemptNumber;
  final Machine machine;
  final long placedMs;
  final Key key;

  /** What the machine last reported; null while it has not shown the task in this session. */
  Heartbeat.TaskPhase phase;

  /** Position of the newest report that showed it. */
  long lastShownSequence = -1;

  /** A start command went out, in whatever way. */
  boolean startSent;

  /**
   * A direct order with this start got no answer, so the start may still be executed minutes later
   * while token and session match. Until the session is over the attempt must not be cleared: that
   * would make the worker forget it, and the late start would run the task a second time.
   */
  boolean startUnconfirmed;

  /** Direct orders with this start that are under way now. */
  boolean startInFlight;

  /**
   * The lease of the machine's life for which a start in doubt was meant has run out: only a
   * machine that begins anew could execute it now.
   */
  boolean startLeaseExpired;

  /** The session for which the last of them was meant: in a later one it has no effect. */
  long startEpoch;

  /**
   * A start went with the answer to the newest report: whether it arrived shows the next one, since
   * a worker has one under way at a time. Time alone shows nothing: an answer taken at the last
   * moment was a start that its leader knew nothing of for a report's interval more.
   */
  boolean startInHeartbeatResponse;

  boolean stopping;
  boolean stopSent;
  double stopGraceS;
  String exitReason;
  long runningSinceMs = -1;

  TaskAttempt(Job job, int index, long attemptNumber, Machine machine, long placedMs) {
    this.job = job;
    this.index = index;
    this.attemptNumber = attemptNumber;
    this.machine = machine;
    this.placedMs = placedMs;
    this.key = new Key(job.spec.id(), index, attemptNumber);
  }

  boolean exited() {
    return phase == Heartbeat.TaskPhase.EXITED;
  }

  /**
   * Whether a direct order may still start it, which the machine has not shown yet. That its lease
   * ran out proves nothing of this: a machine that begins anew has the first session again, and no
   * token, so the order held on its way starts the task there (seed 94 of the swarm).
   */
  boolean startPending() {
    return phase == null && (startUnconfirmed || startInFlight);
  }

  /**
   * Whether the task may still start, though no further command is sent: a start is on its way or
   * in doubt, with a direct order or with an answer, or its image is being fetched.
   */
  boolean mayStart() {
    return phase == Heartbeat.TaskPhase.FETCHING
        || (phase == null && (startPending() || startInHeartbeatResponse) && !startLeaseExpired);
  }

  /** Whether its user sees it as running. */
  boolean isRunning() {
    return phase == Heartbeat.TaskPhase.RUNNING || phase == Heartbeat.TaskPhase.SAVING;
  }

  /** Whether, as far as its estimate tells, it will have left its room at this time. */
  boolean expectedDoneBy(long atMs) {
    return job.spec.kind() == JobKind.ARRAY
        && !exited()
        && placedMs + job.spec.estimateS() * 1000 < atMs;
  }

  /** Nobody wants it to run any more. */
  boolean unwanted() {
    return stopping || resultUnused();
  }

  /** Its job is over or about to be: nothing that it could still save is of use to anybody. */
  private boolean resultUnused() {
    return job.state != Job.State.LIVE || job.cancellationRequested;
  }

  /** The grace of a stop: none for what is useless, so that one that saves is ended, too. */
  double graceS() {
    return resultUnused() ? 0 : stopGraceS;
  }

  /** A stop that gave time to save has to go out once more where that is of no use now. */
  void shortenGrace() {
    stopSent &= stopGraceS == 0;
  }

  String name() {
    return job.spec.id() + "/" + index;
  }
}
