package org.astershift.config;

/** How often the log sums up. */
public final class LogIntervals {
  /** Milliseconds between summaries in the log. */
  public static final long SUMMARY_INTERVAL_MS = 10_000;

  private LogIntervals() {}
}
