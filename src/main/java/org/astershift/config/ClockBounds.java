package org.astershift.config;

/** Allowances for the differences between monotonic clocks of different machines. */
public final class ClockBounds {
  /** Largest drift between two monotonic clocks, as a share, as published. */
  public static final double CLOCK_DRIFT_SHARE = 0.0005;

  /** Added to every bound computed from another clock, for timer granularity, milliseconds. */
  public static final long CLOCK_MARGIN_MS = 300;

  private ClockBounds() {}
}
