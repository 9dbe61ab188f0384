package org.astershift.scheduler;

/**
 * One thing that happened between this leader and a machine, kept for the log.
 *
 * @param atMs when it was handled or decided
 * @param evidence what the message was taken for; null without a message
 * @param epoch of the message, or of the machine as known when commands were sent
 * @param sequence of the message, or the newest known when commands were sent
 * @param fencingToken of the message; 0 for commands
 * @param count tasks in the message, or commands sent
 * @param waitedMs from the receipt of the message until it was handled
 */
record MachineEvent(
    long atMs,
    Kind kind,
    MessageClassifier.Evidence evidence,
    long epoch,
    long sequence,
    long fencingToken,
    int count,
    int waitedMs) {

  /** What happened. */
  enum Kind {
    /** A heartbeat was handled. */
    HEARTBEAT,
    /** An answer to direct commands was handled. */
    ANSWER,
    /** Direct commands got no answer. */
    NO_ANSWER,
    /** Direct commands were decided. */
    COMMANDS_SENT,
    /** Commands went with the response to a heartbeat. */
    COMMANDS_IN_RESPONSE
  }

  /** A message that waited so long was handled. */
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
        (int) Math.min(Integer.MAX_VALUE, waitedMs));
  }

  /** An event of this kind without a message. */
  static MachineEvent withoutMessage(Kind kind, Machine machine, int count, long nowMs) {
    return new MachineEvent(nowMs, kind, null, machine.epoch, machine.sequence, 0, count, 0);
  }

  /** For the log; {@code nowMs}: its age is told as of then. */
  String describe(long nowMs) {
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
        + " age_ms="
        + (nowMs - atMs)
        + " waited_ms="
        + waitedMs;
  }
}
