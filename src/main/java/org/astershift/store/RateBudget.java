package org.astershift.store;

import org.astershift.config.Constants;

/**
 * Spends this node's share of a limit per second that all nodes keep together. Less urgent uses
 * have to leave a part of the allowance for more urgent ones, so that a burst of progress never
 * delays an acceptance.
 */
public final class RateBudget {
  /** Uses, the most urgent first. */
  public enum Use {
    ACCEPT,
    END,
    OPEN,
    ROSTER,
    PROGRESS;

    /** Share of a second's allowance that has to stay for the more urgent uses. */
    double reserve() {
      return ordinal() * 0.12;
    }
  }

  private final double limit;
  private double rate;

  /** Most that may be spent at once. */
  private double depth;

  private double have;
  private long lastNs;

  /** The whole limit is this node's until {@link #share} says otherwise. */
  public RateBudget(double limit) {
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

  /** Waits until {@code n} may be spent; false if that would take longer than allowed. */
  public boolean acquire(Use use, int n, long timeoutMs) throws InterruptedException {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000;
    while (true) {
      long waitMs;
      synchronized (this) {
        refill();
        // A spend larger than the whole allowance may go into debt once the allowance is full.
        double need = Math.min(n + use.reserve() * depth, depth);
        if (have >= need) {
          have -= n;
          return true;
        }
        waitMs = Math.max(1, (long) Math.ceil((need - have) / rate * 1000));
      }
      if (System.nanoTime() + waitMs * 1_000_000 > deadline) {
        return false;
      }
      Thread.sleep(waitMs);
    }
  }
}
