package org.astershift.coordination;

/**
 * Decides the next step of a user's cancellation. A cancellation is confirmed only when no task of
 * the job can outlive it. The leader writes the job's end on the condition that it still holds the
 * leader key, and only once each machine that may hold a task of the job is fenced by its token or
 * gone, and no start is in flight. From then on any leader that renews such a machine's lease stops
 * the task in the same response, and without renewal the lease expires. A cancellation that cannot
 * be confirmed by the deadline is answered with 503, so that the user repeats it.
 */
public final class Cancellation {
  private Cancellation() {}

  /** The next step. */
  public enum Action {
    /** Respond with the known end, which is durable and final. */
    REPLY_WITH_END,
    /** Forward the cancellation to the leader. */
    FORWARD,
    /** Respond with 503. */
    REJECT,
    /** Read the store: the job has ended, is unknown, or is not loaded by this leader yet. */
    READ_STORE,
    /** Check again shortly: machines are not fenced yet, or starts are in flight. */
    WAIT,
    /** Write the job's end as cancelled, and confirm it once it is durable. */
    WRITE_CANCELLED,
    /** Write the job's end as done: all tasks completed before they could be stopped. */
    WRITE_DONE;

    /** Returns whether the term prepares or writes the end, so that no task may start. */
    public boolean needsTerm() {
      return this == WAIT || this == WRITE_CANCELLED || this == WRITE_DONE;
    }
  }

  /**
   * What this controller knows of the job and its cancellation.
   *
   * @param hasEnded whether the end of the job is known
   * @param mayForward whether the request may be forwarded to the leader
   * @param isLeading whether this controller has a term
   * @param isLeaseCertain whether no other term can have begun since this controller's term did
   * @param isManaged whether the term manages the job
   * @param wasStoreRead whether the store was read for the job
   * @param isFenced whether an older leader cannot renew the lease of any machine that may hold a
   *     task of the job
   * @param hasStartInFlight whether a start of a task of the job is in flight or unconfirmed
   * @param isComplete whether all tasks of the job are done
   * @param hasDeadlinePassed whether the user's request must be answered now
   */
  public record View(
      boolean hasEnded,
      boolean mayForward,
      boolean isLeading,
      boolean isLeaseCertain,
      boolean isManaged,
      boolean wasStoreRead,
      boolean isFenced,
      boolean hasStartInFlight,
      boolean isComplete,
      boolean hasDeadlinePassed) {}

  /** Returns the next step in this situation. */
  public static Action nextAction(View view) {
    if (view.hasEnded()) {
      return Action.REPLY_WITH_END;
    }
    if (!view.isLeading()) {
      return view.mayForward() ? Action.FORWARD : Action.REJECT;
    }
    if (!view.isLeaseCertain() || view.hasDeadlinePassed()) {
      return Action.REJECT;
    }
    if (!view.isManaged()) {
      return view.wasStoreRead() ? Action.REJECT : Action.READ_STORE;
    }
    if (view.isComplete()) {
      return Action.WRITE_DONE;
    }
    return view.isFenced() && !view.hasStartInFlight() ? Action.WRITE_CANCELLED : Action.WAIT;
  }
}
