package org.astershift.scheduler;

/**
 * The results of peers that probed one machine. A result counts only while the machine sends
 * nothing to the leader, and for a limited time.
 */
final class PeerProbeResults {
  /** Time for which it counts that a peer reached the machine, or that none could tell. */
  static final long PEER_PROBE_REACHED_VALID_MS = 10_000;

  /** Time for which it counts that none did: a partition may be over by then. */
  private static final long PEER_PROBE_UNREACHED_VALID_MS = 3000;

  /**
   * Beyond the release timeout, time for which one of a few silent machines waits for the results
   * of peers: longer than their deadline.
   */
  static final long PEER_PROBE_WAIT_MS = 3000;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** When peers were last asked and one of them reached it. */
  private long reachedMs = NEVER_MS;

  /** When they were last asked and none that could tell reached it. */
  private long unreachedMs = NEVER_MS;

  /** The same for the first time since the machine sent anything or was reached. */
  private long firstUnreachedMs = NEVER_MS;

  /** When they were last asked and none of them could tell. */
  private long inconclusiveMs = NEVER_MS;

  /** A peer reached the machine. */
  void onReached(long probedMs) {
    reachedMs = probedMs;
    unreachedMs = NEVER_MS;
  }

  /** No peer that could tell reached it; {@code lastContactMs}: the last message here. */
  void onUnreached(long probedMs, long lastContactMs) {
    if (unreachedMs <= lastContactMs) {
      firstUnreachedMs = probedMs;
    }
    unreachedMs = probedMs;
  }

  /** No peer could tell. */
  void onInconclusive(long probedMs) {
    inconclusiveMs = probedMs;
  }

  /** Whether it counts that a peer reached it; {@code lastContactMs}: the last message here. */
  boolean isReached(long lastContactMs, long nowMs) {
    return reachedMs > lastContactMs && nowMs - reachedMs <= PEER_PROBE_REACHED_VALID_MS;
  }

  /** Whether a peer reached it after its last message here, however long ago. */
  boolean wasReachedSince(long lastContactMs) {
    return reachedMs > lastContactMs;
  }

  /** Whether that counts for longer than another answer may take. */
  boolean isFreshlyReached(long lastContactMs, long nowMs) {
    return isReached(lastContactMs, nowMs + PEER_PROBE_WAIT_MS);
  }

  /** Whether it counts that no peer reached it when asked after {@code sinceMs}. */
  boolean isUnreached(long sinceMs, long nowMs) {
    return unreachedMs > sinceMs && nowMs - unreachedMs <= PEER_PROBE_UNREACHED_VALID_MS;
  }

  /** When none reached it, for the first time in a row. */
  long firstUnreachedMs() {
    return firstUnreachedMs;
  }

  /** Whether it counts that no peer could tell. */
  boolean isInconclusive(long lastContactMs, long nowMs) {
    return inconclusiveMs > lastContactMs && nowMs - inconclusiveMs <= PEER_PROBE_REACHED_VALID_MS;
  }
}
