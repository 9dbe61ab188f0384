package org.astershift.peer;

/** What is said of a job: status 200 with its phase, 404, or 503 while it cannot be decided. */
public record JobAnswer(int status, String phase, int doneTasks, int runningTasks) {
  public static final JobAnswer UNKNOWN = new JobAnswer(404, null, 0, 0);
  public static final JobAnswer UNDECIDED = new JobAnswer(503, null, 0, 0);
}
