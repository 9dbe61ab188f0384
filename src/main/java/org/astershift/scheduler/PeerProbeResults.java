package org.astershift.scheduler;

/**
 * Holds the results of peers that probed one machine. A result is valid only while the machine
 * sends nothing to this leader, and only for a limited time. A peer is conclusive if it reached the
 * controls of the probe; a failure reported by any other peer is ignored. All times are
 * milliseconds of the monotonic clock.
 */
final class PeerProbeResults {
  /**
   * Time for which a result is valid that a peer reached the machine, or that no peer was
   * conclusive.
   */
  static final long PEER_PROBE_REACHED_VALID_MS = 10_000;

  /**
   * Time for which a result is valid that no conclusive peer reached the machine. A partition may
   * have ended by then.
   */
  private static final long PEER_PROBE_UNREACHED_VALID_MS = 3000;

  /**
   * Time beyond the release timeout for which one of a few silent machines is retained while
   * waiting for the results of peers. It is longer than the deadline of the peers.
   */
  static final long PEER_PROBE_WAIT_MS = 3000;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** Time of the last probe in which a peer reached the machine. */
  private long reachedMs = NEVER_MS;

  /** Time of the last probe in which conclusive peers failed to reach the machine. */
  private long unreachedMs = NEVER_MS;

  /**
   * Time of the first probe in which conclusive peers failed to reach the machine since the machine
   * last sent a message or was reached by a peer.
   */
  private long firstUnreachedMs = NEVER_MS;

  /** Time of the last probe in which no peer was conclusive. */
  private long inconclusiveMs = NEVER_MS;

  /** Records that a peer reached the machine. */
  void onReached(long probedMs) {
    reachedMs = probedMs;
    unreachedMs = NEVER_MS;
  }

  /**
   * Records that conclusive peers failed to reach the machine.
   *
   * @param lastContactMs time of the machine's last message to this leader
   */
  void onUnreached(long probedMs, long lastContactMs) {
    if (unreachedMs <= lastContactMs) {
      firstUnreachedMs = probedMs;
    }
    unreachedMs = probedMs;
  }

  /** Records that no peer was conclusive. */
  void onInconclusive(long probedMs) {
    inconclusiveMs = probedMs;
  }

  /**
   * Returns whether there is a valid result that a peer reached the machine.
   *
   * @param lastContactMs time of the machine's last message to this leader
   */
  boolean isReached(long lastContactMs, long nowMs) {
    return reachedMs > lastContactMs && nowMs - reachedMs <= PEER_PROBE_REACHED_VALID_MS;
  }

  /**
   * Returns whether a peer reached the machine after its last message to this leader, regardless of
   * how long ago.
   */
  boolean wasReachedSince(long lastContactMs) {
    return reachedMs > lastContactMs;
  }

  /**
   * Returns whether the result that a peer reached the machine will still be valid after the time
   * that another probe may take.
   */
  boolean isFreshlyReached(long lastContactMs, long nowMs) {
    return isReached(lastContactMs, nowMs + PEER_PROBE_WAIT_MS);
  }

  /**
   * Returns whether there is a valid result, of a probe after {@code sinceMs}, that conclusive
   * peers failed to reach the machine.
   */
  boolean isUnreached(long sinceMs, long nowMs) {
    return unreachedMs > sinceMs && nowMs - unreachedMs <= PEER_PROBE_UNREACHED_VALID_MS;
  }

  /** Returns the time of the first failure in the latest series of failed peer probes. */
  long firstUnreachedMs() {
    return firstUnreachedMs;
  }

  /**
   * Returns whether there is a valid result that no peer was conclusive.
   *
   * @param lastContactMs time of the machine's last message to this leader
   */
  boolean isInconclusive(long lastContactMs, long nowMs) {
    return inconclusiveMs > lastContactMs && nowMs - inconclusiveMs <= PEER_PROBE_REACHED_VALID_MS;
  }
}
