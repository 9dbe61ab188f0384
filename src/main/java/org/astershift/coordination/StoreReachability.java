package org.astershift.coordination;

/**
 * What it means that the state service does not answer this node, from what the others say. In an
 * outage it stays ready: no node could do more. Where others are served it sends users there. Where
 * no other answers at all either, it is cut off: nothing that users ask of it can be answered,
 * while the others may be served well; it keeps its workers, and tells the balancer the truth.
 */
public final class StoreReachability {
  /**
   * Milliseconds in which neither the state service nor any other controller answers after which a
   * node takes itself for cut off: longer than all others take to crash and be back in an outage.
   */
  static final long ISOLATED_AFTER_MS = 6000;

  /** What this node takes the silence for. */
  public enum Verdict {
    /** Others are not served either, or it is too early to say. */
    OUTAGE,
    /** Another node is served. */
    PARTITIONED,
    /** Neither the state service nor any other node has answered for a while. */
    ISOLATED
  }

  private long lastAnsweredMs = -1;

  /** The state service answers this node. */
  public void onServed() {
    lastAnsweredMs = -1;
  }

  /**
   * {@code peerCount} were asked, {@code answered} of them answered, and one of these is served or
   * none is.
   */
  public Verdict onPeersAsked(int peerCount, int answered, boolean peerServed, long nowMs) {
    if (peerServed) {
      lastAnsweredMs = nowMs;
      return Verdict.PARTITIONED;
    }
    if (lastAnsweredMs < 0 || answered > 0 || peerCount == 0) {
      lastAnsweredMs = nowMs;
    }
    return nowMs - lastAnsweredMs >= ISOLATED_AFTER_MS ? Verdict.ISOLATED : Verdict.OUTAGE;
  }
}
