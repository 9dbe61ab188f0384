package org.astershift.controller;

/** The controller as seen by one leader term. Callable from any thread. */
interface TermContext {
  /** Returns the monotonic time, in milliseconds, before which no other controller can lead. */
  long leaseCertainUntilMs();

  /** Returns whether no other controller can have become leader since the term began. */
  boolean isLeaseCertain();

  /** Ends the term: another leader is certain, or the term cannot go on. */
  void stepDown(String reason);

  /** Requests a scheduling pass. */
  void requestPass();
}
