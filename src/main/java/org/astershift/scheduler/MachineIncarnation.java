package org.astershift.scheduler;

/**
 * One incarnation of a machine, from a start of its worker to the next under the same name. The
 * protocol does not identify it, and epochs and sequence numbers start again with it; so evidence
 * of one incarnation is kept here, apart from that of the next.
 */
final class MachineIncarnation {
  private static final long NEVER_MS = Long.MAX_VALUE;

  private long firstMessageMs = NEVER_MS;
  private long lastConfirmedMs = NEVER_MS;

  /** A message of it has arrived. */
  void onMessage(long nowMs) {
    firstMessageMs = Math.min(firstMessageMs, nowMs);
  }

  /** It certainly existed at this time or later. */
  void confirmExistence(long atMs) {
    lastConfirmedMs = lastConfirmedMs == NEVER_MS ? atMs : Math.max(lastConfirmedMs, atMs);
  }

  /** Whether any message of it has arrived. */
  boolean isKnown() {
    return firstMessageMs != NEVER_MS;
  }

  /** Whether a message of it had arrived by then. */
  boolean hadMessageBy(long timeMs) {
    return firstMessageMs <= timeMs;
  }

  /** Whether it is known that it existed at some time. */
  boolean isExistenceConfirmed() {
    return lastConfirmedMs != NEVER_MS;
  }

  /** The latest time by which it certainly existed. */
  long lastConfirmedMs() {
    return lastConfirmedMs;
  }
}
