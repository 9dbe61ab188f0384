package org.astershift.coordination;

import org.astershift.config.Constants;

/**
 * What it means that the state service does not answer this node, from what the others say. In an
 * outage it stays ready: no node could do more. Where others are served it sends users there. Where
 * no other answers at all either, it is cut off: nothing that users ask of it can be answered,
 * while the others may be served well; it keeps its workers, and tells the balancer the truth.
 */
public final class StoreReachability {
  /** What this node takes the silence for. */
  public enum Verdict {
    /** Others are not served either, or it is too early to say. */
    OUTAGE,
    /** Another node is served. */
    APART,
    /** Neither the state service nor any other node has answered for a while. */
    ALONE
  }

  private long answeredMs = -1;

  /** The state service answers this node. */
  public void served() {
    answeredMs = -1;
  }

  /**
   * {@code others} were asked, {@code answered} of them answered, and one of these is served or
   * none is.
   */
  public Verdict asked(int others, int answered, boolean served, long nowMs) {
    if (served) {
      answeredMs = nowMs;
      return Verdict.APART;
    }
    if (answeredMs < 0 || answered > 0 || others == 0) {
      answeredMs = nowMs;
    }
    return nowMs - answeredMs >= Constants.ALONE_MS ? Verdict.ALONE : Verdict.OUTAGE;
  }
}
