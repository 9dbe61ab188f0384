package org.astershift.scheduler;

import java.util.List;

/**
 * A worker's status of its machine, sent as a heartbeat or in answer to direct commands. Epoch and
 * sequence order the messages of one incarnation.
 *
 * @param fencingToken the highest token that the worker has seen
 * @param preemptionNoticeS seconds until the cloud takes the machine back; null if it does not
 * @param tasks all tasks on the machine, exited ones until the worker is told to forget them
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

  /** One task on the machine; {@code exitReason} is the worker's word, null if it gave none. */
  public record TaskStatus(
      String jobId, int index, long attemptNumber, TaskPhase phase, String exitReason) {

    /**
     * Whether no task may start under this attempt number any more: the task, and so all of its
     * gang, has run, or it gave up waiting for the others.
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

  /** States of a task on its machine. */
  public enum TaskPhase {
    /** Waits for its image. */
    FETCHING,
    /** Waits for the other tasks of its gang. */
    WAITING,
    /** It runs. */
    RUNNING,
    /** Saves a checkpoint after it was told to stop. */
    SAVING,
    /** It has ended, and stays in the heartbeats until it is forgotten. */
    EXITED
  }

  /** Whether it shows this attempt, in whatever phase. */
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

  /** Whether this message is newer than the one at the given position. */
  public boolean isNewerThan(long otherEpoch, long otherSequence) {
    return epoch > otherEpoch || (epoch == otherEpoch && sequence > otherSequence);
  }
}
