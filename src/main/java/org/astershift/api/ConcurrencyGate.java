package org.astershift.api;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Lets only a few do their work at a time. Whoever has waited for too long for its turn does not do
 * it any more: its asker has given up, and behind a backlog of such work nothing would ever be
 * answered in time again.
 */
final class ConcurrencyGate {
  private final Semaphore turns;
  private final long patienceMs;

  ConcurrencyGate(int atOnce, long patienceMs) {
    this.turns = new Semaphore(atOnce);
    this.patienceMs = patienceMs;
  }

  /** Waits for a turn; false if none came in time. After true, {@link #done} has to follow. */
  boolean take() throws InterruptedException {
    return turns.tryAcquire(patienceMs, TimeUnit.MILLISECONDS);
  }

  void done() {
    turns.release();
  }
}
