package org.astershift.config;

/** Intervals of periodic log lines. */
public final class LogIntervals {
  /** Interval between summaries in the log, in milliseconds. */
  public static final long SUMMARY_INTERVAL_MS = 10_000;

  private LogIntervals() {}
}
