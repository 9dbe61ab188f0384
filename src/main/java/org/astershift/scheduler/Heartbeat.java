package org.astershift.scheduler;

import java.util.List;

/** What a worker said of its machine. The larger (session, seq) is the newer one. */
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

  /** One task on the machine. */
  public record TaskStatus(
      String jobId, int index, long attemptNumber, TaskPhase phase, String exitReason) {

    /**
     * Whether this shows that the attempt can take no more tasks: the task, and so all of its gang,
     * has run, or it gave up waiting for the others.
     */
    boolean closesAttempt() {
      return phase == TaskPhase.RUNNING
          || phase == TaskPhase.SAVING
          || "peers".equals(exitReason)
          || "incomplete".equals(exitReason)
          || "done".equals(exitReason);
    }
  }

  /** States of a task on its machine. */
  public enum TaskPhase {
    FETCHING,
    WAITING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Whether it names this attempt, in whatever state. */
  boolean showsAttempt(TaskAttempt.Key key) {
    for (TaskStatus status : tasks) {
      if (status.index() == key.index()
          && status.attemptNumber() == key.attemptNumber()
          && status.jobId().equals(key.jobId())) {
        return true;
      }
    }
    return false;
  }

  /** Whether this report is newer than the given position. */
  public boolean newerThan(long otherEpoch, long otherSequence) {
    return epoch > otherEpoch || (epoch == otherEpoch && sequence > otherSequence);
  }
}
