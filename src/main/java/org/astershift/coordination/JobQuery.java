package org.astershift.coordination;

/**
 * The source of a controller's answer to a poll. Polls are linearizable: once any controller has
 * reported a job accepted, done or cancelled, none reports an older state. So only a leader whose
 * lease is certainly held answers from memory, since only a leader ends jobs; all others ask it, or
 * read the store after the poll arrived.
 */
public final class JobQuery {
  private JobQuery() {}

  /** Where the answer comes from. */
  public enum Source {
    /** The end in this node's cache: it is durable and final. */
    KNOWN_END,
    /** This leader's memory. */
    LEADER_MEMORY,
    /** The leader on another node. */
    REMOTE_LEADER,
    /** The store. */
    STORE
  }

  /**
   * What this controller knows. {@code ended}: the job's end; {@code leading}: it has a term;
   * {@code answerableFromMemory}: the term manages the job and has no write of its end in flight;
   * {@code leaseCertain}: checked after that, no other leader can have begun; {@code mayForward}:
   * the leader may be asked.
   */
  public record View(
      boolean ended,
      boolean leading,
      boolean answerableFromMemory,
      boolean leaseCertain,
      boolean mayForward) {}

  /** The source for a poll in this situation. */
  public static Source source(View view) {
    if (view.ended()) {
      return Source.KNOWN_END;
    }
    if (view.leading()) {
      return view.answerableFromMemory() && view.leaseCertain()
          ? Source.LEADER_MEMORY
          : Source.STORE;
    }
    return view.mayForward() ? Source.REMOTE_LEADER : Source.STORE;
  }
}
