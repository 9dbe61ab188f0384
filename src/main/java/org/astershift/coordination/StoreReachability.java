package org.astershift.coordination;

/**
 * Why the store does not respond to this node, judged by what its peers report. In an outage the
 * node stays ready, since no node could do more. If a peer is served, or no peer responds either,
 * the node is partitioned: it reports not ready, so that users go elsewhere, and keeps its workers.
 * Used by one thread.
 */
public final class StoreReachability {
  /**
   * Milliseconds without a response of the store or of any peer after which a node counts as
   * isolated: longer than a restart of all peers in an outage takes.
   */
  static final long ISOLATED_AFTER_MS = 6000;

  /** The reason. */
  public enum Verdict {
    /** Peers are not served either, or it is too early to say. */
    OUTAGE,
    /** A peer is served. */
    PARTITIONED,
    /** Neither the store nor any peer has responded for a while. */
    ISOLATED
  }

  private long lastResponseMs = -1;

  /** The store responds to this node. */
  public void onStoreResponded() {
    lastResponseMs = -1;
  }

  /**
   * The verdict after {@code peerCount} peers were asked, of which {@code answered} answered;
   * {@code peerServed}: the store responds to one of them.
   */
  public Verdict onPeersQueried(int peerCount, int answered, boolean peerServed, long nowMs) {
    if (peerServed) {
      lastResponseMs = nowMs;
      return Verdict.PARTITIONED;
    }
    if (lastResponseMs < 0 || answered > 0 || peerCount == 0) {
      lastResponseMs = nowMs;
    }
    return nowMs - lastResponseMs >= ISOLATED_AFTER_MS ? Verdict.ISOLATED : Verdict.OUTAGE;
  }
}
