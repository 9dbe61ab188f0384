package org.astershift.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
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
  private final Map<String, Long> ledMs = new HashMap<>();
  private long freeSinceMs = -1;
  private long yieldedMs = Long.MIN_VALUE / 2;

  /** What one other controller told of itself; {@code served}: the state service answers it. */
  public record PeerStatus(String node, boolean served, Measurement workers) {}

  /** A leader's wish to hand over to this controller, or to any where {@code to} is null. */
  public record HandOver(String to) {}

  /** The leadership is held by this controller, as far as known here. */
  public synchronized void held(String node, long nowMs) {
    freeSinceMs = -1;
    ledMs.put(node, nowMs);
  }

  /** The leadership is free: whether this controller, which reaches so much, stands for it now. */
  public synchronized boolean stands(Measurement own, long nowMs) {
    if (freeSinceMs < 0) {
      freeSinceMs = nowMs;
    }
    boolean yields = nowMs - yieldedMs < Constants.STAND_LATE_MS;
    return !yields && nowMs - freeSinceMs >= (own.few() ? Constants.STAND_LATE_MS : 0);
  }

  /** The leader is about to hand over to another controller than this one. */
  public synchronized void yields(long nowMs) {
    yieldedMs = nowMs;
  }

  /**
   * The wish of a leader that hears only {@code heard} of its machines; null: it stays. {@code
   * told}: those of the {@code others} that answered; {@code beganMs}: when its term began, since a
   * cut that comes and goes must not turn the leadership round with it.
   */
  public synchronized HandOver handsOver(
      double heard, List<PeerStatus> told, int others, long beganMs, long nowMs) {
    if (others == 0 || nowMs - beganMs < Constants.HAND_OVER_AFTER_MS) {
      return null;
    }
    PeerStatus best = null;
    for (PeerStatus t : told) {
      boolean better =
          t.served() && t.workers().able() && t.workers().share() >= heard + Constants.REACH_BETTER;
      if (better && (best == null || t.workers().share() > best.workers().share())) {
        best = t;
      }
    }
    if (best != null) {
      return new HandOver(best.node());
    }
    if (!told.isEmpty()) {
      return null;
    }
    // Nobody answers, so nothing is known of the others: each that has not led lately has its turn.
    ledMs.values().removeIf(at -> nowMs - at > Constants.RESIGN_AGAIN_MS);
    return ledMs.size() <= others ? new HandOver(null) : null;
  }
}
