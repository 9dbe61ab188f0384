package org.astershift.controller;

/**
 * What a leader term needs from its controller: the state of the lease, and the end of the term.
 * Callable from any thread.
 */
interface TermContext {
  /** Returns the monotonic time, in milliseconds, before which no other controller can lead. */
  long leaseCertainUntilMs();

  /** Returns how many heartbeats may wait for their responses at the same time. */
  int maxDeferredResponses();

  /** Ends the term, since another controller leads or the term cannot go on. */
  void stepDown(String reason);

  /** Requests a scheduling pass. */
  void requestPass();
}
