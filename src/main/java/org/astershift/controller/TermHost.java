package org.astershift.controller;

/** What one leader term needs from the controller that runs it. Callable from any thread. */
interface TermHost {
  /** Steady-clock milliseconds before which no other controller can have become leader. */
  long leaseCertainUntilMs();

  /** Whether no other controller can have become leader since the term began. */
  boolean isLeaseCertain();

  /** Ends the term: another leader is certain, or the term cannot go on. */
  void stepDown(String reason);

  /** Asks for a scheduling pass soon. */
  void requestPass();
}
