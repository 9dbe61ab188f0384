package org.astershift.api;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Limits how many requests are handled at the same time. A request that has waited longer than the
 * timeout is rejected: its client has given up, and a backlog of such requests would delay all
 * later ones.
 */
final class ConcurrencyGate {
  private final Semaphore permits;

  /**
   * Arrival time of each waiting request, in nanoseconds of the monotonic clock; the oldest first.
   */
  private final Map<Object, Long> waitingSinceNs = new LinkedHashMap<>();

  private final long timeoutMs;

  ConcurrencyGate(int limit, long timeoutMs) {
    this.permits = new Semaphore(limit);
    this.timeoutMs = timeoutMs;
  }

  /**
   * Waits for a permit; returns false if the timeout passes first. After true, the caller must call
   * {@link #leave}.
   */
  boolean tryEnter() throws InterruptedException {
    if (permits.tryAcquire()) {
      return true;
    }
    Object waiting = new Object();
    synchronized (waitingSinceNs) {
      waitingSinceNs.put(waiting, System.nanoTime());
    }
    try {
      return permits.tryAcquire(timeoutMs, TimeUnit.MILLISECONDS);
    } finally {
      synchronized (waitingSinceNs) {
        waitingSinceNs.remove(waiting);
      }
    }
  }

  /**
   * Returns the time that the oldest waiting request has waited, in milliseconds; 0 if none waits.
   */
  long oldestWaitMs() {
    synchronized (waitingSinceNs) {
      return waitingSinceNs.isEmpty()
          ? 0
          : (System.nanoTime() - waitingSinceNs.values().iterator().next()) / 1_000_000;
    }
  }

  /** Releases the permit that {@link #tryEnter} acquired. */
  void leave() {
    permits.release();
  }
}
