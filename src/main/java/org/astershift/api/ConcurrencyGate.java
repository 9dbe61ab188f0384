package org.astershift.api;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Limits how many requests are handled at a time. A request that waited longer than its timeout is
 * rejected: its client has given up, and a backlog of such requests would delay all later ones.
 */
final class ConcurrencyGate {
  private final Semaphore permits;

  /** When each waiting request came, nanoseconds of the steady clock; the oldest first. */
  private final Map<Object, Long> waitingSinceNs = new LinkedHashMap<>();

  private final long timeoutMs;

  ConcurrencyGate(int limit, long timeoutMs) {
    this.permits = new Semaphore(limit);
    this.timeoutMs = timeoutMs;
  }

  /** Waits for a permit; false if the timeout passed. After true, {@link #leave} must follow. */
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

  /** For how long the oldest waiting request has waited, milliseconds; 0 if none waits. */
  long oldestWaitMs() {
    synchronized (waitingSinceNs) {
      return waitingSinceNs.isEmpty()
          ? 0
          : (System.nanoTime() - waitingSinceNs.values().iterator().next()) / 1_000_000;
    }
  }

  /** Returns the permit. */
  void leave() {
    permits.release();
  }
}
