package org.astershift.emulator;

/** Waits for conditions, with a timeout that only a failing test reaches. */
public final class Await {
  /**
   * Timeout in seconds: long enough for a machine shared by several test runs, short enough that a
   * failing test still reports its failure.
   */
  private static final long TIMEOUT_S = 100;

  private static final long POLL_INTERVAL_MS = 20;

  private Await() {}

  /** A condition that is polled until it holds. */
  public interface Condition {
    boolean holds() throws Exception;
  }

  /**
   * Polls until the condition holds. After the timeout throws an AssertionError that names {@code
   * what}.
   */
  public static void until(String what, Condition condition) throws Exception {
    long startNs = System.nanoTime();
    Object pause = new Object();
    while (!condition.holds()) {
      if (System.nanoTime() - startNs > TIMEOUT_S * 1_000_000_000) {
        throw new AssertionError("waited " + TIMEOUT_S + " s for: " + what);
      }
      synchronized (pause) {
        pause.wait(POLL_INTERVAL_MS);
      }
    }
  }
}
