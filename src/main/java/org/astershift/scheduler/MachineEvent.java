package org.astershift.scheduler;

/**
 * One thing that happened between this leader and a machine, kept for the log.
 *
 * @param atMs when it was handled or decided
 * @param epoch of the message, or of the machine as known when commands were sent
 * @param sequence of the message, or the newest known when commands were sent
 * @param fencingToken of the message; 0 for commands
 * @param count tasks in the message, or commands sent
 * @param waitedMs from the receipt of the message until it was handled
 */
record MachineEvent(
    long atMs, Kind kind, long epoch, long sequence, long fencingToken, int count, int waitedMs) {

  /** What happened, and what was concluded from it. */
  enum Kind {
    /** A heartbeat, taken as the machine's newest status. */
    HEARTBEAT_CURRENT,
    /** A heartbeat that a newer one had overtaken. */
    HEARTBEAT_STALE,
    /** A heartbeat that only shows that the machine is alive. */
    HEARTBEAT_LIVENESS_ONLY,
    /** A heartbeat that contradicts what is held on the machine: it was not answered. */
    HEARTBEAT_CONTRADICTORY,
    /** An answer to direct commands, taken as the machine's newest status. */
    ANSWER_CURRENT,
    /** An answer that a newer message had overtaken. */
    ANSWER_OVERTAKEN,
    /** An answer of a later incarnation. */
    ANSWER_RESTARTED,
    /** An answer that does not exclude a restart which was suspected. */
    ANSWER_MAYBE_RESTARTED,
    /** Direct commands got no answer. */
    NO_ANSWER,
    /** Direct commands were decided. */
    COMMANDS_SENT,
    /** Commands went with the response to a heartbeat. */
    COMMANDS_IN_RESPONSE
  }

  /** An event of this kind for a message that waited so long to be handled. */
  static MachineEvent ofMessage(Kind kind, Heartbeat message, long waitedMs, long nowMs) {
    return new MachineEvent(
        nowMs,
        kind,
        message.epoch(),
        message.sequence(),
        message.fencingToken(),
        message.tasks().size(),
        (int) Math.min(Integer.MAX_VALUE, waitedMs));
  }

  /** An event of this kind without a message. */
  static MachineEvent withoutMessage(Kind kind, Machine machine, int count, long nowMs) {
    return new MachineEvent(nowMs, kind, machine.epoch, machine.sequence, 0, count, 0);
  }

  /** For the log; {@code nowMs}: its age is told as of then. */
  String describe(long nowMs) {
    return kind
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
