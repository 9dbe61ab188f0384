package org.astershift.scheduler;

import java.util.List;

/**
 * Status of a machine, sent by its worker as a heartbeat or as the answer to direct commands. Epoch
 * and sequence number order the messages of one incarnation.
 *
 * @param fencingToken the highest fencing token that the worker has seen
 * @param preemptionNoticeS seconds until the cloud reclaims the machine; null without a notice
 * @param tasks all tasks on the machine, including exited ones until the worker is told to forget
 *     them
 */
public record Heartbeat(
    String machineName,
    String address,
    String typeName,
    String zone,
    boolean spot,
    long epoch,
    long sequence,
    long fencingToken,
    Double preemptionNoticeS,
    List<TaskStatus> tasks) {

  /**
   * Status of one task on the machine.
   *
   * @param exitReason the exit reason as the worker sent it; null if it sent none
   */
  public record TaskStatus(
      String jobId, int index, long attemptNumber, TaskPhase phase, String exitReason) {

    /**
     * Returns whether no further task may start under this attempt number: either this task, and
     * therefore its whole gang, has run, or it stopped waiting for the rest of the gang.
     */
    boolean closesAttempt() {
      if (phase == TaskPhase.RUNNING || phase == TaskPhase.SAVING) {
        return true;
      }
      return switch (ExitReason.of(exitReason)) {
        case PEERS, INCOMPLETE, DONE -> true;
        case ERROR, NO_ROOM, IN_USE, UNKNOWN_JOB, OTHER -> false;
      };
    }
  }

  /** Phases of a task on its machine. */
  public enum TaskPhase {
    /** Waiting for its image. */
    FETCHING,
    /** Waiting for the other tasks of its gang. */
    WAITING,
    /** Running. */
    RUNNING,
    /** Saving a checkpoint after a stop command. */
    SAVING,
    /** Ended; reported in heartbeats until the worker is told to forget the task. */
    EXITED
  }

  /** Returns whether this message reports the attempt, in any phase. */
  boolean reportsAttempt(TaskAttempt.Key key) {
    for (TaskStatus status : tasks) {
      if (status.index() == key.index()
          && status.attemptNumber() == key.attemptNumber()
          && status.jobId().equals(key.jobId())) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether this message is newer than one with the given epoch and sequence number. */
  public boolean isNewerThan(long otherEpoch, long otherSequence) {
    return epoch > otherEpoch || (epoch == otherEpoch && sequence > otherSequence);
  }
}
