package org.astershift.scheduler;

/** Why a task exited, as its worker reports it. */
enum ExitReason {
  /** Completed. */
  DONE,
  /** The program or its machine failed. */
  ERROR,
  /** Start rejected: the machine lacks the resources. */
  NO_ROOM,
  /** Start rejected: the machine runs another attempt of the task. */
  IN_USE,
  /** Start rejected: the job is not known there. */
  UNKNOWN_JOB,
  /** The gang was not complete in time. */
  INCOMPLETE,
  /** Another task of the gang is gone. */
  PEERS,
  /** Stopped, or a reason that needs no reaction of its own. */
  OTHER;

  /** The reason with this word, {@link #OTHER} for null and for words not known here. */
  static ExitReason of(String word) {
    if (word == null) {
      return OTHER;
    }
    return switch (word) {
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
