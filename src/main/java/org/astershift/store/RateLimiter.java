package org.astershift.store;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Token bucket that limits this controller to its share of a rate limit, in permits per second,
 * that all controllers share. Interactive requests are served first in, first out, so that a burst
 * of one kind does not starve the others; background requests get only the permits that interactive
 * ones leave. Thread-safe.
 */
public final class RateLimiter {
  /** Share of the burst that background requests must leave unused. */
  private static final double BACKGROUND_RESERVE_SHARE = 0.5;

  /**
   * Pause in requests after the store has rejected one because the shared limit was reached, in
   * seconds.
   */
  static final double LIMIT_REACHED_PAUSE_S = 0.1;

  /** How urgent a request is: decides which of the waiting requests is served next. */
  public enum Urgency {
    /**
     * A request for the leader key or its lease. Served before all waiting requests: during a
     * lasting overload, a renewal at the end of the queue would be too late, and every leader would
     * lose its lease.
     */
    LEASE,
    /** A request that a user or a task start waits for. */
    INTERACTIVE,
    /** A request that neither a user nor a task start waits for. */
    BACKGROUND
  }

  private final double limitPerS;
  private double ratePerS;

  /** Capacity of the bucket. */
  private double burstPermits;

  private double availablePermits;
  private long lastRefillNs;

  /**
   * Waiting callers in the order in which they are served, excluding those of background requests.
   */
  private final Deque<Object> waiters = new ArrayDeque<>();

  /** Creates a limiter that may use the whole limit until {@link #setShare} is called. */
  public RateLimiter(double limitPerS) {
    this.limitPerS = limitPerS;
    this.lastRefillNs = System.nanoTime();
    setShare(1, 1);
    this.availablePermits = burstPermits;
  }

  /**
   * Sets this controller's share of the limit, and its burst in seconds of that share. The shares
   * of all controllers may add up to more than the limit, since the store enforces the limit
   * itself.
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

  /**
   * Empties the bucket for {@link #LIMIT_REACHED_PAUSE_S}. To be called after the store has
   * rejected a request because the shared limit was reached.
   */
  public synchronized void drain() {
    refill();
    availablePermits = Math.min(availablePermits, 1 - ratePerS * LIMIT_REACHED_PAUSE_S);
  }

  /**
   * Acquires {@code permits} permits, waiting for them if necessary. Returns false without further
   * waiting as soon as it is known that this would take longer than {@code timeoutMs}.
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
        // A batch may overdraw the bucket: it must not have to wait until all of its permits are
        // available at once.
        double required =
            urgency == Urgency.BACKGROUND
                ? Math.min(
                    burstPermits,
                    permits + waiters.size() + BACKGROUND_RESERVE_SHARE * burstPermits)
                : 1 + queuePositionOf(waiter);
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

  private int queuePositionOf(Object waiter) {
    int position = 0;
    for (Object other : waiters) {
      if (other == waiter) {
        return position;
      }
      position++;
    }
    return position;
  }
}
