package org.astershift.peer;

/**
 * An answer between controllers, as one frame carries it: status 200, 404, or 503 while nothing can
 * be said. Of a job, {@code phase} and the counts of its tasks; other operations use the fields
 * their own way, which only their encoders and decoders know.
 */
public record PeerResponse(int status, String phase, int doneTasks, int runningTasks) {
  /** No job has this id. */
  public static final PeerResponse NOT_FOUND = new PeerResponse(404, null, 0, 0);

  /** Nothing can be said now; the request may be repeated. */
  public static final PeerResponse UNAVAILABLE = new PeerResponse(503, null, 0, 0);

  /** Phases of a job, as users see them. */
  private static final String QUEUED = "queued";

  private static final String RUNNING = "running";
  private static final String DONE = "done";
  private static final String CANCELLED = "withdrawn";

  /** A live job of which no progress is known here. */
  public static PeerResponse ofAccepted() {
    return new PeerResponse(200, QUEUED, 0, 0);
  }

  /** A live job with its progress. */
  public static PeerResponse ofLive(boolean running, int doneTasks, int runningTasks) {
    return new PeerResponse(200, running ? RUNNING : QUEUED, doneTasks, runningTasks);
  }

  /** A job that has ended. */
  public static PeerResponse ofEnded(boolean cancelled, int doneTasks) {
    return new PeerResponse(200, cancelled ? CANCELLED : DONE, doneTasks, 0);
  }

  /** Whether there is an answer other than that nothing is known or can be said. */
  public boolean isOk() {
    return status == 200;
  }

  /** Whether nothing can be said now. */
  public boolean isUnavailable() {
    return status == 503;
  }

  /** Whether the job was cancelled. */
  public boolean isCancelled() {
    return CANCELLED.equals(phase);
  }

  /** Whether the job is done or cancelled. */
  public boolean hasEnded() {
    return DONE.equals(phase) || isCancelled();
  }
}
