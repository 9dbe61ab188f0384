package org.astershift.scheduler;

/**
 * One incarnation of a machine: from a start of its worker until the next start under the same
 * name. The protocol has no identifier for incarnations, and epochs and sequence numbers start
 * again with each, so the evidence about each incarnation is kept in a separate object. All times
 * are milliseconds of the monotonic clock.
 */
final class MachineIncarnation {
  private static final long NEVER_MS = Long.MAX_VALUE;

  private long firstMessageMs = NEVER_MS;
  private long lastConfirmedMs = NEVER_MS;

  /** Records that a message of this incarnation arrived. */
  void onMessage(long nowMs) {
    firstMessageMs = Math.min(firstMessageMs, nowMs);
  }

  /** Records that this incarnation certainly existed at {@code atMs} or later. */
  void confirmExistence(long atMs) {
    lastConfirmedMs = lastConfirmedMs == NEVER_MS ? atMs : Math.max(lastConfirmedMs, atMs);
  }

  /** Returns whether any message of this incarnation has arrived. */
  boolean isKnown() {
    return firstMessageMs != NEVER_MS;
  }

  /** Returns whether a message of this incarnation had arrived by {@code timeMs}. */
  boolean hadMessageBy(long timeMs) {
    return firstMessageMs <= timeMs;
  }

  /** Returns whether a time is known at or after which this incarnation existed. */
  boolean isExistenceConfirmed() {
    return lastConfirmedMs != NEVER_MS;
  }

  /**
   * Returns the latest known time at or after which this incarnation certainly existed, or {@link
   * #NEVER_MS} if none is known.
   */
  long lastConfirmedMs() {
    return lastConfirmedMs;
  }
}
