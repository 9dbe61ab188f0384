package org.astershift.coordination;

/**
 * Determines from the reports of its peers why the store does not respond to this controller.
 * During an outage of the store this controller stays ready, since no other controller could do
 * more. If the store responds to a peer, or no peer responds either, this controller is
 * partitioned: it reports not ready, so that users go to other controllers, and keeps its workers.
 * Used by one thread.
 */
public final class StoreReachability {
  /**
   * Time, in milliseconds, without a response of the store or of any peer after which this
   * controller counts as isolated: longer than a restart of all peers during an outage takes.
   */
  static final long ISOLATED_AFTER_MS = 6000;

  /** The reason why the store does not respond. */
  public enum Verdict {
    /** The store does not respond to the peers either, or it is too early to say. */
    OUTAGE,
    /** The store responds to a peer. */
    PARTITIONED,
    /** Neither the store nor any peer has responded for {@code ISOLATED_AFTER_MS}. */
    ISOLATED
  }

  /** Time since which neither the store nor a peer has responded; -1 while the store responds. */
  private long silentSinceMs = -1;

  /** Records that the store responds to this controller. */
  public void onStoreResponded() {
    silentSinceMs = -1;
  }

  /**
   * Returns the verdict after the peers were queried while the store did not respond.
   *
   * @param peerCount number of peers queried
   * @param answeredCount number of peers that answered
   * @param storeRespondsToPeer whether the store responds to one of the peers
   */
  public Verdict onPeersQueried(
      int peerCount, int answeredCount, boolean storeRespondsToPeer, long nowMs) {
    if (storeRespondsToPeer) {
      silentSinceMs = nowMs;
      return Verdict.PARTITIONED;
    }
    if (silentSinceMs < 0 || answeredCount > 0 || peerCount == 0) {
      silentSinceMs = nowMs;
    }
    return nowMs - silentSinceMs >= ISOLATED_AFTER_MS ? Verdict.ISOLATED : Verdict.OUTAGE;
  }
}
