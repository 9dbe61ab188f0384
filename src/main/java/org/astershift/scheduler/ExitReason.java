package org.astershift.scheduler;

/** Why a task exited, as reported by its worker. */
enum ExitReason {
  /** The task completed. */
  DONE,
  /** The program or its machine failed. */
  ERROR,
  /** The start was rejected because the machine lacks the resources. */
  NO_ROOM,
  /** The start was rejected because the machine runs another attempt of the task. */
  IN_USE,
  /** The start was rejected because the machine does not know the job. */
  UNKNOWN_JOB,
  /** The gang was not complete in time. */
  INCOMPLETE,
  /** Another task of the gang is gone. */
  PEERS,
  /** The task was stopped, or exited for a reason that is not handled separately. */
  OTHER;

  /** Returns the reason with this wire name; {@link #OTHER} for null and for unknown names. */
  static ExitReason of(String wireName) {
    if (wireName == null) {
      return OTHER;
    }
    return switch (wireName) {
      case "done" -> DONE;
      case "error" -> ERROR;
      case "no_room" -> NO_ROOM;
      case "in_use" -> IN_USE;
      case "unknown" -> UNKNOWN_JOB;
      case "incomplete" -> INCOMPLETE;
      case "peers" -> PEERS;
      default -> OTHER;
    };
  }
}
