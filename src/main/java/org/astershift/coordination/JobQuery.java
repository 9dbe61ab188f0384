package org.astershift.coordination;

/**
 * Where a controller takes the answer to a user's question about a job from. Once any controller
 * has told that a job was accepted, is done or cancelled, none tells anything older, whatever its
 * memory holds: only a leader that is certainly the only one answers from memory, since only a
 * leader ends jobs; everybody else asks it, or reads what is on record after the question came.
 */
public final class JobQuery {
  private JobQuery() {}

  /** Where the answer comes from. */
  public enum Source {
    /** The end that is known here: it is on record and does not change any more. */
    KNOWN_END,
    /** The leader's memory. */
    LEADER_MEMORY,
    /** The leader, another controller. */
    REMOTE_LEADER,
    /** The state service. */
    STORE
  }

  /**
   * What is known here. {@code ended}: the job's end is known; {@code leading}: this controller has
   * a term; {@code answerableFromMemory}: the term looks after the job and has no end of it under
   * way; {@code leaseCertain}: looked at after that, no other controller can have begun to lead;
   * {@code mayForward}: the leader may be asked.
   */
  public record View(
      boolean ended,
      boolean leading,
      boolean answerableFromMemory,
      boolean leaseCertain,
      boolean mayForward) {}

  /** Where the answer to a question about a job comes from. */
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
