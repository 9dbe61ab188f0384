package org.astershift.scheduler;

/**
 * What the other controllers found when they were asked to reach one machine. A finding counts only
 * while the machine says nothing to the leader, and for a limited time.
 */
final class PeerProbeResults {
  /** Milliseconds for which it counts that another controller reached a machine. */
  static final long PEER_PROBE_REACHED_VALID_MS = 10_000;

  /** Milliseconds for which it counts that none did: the cut may be over by then. */
  private static final long PEER_PROBE_UNREACHED_VALID_MS = 3000;

  /**
   * Milliseconds beyond patience that one of a few silent machines waits for what others say:
   * longer than the deadline of their answer.
   */
  static final long PEER_PROBE_WAIT_MS = 3000;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** When they were last asked and one of them had an answer. */
  private long reachedMs = NEVER_MS;

  /** When they were last asked and all that could tell failed. */
  private long unreachedMs = NEVER_MS;

  /** The same for the first time since the machine said anything or was reached. */
  private long firstUnreachedMs = NEVER_MS;

  /** When they were last asked and none of them could tell. */
  private long inconclusiveMs = NEVER_MS;

  /** One of them had an answer. */
  void onReached(long probedMs) {
    reachedMs = probedMs;
    unreachedMs = NEVER_MS;
  }

  /** All that could tell failed; {@code lastContactMs}: when the machine last said anything. */
  void onUnreached(long probedMs, long lastContactMs) {
    if (unreachedMs <= lastContactMs) {
      firstUnreachedMs = probedMs;
    }
    unreachedMs = probedMs;
  }

  /** None of them could tell. */
  void onInconclusive(long probedMs) {
    inconclusiveMs = probedMs;
  }

  /**
   * Whether it counts that one of them reached it; {@code lastContactMs}: when it last said
   * anything.
   */
  boolean isReached(long lastContactMs, long nowMs) {
    return reachedMs > lastContactMs && nowMs - reachedMs <= PEER_PROBE_REACHED_VALID_MS;
  }

  /** Whether one of them reached it after it last said anything here, however long ago. */
  boolean reachedSince(long lastContactMs) {
    return reachedMs > lastContactMs;
  }

  /** Whether that counts for longer than another answer may take. */
  boolean isFreshlyReached(long lastContactMs, long nowMs) {
    return isReached(lastContactMs, nowMs + PEER_PROBE_WAIT_MS);
  }

  /**
   * Whether none reached it when they were asked after that time: counts for less long than an
   * answer, since a cut may just have ended.
   */
  boolean isUnreached(long sinceMs, long nowMs) {
    return unreachedMs > sinceMs && nowMs - unreachedMs <= PEER_PROBE_UNREACHED_VALID_MS;
  }

  /** When none reached it for the first time in a row. */
  long firstUnreachedMs() {
    return firstUnreachedMs;
  }

  /** Whether it counts that none of them could tell. */
  boolean isInconclusive(long lastContactMs, long nowMs) {
    return inconclusiveMs > lastContactMs && nowMs - inconclusiveMs <= PEER_PROBE_REACHED_VALID_MS;
  }
}
