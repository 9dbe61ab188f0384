package org.astershift.controller;

/**
 * What a leader term needs from its controller: the state of the lease, and the end of the term.
 * Callable from any thread.
 */
interface TermContext {
  /** Returns the monotonic time, in milliseconds, before which no other controller can lead. */
  long leaseCertainUntilMs();

  /** Returns whether no other controller can have become leader since the term began. */
  boolean isLeaseCertain();

  /** Ends the term, since another controller leads or the term cannot go on. */
  void stepDown(String reason);

  /** Requests a scheduling pass. */
  void requestPass();
}
