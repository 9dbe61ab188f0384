package org.astershift.coordination;

/**
 * Determines from the reports of its peers why the store does not respond to this node. In an
 * outage of the store this node stays ready, since no node could do more. If the store responds to
 * a peer, or no peer responds either, this node is partitioned: it reports not ready, so that users
 * go to other nodes, and keeps its workers. Used by one thread.
 */
public final class StoreReachability {
  /**
   * Time, in milliseconds, without a response of the store or of any peer after which this node
   * counts as isolated: longer than a restart of all peers during an outage takes.
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

  private long silentSinceMs = -1;

  /** Records that the store responds to this node. */
  public void onStoreResponded() {
    silentSinceMs = -1;
  }

  /**
   * Returns the verdict after the peers were queried while the store did not respond.
   *
   * @param peerCount number of peers queried
   * @param answered number of peers that answered
   * @param storeRespondsToPeer the store responds to one of the peers
   */
  public Verdict onPeersQueried(
      int peerCount, int answered, boolean storeRespondsToPeer, long nowMs) {
    if (storeRespondsToPeer) {
      silentSinceMs = nowMs;
      return Verdict.PARTITIONED;
    }
    if (silentSinceMs < 0 || answered > 0 || peerCount == 0) {
      silentSinceMs = nowMs;
    }
    return nowMs - silentSinceMs >= ISOLATED_AFTER_MS ? Verdict.ISOLATED : Verdict.OUTAGE;
  }
}
