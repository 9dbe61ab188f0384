package org.astershift.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.coordination.WorkerReachability.Measurement;

/**
 * Whether a controller stands for the leadership, and when a leader hands it over. Nothing here is
 * needed for safety, which stays with the lease: these decisions only bring the leadership to a
 * controller that reaches workers, and keep it there.
 *
 * <p>Standing is ranked by delay and not by agreement: all controllers see the free leadership at
 * the same moment, and one that knows that it reaches few workers lets the others go first. That
 * needs no word between them, so it holds when they refuse each other. Handing over is for the
 * leader that was cut off afterwards: it asks the others whether one reaches more. If none answers,
 * it lets each of them have a turn, once; if those that answer reach no more, it stays, and gives
 * nothing away.
 */
public final class Candidacy {
  /** Share by which another has to reach more machines for a leader to hand over. */
  private static final double REACHABILITY_HANDOVER_SHARE = 0.3;

  /**
   * Milliseconds by which a controller that reaches few workers stands later than the others: they
   * see the free leadership at the same moment and look for it every 300 ms.
   */
  static final long CANDIDACY_DELAY_MS = 3000;

  /** Milliseconds that a term lasts at least before its leader hands over for want of reach. */
  static final long HANDOVER_MIN_TERM_MS = 8000;

  /** It does not give up again for so long: then the trouble is not with its own network. */
  static final long RESIGN_MIN_INTERVAL_MS = 60_000;

  private final Map<String, Long> lastLedMs = new HashMap<>();
  private long freeSinceMs = -1;
  private long deferredMs = Long.MIN_VALUE / 2;

  /**
   * What one other controller told of itself; {@code storeAvailable}: the state service answers it.
   */
  public record PeerStatus(String node, boolean storeAvailable, Measurement workerReachability) {}

  /** A leader's wish to hand over to this controller, or to any where {@code successor} is null. */
  public record LeadershipTransfer(String successor) {}

  /** The leadership is held by this controller, as far as known here. */
  public synchronized void onHolderObserved(String node, long nowMs) {
    freeSinceMs = -1;
    lastLedMs.put(node, nowMs);
  }

  /** The leadership is free: whether this controller, which reaches so much, stands for it now. */
  public synchronized boolean shouldStand(Measurement own, long nowMs) {
    if (freeSinceMs < 0) {
      freeSinceMs = nowMs;
    }
    boolean deferring = nowMs - deferredMs < CANDIDACY_DELAY_MS;
    return !deferring && nowMs - freeSinceMs >= (own.reachesFew() ? CANDIDACY_DELAY_MS : 0);
  }

  /** The leader is about to hand over to another controller than this one. */
  public synchronized void deferToSuccessor(long nowMs) {
    deferredMs = nowMs;
  }

  /**
   * The wish of a leader that hears only {@code visibleShare} of its machines; null: it stays.
   * {@code statuses}: those of the {@code peerCount} that answered; {@code termBeganMs}: when its
   * term began, since a cut that comes and goes must not turn the leadership round with it.
   */
  public synchronized LeadershipTransfer handOverTarget(
      double visibleShare, List<PeerStatus> statuses, int peerCount, long termBeganMs, long nowMs) {
    if (peerCount == 0 || nowMs - termBeganMs < HANDOVER_MIN_TERM_MS) {
      return null;
    }
    PeerStatus best = null;
    for (PeerStatus status : statuses) {
      boolean better =
          status.storeAvailable()
              && status.workerReachability().reachesEnough()
              && status.workerReachability().share() >= visibleShare + REACHABILITY_HANDOVER_SHARE;
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
    // Nobody answers, so nothing is known of the others: each that has not led lately has its turn.
    lastLedMs.values().removeIf(lastLed -> nowMs - lastLed > RESIGN_MIN_INTERVAL_MS);
    return lastLedMs.size() <= peerCount ? new LeadershipTransfer(null) : null;
  }
}
