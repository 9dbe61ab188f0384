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
    END,
    /** The leader's memory. */
    MEMORY,
    /** The leader, another controller. */
    LEADER,
    /** The state service. */
    RECORD
  }

  /**
   * What is known here. {@code over}: the job's end is known; {@code leads}: this controller has a
   * term; {@code live}: the term looks after the job and has no end of it under way; {@code sole}:
   * looked at after that, no other controller can have begun to lead; {@code forward}: the leader
   * may be asked.
   */
  public record View(boolean over, boolean leads, boolean live, boolean sole, boolean forward) {}

  /** Where the answer to a question about a job comes from. */
  public static Source source(View v) {
    if (v.over()) {
      return Source.END;
    }
    if (v.leads()) {
      return v.live() && v.sole() ? Source.MEMORY : Source.RECORD;
    }
    return v.forward() ? Source.LEADER : Source.RECORD;
  }
}
