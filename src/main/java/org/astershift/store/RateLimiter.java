package org.astershift.store;

import java.util.ArrayDeque;
import java.util.Deque;
import org.astershift.config.Constants;

/**
 * Spends this node's share of a limit per second that all nodes keep together. What users or starts
 * wait for is served in the order of asking, so that neither a burst of acceptances nor one of
 * records keeps the others waiting for ever; what can wait takes what these leave.
 */
public final class RateLimiter {
  /** Uses of the limit. */
  public enum Urgency {
    /**
     * The leader's key and its lease, which lives for two seconds: before all that wait. In line
     * behind users' questions a renewal was refused for as long as there were more of them than the
     * limit allows, and whoever led next lost its lease, too.
     */
    VITAL,
    /** Somebody waits for it. */
    URGENT,
    /** Better soon than late. */
    LAZY
  }

  private final double limit;
  private double rate;

  /** Most that may be spent at once. */
  private double depth;

  private double have;
  private long lastNs;

  /** Askers that somebody waits for, the first to serve first. */
  private final Deque<Object> line = new ArrayDeque<>();

  /** The whole limit is this node's until {@link #share} says otherwise. */
  public RateLimiter(double limit) {
    this.limit = limit;
    this.lastNs = System.nanoTime();
    share(1, 1);
    this.have = depth;
  }

  /**
   * Changes this node's share of the limit, and how many seconds of it may be spent at once: others
   * rarely spend at the same time, and the service says so when they do.
   */
  public synchronized void share(double share, double depthS) {
    refill();
    rate = limit * share;
    depth = Math.max(rate * depthS, 1);
    have = Math.min(have, depth);
    notifyAll();
  }

  private void refill() {
    long now = System.nanoTime();
    have = Math.min(depth, have + rate * (now - lastNs) / 1e9);
    lastNs = now;
  }

  /** The limit proved to be spent, so what was thought left is not there: waits a little. */
  public synchronized void exhausted() {
    refill();
    have = Math.min(have, 1 - rate * Constants.EXHAUSTED_S);
  }

  /**
   * Waits until {@code n} may be spent; false, as soon as that is known, if it would take longer
   * than allowed.
   */
  public synchronized boolean acquire(Urgency use, int n, long timeoutMs)
      throws InterruptedException {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000;
    Object me = new Object();
    if (use == Urgency.URGENT) {
      line.addLast(me);
    } else if (use == Urgency.VITAL) {
      line.addFirst(me);
    }
    try {
      while (true) {
        refill();
        // More than one may go into debt: a batch must not wait behind all that asks for little.
        double need =
            use == Urgency.LAZY
                ? Math.min(depth, n + line.size() + Constants.LAZY_LEAVES * depth)
                : 1 + ahead(me);
        if (have >= need) {
          have -= n;
          return true;
        }
        long waitMs = Math.max(1, (long) Math.ceil((need - have) / rate * 1000));
        if (System.nanoTime() + waitMs * 1_000_000 > deadline) {
          return false;
        }
        wait(waitMs);
      }
    } finally {
      if (line.remove(me)) {
        notifyAll();
      }
    }
  }

  private int ahead(Object me) {
    int n = 0;
    for (Object other : line) {
      if (other == me) {
        return n;
      }
      n++;
    }
    return n;
  }
}
