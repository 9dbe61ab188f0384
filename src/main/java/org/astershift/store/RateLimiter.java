package org.astershift.store;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Spends this node's share of a limit per second that all nodes keep together. What users or starts
 * wait for is served in the order of asking, so that neither a burst of acceptances nor one of
 * records keeps the others waiting for ever; what can wait takes what these leave.
 */
public final class RateLimiter {
  /** Share of what may be spent at once that has to be left by what can wait. */
  private static final double DEFERRABLE_RESERVE_SHARE = 0.5;

  /** Seconds without spending once the state service says that the limit is reached. */
  static final double STORE_EXHAUSTED_PAUSE_S = 0.1;

  /** Uses of the limit. */
  public enum Urgency {
    /**
     * The leader's key and its lease, which lives for two seconds: before all that wait. In line
     * behind users' questions a renewal was refused for as long as there were more of them than the
     * limit allows, and whoever led next lost its lease, too.
     */
    LEASE,
    /** Somebody waits for it. */
    INTERACTIVE,
    /** Better soon than late. */
    BACKGROUND
  }

  private final double limitPerS;
  private double ratePerS;

  /** Most that may be spent at once. */
  private double burst;

  private double available;
  private long refilledNs;

  /** Askers that somebody waits for, the first to serve first. */
  private final Deque<Object> queue = new ArrayDeque<>();

  /** The whole limit is this node's until {@link #setShare} says otherwise. */
  public RateLimiter(double limitPerS) {
    this.limitPerS = limitPerS;
    this.refilledNs = System.nanoTime();
    setShare(1, 1);
    this.available = burst;
  }

  /**
   * Changes this node's share of the limit, and how many seconds of it may be spent at once: others
   * rarely spend at the same time, and the service says so when they do.
   */
  public synchronized void setShare(double share, double burstS) {
    refill();
    ratePerS = limitPerS * share;
    burst = Math.max(ratePerS * burstS, 1);
    available = Math.min(available, burst);
    notifyAll();
  }

  private void refill() {
    long nowNs = System.nanoTime();
    available = Math.min(burst, available + ratePerS * (nowNs - refilledNs) / 1e9);
    refilledNs = nowNs;
  }

  /** The limit proved to be spent, so what was thought left is not there: waits a little. */
  public synchronized void drain() {
    refill();
    available = Math.min(available, 1 - ratePerS * STORE_EXHAUSTED_PAUSE_S);
  }

  /**
   * Waits until {@code permits} may be spent; false, as soon as that is known, if it would take
   * longer than allowed.
   */
  public synchronized boolean acquire(Urgency urgency, int permits, long timeoutMs)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
    Object waiter = new Object();
    if (urgency == Urgency.INTERACTIVE) {
      queue.addLast(waiter);
    } else if (urgency == Urgency.LEASE) {
      queue.addFirst(waiter);
    }
    try {
      while (true) {
        refill();
        // More than one may go into debt: a batch must not wait behind all that asks for little.
        double required =
            urgency == Urgency.BACKGROUND
                ? Math.min(burst, permits + queue.size() + DEFERRABLE_RESERVE_SHARE * burst)
                : 1 + positionOf(waiter);
        if (available >= required) {
          available -= permits;
          return true;
        }
        long waitMs = Math.max(1, (long) Math.ceil((required - available) / ratePerS * 1000));
        if (System.nanoTime() + waitMs * 1_000_000 > deadlineNs) {
          return false;
        }
        wait(waitMs);
      }
    } finally {
      if (queue.remove(waiter)) {
        notifyAll();
      }
    }
  }

  private int positionOf(Object waiter) {
    int n = 0;
    for (Object other : queue) {
      if (other == waiter) {
        return n;
      }
      n++;
    }
    return n;
  }
}
