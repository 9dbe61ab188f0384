package org.astershift.store;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Token bucket for this node's share of a limit per second that all nodes share. Interactive
 * requests are served first in, first out, so that no burst of one kind starves the others;
 * background requests get what these leave. Callable from any thread.
 */
public final class RateLimiter {
  /** Share of the burst that background requests must leave. */
  private static final double BACKGROUND_RESERVE_SHARE = 0.5;

  /** Seconds without requests after the store has answered that the limit is reached. */
  static final double LIMIT_REACHED_PAUSE_S = 0.1;

  /** Order of service. */
  public enum Urgency {
    /**
     * The leader's key and lease: before all waiting requests, since a renewal queued behind a
     * lasting overload would cost every leader its lease.
     */
    LEASE,
    /** A user or a task start waits for it. */
    INTERACTIVE,
    /** Nobody waits for it. */
    BACKGROUND
  }

  private final double limitPerS;
  private double ratePerS;

  /** Capacity of the bucket. */
  private double burstPermits;

  private double availablePermits;
  private long lastRefillNs;

  /** Waiting callers but those of background requests, in the order of service. */
  private final Deque<Object> waiters = new ArrayDeque<>();

  /** A limiter with the whole limit, until {@link #setShare}. */
  public RateLimiter(double limitPerS) {
    this.limitPerS = limitPerS;
    this.lastRefillNs = System.nanoTime();
    setShare(1, 1);
    this.availablePermits = burstPermits;
  }

  /**
   * Sets this node's share of the limit, and the burst as seconds of that share. Shares of all
   * nodes may add up to more than the limit, which the store enforces.
   */
  public synchronized void setShare(double share, double burstS) {
    refill();
    ratePerS = limitPerS * share;
    burstPermits = Math.max(ratePerS * burstS, 1);
    availablePermits = Math.min(availablePermits, burstPermits);
    notifyAll();
  }

  private void refill() {
    long nowNs = System.nanoTime();
    availablePermits =
        Math.min(burstPermits, availablePermits + ratePerS * (nowNs - lastRefillNs) / 1e9);
    lastRefillNs = nowNs;
  }

  /** The store answered that the limit is reached: empties the bucket for a moment. */
  public synchronized void drain() {
    refill();
    availablePermits = Math.min(availablePermits, 1 - ratePerS * LIMIT_REACHED_PAUSE_S);
  }

  /**
   * Waits until {@code permits} are available; false, as soon as that is known, if it would take
   * longer than {@code timeoutMs}.
   */
  public synchronized boolean acquire(Urgency urgency, int permits, long timeoutMs)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
    Object waiter = new Object();
    if (urgency == Urgency.INTERACTIVE) {
      waiters.addLast(waiter);
    } else if (urgency == Urgency.LEASE) {
      waiters.addFirst(waiter);
    }
    try {
      while (true) {
        refill();
        // A batch may overdraw: it must not wait until all of its permits are there at once.
        double required =
            urgency == Urgency.BACKGROUND
                ? Math.min(
                    burstPermits,
                    permits + waiters.size() + BACKGROUND_RESERVE_SHARE * burstPermits)
                : 1 + positionOf(waiter);
        if (availablePermits >= required) {
          availablePermits -= permits;
          return true;
        }
        long waitMs =
            Math.max(1, (long) Math.ceil((required - availablePermits) / ratePerS * 1000));
        if (System.nanoTime() + waitMs * 1_000_000 > deadlineNs) {
          return false;
        }
        wait(waitMs);
      }
    } finally {
      if (waiters.remove(waiter)) {
        notifyAll();
      }
    }
  }

  private int positionOf(Object waiter) {
    int count = 0;
    for (Object other : waiters) {
      if (other == waiter) {
        return count;
      }
      count++;
    }
    return count;
  }
}
