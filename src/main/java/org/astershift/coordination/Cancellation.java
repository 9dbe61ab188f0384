package org.astershift.coordination;

/**
 * What a controller does next about a user's wish to cancel a job. Nothing is confirmed that could
 * be outlived by a task: the end is written by the leader, under its key, and only when each
 * machine that may hold a task of the job answers to its token or is gone. From then on whoever
 * renews the lease of such a machine stops the task in the same answer, and if nobody does the
 * lease runs out. And nothing starts any more: a start that is on its way is seen to its end first.
 * What cannot be confirmed now is refused at once or within the patience, to be asked again.
 */
public final class Cancellation {
  private Cancellation() {}

  /** What to do next. */
  public enum Action {
    /** Tell the end that is known: it is on record and does not change any more. */
    REPLY_WITH_END,
    /** Ask the leader. */
    FORWARD,
    /** Not now: 503. */
    REJECT,
    /** Read the state service: the job is over, unknown, or not known here yet. */
    READ_STORE,
    /** Look again shortly: machines are being claimed, tasks stopped. */
    WAIT,
    /** Write that it is cancelled, and tell that once it is certain. */
    WRITE_CANCELLED,
    /** Write that it is done: all of its tasks were before they could be stopped. */
    WRITE_DONE;

    /** Whether the term keeps the job and works on its end: nothing of it may start any more. */
    public boolean needsTerm() {
      return this == WAIT || this == WRITE_CANCELLED || this == WRITE_DONE;
    }
  }

  /**
   * What is known here. {@code ended}: the job's end is known; {@code mayForward}: the leader may
   * be asked; {@code leading}: this controller has a term, which is {@code leaseCertain} as long as
   * no other can have begun; {@code managed}: the term looks after the job; {@code storeRead}: the
   * state service was asked about it; {@code fenced}: no machine that may hold a task of it can be
   * renewed by an older leader; {@code startInFlight}: a start of it is on its way; {@code
   * complete}: all of its tasks are done; {@code deadlinePassed}: the patience is used up.
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

  /** What to do next about a cancellation that stands so. */
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
