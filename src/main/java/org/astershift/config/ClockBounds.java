package org.astershift.config;

/** Allowances for the differences between the monotonic clocks of different machines. */
public final class ClockBounds {
  /**
   * Maximum drift between two monotonic clocks, as a share of the elapsed time; the published
   * bound.
   */
  public static final double CLOCK_DRIFT_SHARE = 0.0005;

  /**
   * Margin for timer granularity in every bound that is computed from another machine's clock, in
   * milliseconds.
   */
  public static final long CLOCK_MARGIN_MS = 300;

  private ClockBounds() {}
}
