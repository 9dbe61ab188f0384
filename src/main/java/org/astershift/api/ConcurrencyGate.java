package org.astershift.api;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Limits how many requests are handled at a time. A request that waited longer than its timeout is
 * rejected: its client has given up, and a backlog of such requests would delay all later ones.
 */
final class ConcurrencyGate {
  private final Semaphore permits;
  private final long timeoutMs;

  ConcurrencyGate(int limit, long timeoutMs) {
    this.permits = new Semaphore(limit);
    this.timeoutMs = timeoutMs;
  }

  /** Waits for a permit; false if the timeout passed. After true, {@link #leave} must follow. */
  boolean tryEnter() throws InterruptedException {
    return permits.tryAcquire(timeoutMs, TimeUnit.MILLISECONDS);
  }

  /** Returns the permit. */
  void leave() {
    permits.release();
  }
}
