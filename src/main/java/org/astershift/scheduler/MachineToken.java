package org.astershift.scheduler;

/** The fencing token of one machine in this term, and which incarnation it identifies. */
final class MachineToken {
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** The token of this term to which the machine's was raised; 0 if it was not. */
  long raised;

  /** Whether the token was raised for the machine's last direct command and sent with that only. */
  boolean sentOnce;

  /**
   * The lowest token that no earlier incarnation of the machine can have seen; 0 if the machine has
   * not restarted in this term.
   */
  long minOfIncarnation;

  private long shown;
  private long shownMs = NEVER_MS;

  /** Records the token that a message of the current incarnation shows. */
  void onShown(long value, long nowMs) {
    if (value > shown) {
      shown = value;
      shownMs = nowMs;
    }
  }

  /** Forgets what an earlier incarnation has shown. */
  void onRestart() {
    shown = 0;
  }

  /** Returns the highest token that the current incarnation has shown. */
  long shown() {
    return shown;
  }

  /** Returns the time since the machine last showed a higher token than before. */
  long shownForMs(long nowMs) {
    return nowMs - shownMs;
  }

  /**
   * Returns whether the heartbeat is certainly not from an incarnation before the last restart that
   * this term knows of. Copies of such heartbeats may arrive for minutes.
   */
  boolean isOfCurrentIncarnation(Heartbeat heartbeat) {
    return heartbeat.fencingToken() >= minOfIncarnation;
  }
}
