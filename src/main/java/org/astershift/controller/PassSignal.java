package org.astershift.controller;

/** Wakes the pass loop. Requests that arrive while a pass runs are served by the next one. */
final class PassSignal {
  private boolean requested;

  synchronized void request() {
    requested = true;
    notifyAll();
  }

  /** Waits for a request, or for this many milliseconds, and clears the request. */
  synchronized void await(long timeoutMs) throws InterruptedException {
    if (!requested) {
      wait(timeoutMs);
    }
    requested = false;
  }
}
