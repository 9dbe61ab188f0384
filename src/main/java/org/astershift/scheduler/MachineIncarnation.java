package org.astershift.scheduler;

/**
 * One incarnation of a machine: its life from one start of its worker to the next, under the same
 * name. The protocol gives it no identity, and sessions and sequence numbers begin anew with it; so
 * evidence about one incarnation is kept here, apart from that about the next.
 */
final class MachineIncarnation {
  private static final long NEVER_MS = Long.MAX_VALUE;

  private long firstMessageMs = NEVER_MS;
  private long lastConfirmedMs = NEVER_MS;

  /** A message of it arrived. */
  void onMessage(long nowMs) {
    firstMessageMs = Math.min(firstMessageMs, nowMs);
  }

  /** It certainly existed at this time or later. */
  void confirmExistence(long atMs) {
    lastConfirmedMs = lastConfirmedMs == NEVER_MS ? atMs : Math.max(lastConfirmedMs, atMs);
  }

  /** Whether anything was heard of it. */
  boolean isKnown() {
    return firstMessageMs != NEVER_MS;
  }

  /** Whether it was there by then: a message of it had arrived. */
  boolean hadMessageBy(long timeMs) {
    return firstMessageMs <= timeMs;
  }

  /** Whether it is known that it existed at some time. */
  boolean existenceConfirmed() {
    return lastConfirmedMs != NEVER_MS;
  }

  /** The latest time by which it certainly existed. */
  long lastConfirmedMs() {
    return lastConfirmedMs;
  }
}
