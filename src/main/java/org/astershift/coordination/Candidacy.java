package org.astershift.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.coordination.WorkerReachability.Measurement;

/**
 * Whether a controller becomes a candidate, and when a leader transfers its leadership. Safety does
 * not depend on it, only on the lease: these decisions bring the leadership to a controller that
 * reaches workers, and keep it there.
 *
 * <p>Candidates are ranked by delay and not by agreement: one that reaches few workers waits longer
 * after the key has gone, which works also while controllers cannot reach each other. Transfer is
 * for a leader that is partitioned later: it goes to a peer that reaches more workers. If no peer
 * answers, each gets one turn; if those that answer reach no more, the leader stays.
 */
public final class Candidacy {
  /** By how much a peer's reached share must exceed the leader's for a transfer. */
  private static final double TRANSFER_MIN_GAIN_SHARE = 0.3;

  /**
   * Milliseconds for which a controller that reaches few workers leaves the election to the others,
   * which check for a missing key every 300 ms.
   */
  static final long CANDIDACY_DELAY_MS = 3000;

  /** Shortest age of a term that its leader transfers, milliseconds. */
  static final long TRANSFER_MIN_TERM_MS = 8000;

  /** Shortest time between two resignations, milliseconds, if no other leader came between. */
  static final long RESIGN_MIN_INTERVAL_MS = 60_000;

  private final Map<String, Long> lastLedMs = new HashMap<>();
  private long keyAbsentSinceMs = -1;
  private long deferredMs = Long.MIN_VALUE / 2;

  /** What a peer reports of itself; {@code storeAvailable}: the store responds to it. */
  public record PeerStatus(String node, boolean storeAvailable, Measurement workerReachability) {}

  /** A transfer to this controller, or to any where {@code successor} is null. */
  public record LeadershipTransfer(String successor) {}

  /** The leader's key names this controller. */
  public synchronized void onHolderObserved(String node, long nowMs) {
    keyAbsentSinceMs = -1;
    lastLedMs.put(node, nowMs);
  }

  /** The key does not exist: whether this controller becomes a candidate now. */
  public synchronized boolean shouldBecomeCandidate(Measurement own, long nowMs) {
    if (keyAbsentSinceMs < 0) {
      keyAbsentSinceMs = nowMs;
    }
    boolean deferring = nowMs - deferredMs < CANDIDACY_DELAY_MS;
    return !deferring && nowMs - keyAbsentSinceMs >= (own.reachesFew() ? CANDIDACY_DELAY_MS : 0);
  }

  /** The leader announces a transfer to another controller than this one. */
  public synchronized void deferToSuccessor(long nowMs) {
    deferredMs = nowMs;
  }

  /**
   * The transfer by a leader that observes only {@code visibleShare} of its machines; null: it
   * stays. {@code statuses}: of those of the {@code peerCount} that answered; {@code termBeganMs}:
   * the term must have lasted a while, so that an unstable link does not move the leadership often.
   */
  public synchronized LeadershipTransfer decideTransfer(
      double visibleShare, List<PeerStatus> statuses, int peerCount, long termBeganMs, long nowMs) {
    if (peerCount == 0 || nowMs - termBeganMs < TRANSFER_MIN_TERM_MS) {
      return null;
    }
    PeerStatus best = null;
    for (PeerStatus status : statuses) {
      boolean better =
          status.storeAvailable()
              && status.workerReachability().reachesEnough()
              && status.workerReachability().share() >= visibleShare + TRANSFER_MIN_GAIN_SHARE;
      if (better
          && (best == null
              || status.workerReachability().share() > best.workerReachability().share())) {
        best = status;
      }
    }
    if (best != null) {
      return new LeadershipTransfer(best.node());
    }
    if (!statuses.isEmpty()) {
      return null;
    }
    // No peer answers: each that has not led lately gets one turn.
    lastLedMs.values().removeIf(lastLed -> nowMs - lastLed > RESIGN_MIN_INTERVAL_MS);
    return lastLedMs.size() <= peerCount ? new LeadershipTransfer(null) : null;
  }
}
