package org.astershift.scheduler;

import java.util.List;

/** What a worker said of its machine. The larger (session, seq) is the newer one. */
public record Heartbeat(
    String machine,
    String addr,
    String type,
    String zone,
    boolean spot,
    long session,
    long seq,
    long token,
    Double noticeS,
    List<TaskStatus> tasks) {

  /** One task on the machine. */
  public record TaskStatus(String job, int index, long attempt, TaskPhase phase, String cause) {

    /**
     * Whether this shows that the attempt can take no more tasks: the task, and so all of its gang,
     * has run, or it gave up waiting for the others.
     */
    boolean begun() {
      return phase == TaskPhase.RUNNING
          || phase == TaskPhase.SAVING
          || "peers".equals(cause)
          || "incomplete".equals(cause)
          || "done".equals(cause);
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
  boolean shows(TaskAttempt.Key key) {
    for (TaskStatus item : tasks) {
      if (item.index() == key.index()
          && item.attempt() == key.attempt()
          && item.job().equals(key.job())) {
        return true;
      }
    }
    return false;
  }

  /** Whether this report is newer than the given position. */
  public boolean newerThan(long otherSession, long otherSeq) {
    return session > otherSession || (session == otherSession && seq > otherSeq);
  }
}
