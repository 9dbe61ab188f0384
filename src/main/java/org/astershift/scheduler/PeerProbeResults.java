package org.astershift.scheduler;

import org.astershift.config.Constants;

/**
 * What the other controllers found when they were asked to reach one machine. A finding counts only
 * while the machine says nothing to the leader, and for a limited time.
 */
final class PeerProbeResults {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** When they were last asked and one of them had an answer. */
  private long reachedMs = NEVER;

  /** When they were last asked and all that could tell failed. */
  private long unreachedMs = NEVER;

  /** The same for the first time since the machine said anything or was reached. */
  private long firstUnreachedMs = NEVER;

  /** When they were last asked and none of them could tell. */
  private long untoldMs = NEVER;

  /** One of them had an answer. */
  void reached(long askedMs) {
    reachedMs = askedMs;
    unreachedMs = NEVER;
  }

  /** All that could tell failed; {@code saidMs}: when the machine last said anything. */
  void unreached(long askedMs, long saidMs) {
    if (unreachedMs <= saidMs) {
      firstUnreachedMs = askedMs;
    }
    unreachedMs = askedMs;
  }

  /** None of them could tell. */
  void untold(long askedMs) {
    untoldMs = askedMs;
  }

  /** Whether it counts that one of them reached it; {@code saidMs}: when it last said anything. */
  boolean isReached(long saidMs, long nowMs) {
    return reachedMs > saidMs && nowMs - reachedMs <= Constants.REACHED_FRESH_MS;
  }

  /** Whether one of them reached it after it last said anything here, however long ago. */
  boolean reachedSince(long saidMs) {
    return reachedMs > saidMs;
  }

  /** Whether that counts for longer than another answer may take. */
  boolean isReachedForLong(long saidMs, long nowMs) {
    return isReached(saidMs, nowMs + Constants.WITNESS_WAIT_MS);
  }

  /**
   * Whether none reached it when they were asked after that time: counts for less long than an
   * answer, since a cut may just have ended.
   */
  boolean isUnreached(long sinceMs, long nowMs) {
    return unreachedMs > sinceMs && nowMs - unreachedMs <= Constants.UNREACHED_FRESH_MS;
  }

  /** When none reached it for the first time in a row. */
  long firstUnreachedMs() {
    return firstUnreachedMs;
  }

  /** Whether it counts that none of them could tell. */
  boolean isUntold(long saidMs, long nowMs) {
    return untoldMs > saidMs && nowMs - untoldMs <= Constants.REACHED_FRESH_MS;
  }
}
