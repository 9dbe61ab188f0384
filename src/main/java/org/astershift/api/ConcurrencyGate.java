package org.astershift.api;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Lets only a few do their work at a time. Whoever has waited for too long for its turn does not do
 * it any more: its asker has given up, and behind a backlog of such work nothing would ever be
 * answered in time again.
 */
final class ConcurrencyGate {
  private final Semaphore permits;
  private final long timeoutMs;

  ConcurrencyGate(int limit, long patienceMs) {
    this.permits = new Semaphore(limit);
    this.timeoutMs = patienceMs;
  }

  /** Waits for a turn; false if none came in time. After true, {@link #leave} has to follow. */
  boolean tryEnter() throws InterruptedException {
    return permits.tryAcquire(timeoutMs, TimeUnit.MILLISECONDS);
  }

  void leave() {
    permits.release();
  }
}
