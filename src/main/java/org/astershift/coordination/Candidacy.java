package org.astershift.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.coordination.WorkerReachability.Measurement;

/**
 * Decides whether a controller becomes a candidate for leadership, and when a leader transfers its
 * leadership. Safety depends only on the lease and not on these decisions, which bring the
 * leadership to a controller that reaches workers and keep it there.
 *
 * <p>Candidates are ranked by delay and not by agreement: a controller that reaches few workers
 * waits longer after the leader key has disappeared, which works even while controllers cannot
 * reach each other. A transfer is for a leader that becomes partitioned from its workers later: the
 * leadership goes to a peer that reaches more workers. If no peer answers, each peer gets one turn
 * as leader; if the peers that answer reach no more workers, the leader stays.
 */
public final class Candidacy {
  /** Minimum margin of a peer's reached share over the leader's observed share for a transfer. */
  private static final double TRANSFER_MIN_GAIN_SHARE = 0.3;

  /**
   * Time, in milliseconds, for which a controller that reaches few workers leaves the election to
   * the others, which check for a missing leader key every 300 ms.
   */
  static final long CANDIDACY_DELAY_MS = 3000;

  /** Minimum age of a term at which its leader may transfer the leadership, in milliseconds. */
  static final long TRANSFER_MIN_TERM_MS = 8000;

  /** Minimum time between two resignations without another leader in between, in milliseconds. */
  static final long RESIGN_MIN_INTERVAL_MS = 60_000;

  private final Map<String, Long> lastLedMs = new HashMap<>();
  private long keyAbsentSinceMs = -1;
  private long lastDeferralMs = Long.MIN_VALUE / 2;

  /**
   * A peer's status as the peer reports it; {@code isStoreAvailable} is true if the store responds
   * to the peer.
   */
  public record PeerStatus(String node, boolean isStoreAvailable, Measurement workerReachability) {}

  /** A transfer to {@code successor}, or to any controller if that is null. */
  public record LeadershipTransfer(String successor) {}

  /** Records that the leader key names the controller {@code node}. */
  public synchronized void onHolderObserved(String node, long nowMs) {
    keyAbsentSinceMs = -1;
    lastLedMs.put(node, nowMs);
  }

  /** Returns whether this controller becomes a candidate now; called while the key is absent. */
  public synchronized boolean shouldBecomeCandidate(Measurement own, long nowMs) {
    if (keyAbsentSinceMs < 0) {
      keyAbsentSinceMs = nowMs;
    }
    boolean deferring = nowMs - lastDeferralMs < CANDIDACY_DELAY_MS;
    return !deferring
        && nowMs - keyAbsentSinceMs >= (own.isReachabilityPoor() ? CANDIDACY_DELAY_MS : 0);
  }

  /** Records that the leader announced a transfer to another controller. */
  public synchronized void deferToSuccessor(long nowMs) {
    lastDeferralMs = nowMs;
  }

  /**
   * Decides whether a leader that observes only a part of its machines transfers the leadership;
   * returns null if it does not. The term must have lasted for {@link #TRANSFER_MIN_TERM_MS}, so
   * that an unstable link does not move the leadership often.
   *
   * @param observedShare share of its machines that the leader observes
   * @param statuses status of each peer that answered
   * @param peerCount number of all peers
   * @param termBeganMs when the leader's term began
   */
  public synchronized LeadershipTransfer decideTransfer(
      double observedShare,
      List<PeerStatus> statuses,
      int peerCount,
      long termBeganMs,
      long nowMs) {
    if (peerCount == 0 || nowMs - termBeganMs < TRANSFER_MIN_TERM_MS) {
      return null;
    }
    PeerStatus best = null;
    for (PeerStatus status : statuses) {
      boolean eligible =
          status.isStoreAvailable()
              && status.workerReachability().isReachabilitySufficient()
              && status.workerReachability().answeredShare()
                  >= observedShare + TRANSFER_MIN_GAIN_SHARE;
      if (eligible
          && (best == null
              || status.workerReachability().answeredShare()
                  > best.workerReachability().answeredShare())) {
        best = status;
      }
    }
    if (best != null) {
      return new LeadershipTransfer(best.node());
    }
    if (!statuses.isEmpty()) {
      return null;
    }
    // No peer answers: each peer that has not led recently gets one turn.
    lastLedMs.values().removeIf(lastLed -> nowMs - lastLed > RESIGN_MIN_INTERVAL_MS);
    return lastLedMs.size() <= peerCount ? new LeadershipTransfer(null) : null;
  }
}
