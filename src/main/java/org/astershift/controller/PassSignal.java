package org.astershift.controller;

/** Wakes the pass loop. Requests that arrive during a pass are served by the next pass. */
final class PassSignal {
  private boolean requested;

  synchronized void request() {
    requested = true;
    notifyAll();
  }

  /** Waits until a pass is requested or the timeout has elapsed, and clears the request. */
  synchronized void await(long timeoutMs) throws InterruptedException {
    if (!requested) {
      wait(timeoutMs);
    }
    requested = false;
  }
}
