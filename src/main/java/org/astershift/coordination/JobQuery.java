package org.astershift.coordination;

/**
 * Decides the source of a controller's answer to a poll. Polls are linearizable: once any
 * controller has reported a job as accepted, done or cancelled, none reports an older state.
 * Therefore only a leader that certainly holds its lease answers from memory, since only a leader
 * ends jobs; all other controllers ask the leader, or read the store after the poll has arrived.
 */
public final class JobQuery {
  private JobQuery() {}

  /** The source of an answer. */
  public enum Source {
    /** The end in this node's cache, which is durable and final. */
    KNOWN_END,
    /** The memory of this node, which leads. */
    LEADER_MEMORY,
    /** The leader on another node. */
    REMOTE_LEADER,
    /** The store. */
    STORE
  }

  /**
   * What this controller knows of the job.
   *
   * @param ended the end of the job is known
   * @param leading this controller has a term
   * @param answerableFromMemory the term manages the job and has no write of its end in flight
   * @param leaseCertain no other term can have begun; checked after {@code answerableFromMemory}
   * @param mayForward the leader may be asked
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
