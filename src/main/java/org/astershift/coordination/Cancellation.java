package org.astershift.coordination;

/**
 * The next step of a user's cancellation. It is confirmed only when no task can outlive it: the
 * leader writes the end under its key, and only once each machine that may hold a task of the job
 * is fenced by its token or gone, and no start is in flight. From then on whoever renews such a
 * machine's lease stops the task in the same response, and without renewal the lease expires. What
 * cannot be confirmed by the deadline is answered with 503, to be repeated.
 */
public final class Cancellation {
  private Cancellation() {}

  /** What to do next. */
  public enum Action {
    /** Answer with the known end: it is durable and final. */
    REPLY_WITH_END,
    /** Forward to the leader. */
    FORWARD,
    /** Answer 503. */
    REJECT,
    /** Read the store: the job has ended, is unknown, or is not loaded here yet. */
    READ_STORE,
    /** Check again shortly: machines are being fenced, starts settled. */
    WAIT,
    /** Write the end as cancelled, and confirm it once it is durable. */
    WRITE_CANCELLED,
    /** Write the end as done: all tasks completed before they could be stopped. */
    WRITE_DONE;

    /** Whether the term works on the job's end, so that none of its tasks may start. */
    public boolean needsTerm() {
      return this == WAIT || this == WRITE_CANCELLED || this == WRITE_DONE;
    }
  }

  /**
   * What this controller knows. {@code ended}: the job's end; {@code mayForward}: the leader may be
   * asked; {@code leading}: this controller has a term, which is {@code leaseCertain} while no
   * other can have begun; {@code managed}: the term manages the job; {@code storeRead}: the store
   * was read for it; {@code fenced}: no machine that may hold a task of it can be renewed by an
   * older leader; {@code startInFlight}: a start of it is being sent; {@code complete}: all of its
   * tasks are done; {@code deadlinePassed}: the user's request must be answered.
   */
  public record View(
      boolean ended,
      boolean mayForward,
      boolean leading,
      boolean leaseCertain,
      boolean managed,
      boolean storeRead,
      boolean fenced,
      boolean startInFlight,
      boolean complete,
      boolean deadlinePassed) {}

  /** The next step in this situation. */
  public static Action next(View view) {
    if (view.ended()) {
      return Action.REPLY_WITH_END;
    }
    if (!view.leading()) {
      return view.mayForward() ? Action.FORWARD : Action.REJECT;
    }
    if (!view.leaseCertain() || view.deadlinePassed()) {
      return Action.REJECT;
    }
    if (!view.managed()) {
      return view.storeRead() ? Action.REJECT : Action.READ_STORE;
    }
    if (view.complete()) {
      return Action.WRITE_DONE;
    }
    return view.fenced() && !view.startInFlight() ? Action.WRITE_CANCELLED : Action.WAIT;
  }
}
