package org.astershift.store;

/**
 * Spends a limit per second that all nodes share. Less urgent uses have to leave a part of the
 * allowance for more urgent ones, so that a burst of progress never delays an acceptance.
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
  private double have;
  private long lastNs;

  public RateBudget(double limit, double share) {
    this.limit = limit;
    this.rate = limit * share;
    this.have = rate;
    this.lastNs = System.nanoTime();
  }

  /** Changes this node's share of the limit. */
  public synchronized void share(double share) {
    refill();
    rate = limit * share;
    have = Math.min(have, Math.max(rate, 1));
  }

  private void refill() {
    long now = System.nanoTime();
    have = Math.min(Math.max(rate, 1), have + rate * (now - lastNs) / 1e9);
    lastNs = now;
  }

  /** Waits until {@code n} may be spent; false if that would take longer than allowed. */
  public boolean acquire(Use use, int n, long timeoutMs) throws InterruptedException {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000;
    while (true) {
      long waitMs;
      synchronized (this) {
        refill();
        // A spend larger than the whole allowance may go into debt once the allowance is full.
        double need = Math.min(n + use.reserve() * rate, Math.max(rate, 1));
        if (have >= need) {
          have -= n;
          return true;
        }
        waitMs = Math.max(1, (long) ((need - have) / rate * 1000));
      }
      if (System.nanoTime() + waitMs * 1_000_000 > deadline) {
        return false;
      }
      Thread.sleep(waitMs);
    }
  }
}
