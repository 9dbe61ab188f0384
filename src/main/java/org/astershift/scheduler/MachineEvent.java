package org.astershift.scheduler;

/**
 * One event between this leader and a machine, kept for the log.
 *
 * @param atMs time at which the message was handled or the commands were decided
 * @param evidence the classification of the message; null without a message
 * @param epoch the message's epoch, or the machine's known epoch when commands were sent
 * @param sequence the message's sequence number, or the newest known when commands were sent
 * @param fencingToken the message's fencing token; 0 for commands
 * @param count number of tasks in the message, or of commands sent
 * @param exitedCount number of those tasks that have exited
 * @param waitedMs milliseconds from the receipt of the message until it was handled
 */
record MachineEvent(
    long atMs,
    Kind kind,
    MessageClassifier.Evidence evidence,
    long epoch,
    long sequence,
    long fencingToken,
    int count,
    int exitedCount,
    int waitedMs) {

  /** Kinds of events. */
  enum Kind {
    /** A heartbeat was handled. */
    HEARTBEAT,
    /** An answer to direct commands was handled. */
    ANSWER,
    /** Direct commands got no answer. */
    NO_ANSWER,
    /** Direct commands were decided by a pass. */
    COMMANDS_SENT,
    /** Commands were included in the response to a heartbeat. */
    COMMANDS_IN_RESPONSE
  }

  /** Returns the event of a message that was handled after waiting {@code waitedMs}. */
  static MachineEvent ofMessage(
      Kind kind,
      Heartbeat message,
      MessageClassifier.Evidence evidence,
      long waitedMs,
      long nowMs) {
    return new MachineEvent(
        nowMs,
        kind,
        evidence,
        message.epoch(),
        message.sequence(),
        message.fencingToken(),
        message.tasks().size(),
        countExited(message),
        (int) Math.min(Integer.MAX_VALUE, waitedMs));
  }

  /** Returns an event of this kind that has no message. */
  static MachineEvent withoutMessage(Kind kind, Machine machine, int count, long nowMs) {
    return new MachineEvent(nowMs, kind, null, machine.epoch, machine.sequence, 0, count, 0, 0);
  }

  private static int countExited(Heartbeat message) {
    int exited = 0;
    for (Heartbeat.TaskStatus status : message.tasks()) {
      exited += status.phase() == Heartbeat.TaskPhase.EXITED ? 1 : 0;
    }
    return exited;
  }

  /** Formats the event for the log, with its age as of {@code nowMs}. */
  String format(long nowMs) {
    return kind
        + (evidence == null ? "" : " " + evidence)
        + " epoch="
        + epoch
        + " sequence="
        + sequence
        + " token="
        + fencingToken
        + " count="
        + count
        + (exitedCount == 0 ? "" : " exited=" + exitedCount)
        + " age_ms="
        + (nowMs - atMs)
        + " waited_ms="
        + waitedMs;
  }
}
