package org.astershift.emulator;

/** Waits for what must come, however slow the machine is, but not for ever. */
public final class Await {
  /**
   * Far longer than anything takes on a machine that several test runs share, and short enough that
   * a run ends with a verdict.
   */
  private static final long PATIENCE_S = 100;

  private static final long LOOK_MS = 20;

  private Await() {}

  /** A condition that is looked at until it holds. */
  public interface Condition {
    boolean holds() throws Exception;
  }

  /** Looks until the condition holds; {@code what} is said of one that does not. */
  public static void until(String what, Condition condition) throws Exception {
    long began = System.nanoTime();
    Object pause = new Object();
    while (!condition.holds()) {
      if (System.nanoTime() - began > PATIENCE_S * 1_000_000_000) {
        throw new AssertionError("waited " + PATIENCE_S + " s for: " + what);
      }
      synchronized (pause) {
        pause.wait(LOOK_MS);
      }
    }
  }
}
