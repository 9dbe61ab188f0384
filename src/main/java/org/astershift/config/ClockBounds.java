package org.astershift.config;

/** How far two steady clocks may differ: every bound computed from another clock allows for it. */
public final class ClockBounds {
  /** Largest drift between two steady clocks, as a share: the protocol promises 0.05%. */
  public static final double CLOCK_DRIFT_SHARE = 0.0005;

  /** Milliseconds on top of every bound computed from another clock: timers fire in steps. */
  public static final long CLOCK_MARGIN_MS = 300;

  private ClockBounds() {}
}
