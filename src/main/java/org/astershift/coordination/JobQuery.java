package org.astershift.coordination;

/**
 * Decides the source of a controller's response to a poll. Polls are linearizable: once any
 * controller has reported a job as accepted, done or cancelled, none reports an older state.
 * Therefore only a leader that certainly holds its lease answers from memory, since only a leader
 * ends jobs; all other controllers ask the leader, or read the store after the poll has arrived.
 */
public final class JobQuery {
  private JobQuery() {}

  /** The source of a response. */
  public enum Source {
    /** The end in this controller's cache, which is durable and final. */
    KNOWN_END,
    /** The memory of this controller, which is the leader. */
    LEADER_MEMORY,
    /** The leader, which is another controller. */
    REMOTE_LEADER,
    /** The store. */
    STORE
  }

  /**
   * What this controller knows of the job.
   *
   * @param hasEnded whether the end of the job is known
   * @param isLeading whether this controller has a term
   * @param isAnswerableFromMemory whether the term manages the job and has no write of its end in
   *     flight
   * @param isLeaseCertain whether no other term can have begun; checked after {@code
   *     isAnswerableFromMemory}
   * @param mayForward whether the poll may be forwarded to the leader
   */
  public record View(
      boolean hasEnded,
      boolean isLeading,
      boolean isAnswerableFromMemory,
      boolean isLeaseCertain,
      boolean mayForward) {}

  /** Returns the source for a poll in this situation. */
  public static Source selectSource(View view) {
    if (view.hasEnded()) {
      return Source.KNOWN_END;
    }
    if (view.isLeading()) {
      return view.isAnswerableFromMemory() && view.isLeaseCertain()
          ? Source.LEADER_MEMORY
          : Source.STORE;
    }
    return view.mayForward() ? Source.REMOTE_LEADER : Source.STORE;
  }
}
