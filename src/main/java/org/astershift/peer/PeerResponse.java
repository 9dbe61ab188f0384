package org.astershift.peer;

/**
 * A response between controllers, sent as one frame. The status is 200, 404, or 503 while the
 * request cannot be answered. For operations on a job, {@code phase} and the counts of tasks
 * describe that job; other operations use the fields in their own way, which only their encoders
 * and decoders know.
 */
public record PeerResponse(int status, String phase, int doneTasks, int runningTasks) {
  /** Response to a request with a job id that no job has. */
  public static final PeerResponse NOT_FOUND = new PeerResponse(404, null, 0, 0);

  /** Response to a request that cannot be answered at present; the sender may repeat it. */
  public static final PeerResponse UNAVAILABLE = new PeerResponse(503, null, 0, 0);

  /** Phases of a job, as users see them. */
  private static final String QUEUED = "queued";

  private static final String RUNNING = "running";
  private static final String DONE = "done";
  private static final String CANCELLED = "withdrawn";

  /** Returns the response for a live job whose progress this controller does not know. */
  public static PeerResponse ofAccepted() {
    return new PeerResponse(200, QUEUED, 0, 0);
  }

  /** Returns the response for a live job with its progress. */
  public static PeerResponse ofLive(boolean running, int doneTasks, int runningTasks) {
    return new PeerResponse(200, running ? RUNNING : QUEUED, doneTasks, runningTasks);
  }

  /** Returns the response for a job that is done or was cancelled. */
  public static PeerResponse ofEnded(boolean cancelled, int doneTasks) {
    return new PeerResponse(200, cancelled ? CANCELLED : DONE, doneTasks, 0);
  }

  /**
   * Returns whether the request was answered, with neither {@link #NOT_FOUND} nor {@link
   * #UNAVAILABLE}.
   */
  public boolean isOk() {
    return status == 200;
  }

  /** Returns whether the request cannot be answered at present. */
  public boolean isUnavailable() {
    return status == 503;
  }

  /** Returns whether the job was cancelled. */
  public boolean isCancelled() {
    return CANCELLED.equals(phase);
  }

  /** Returns whether the job is done or was cancelled. */
  public boolean hasEnded() {
    return DONE.equals(phase) || isCancelled();
  }
}
