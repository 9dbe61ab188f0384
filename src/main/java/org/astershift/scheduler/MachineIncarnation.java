package org.astershift.scheduler;

/**
 * One incarnation of a machine: its life from one start of its worker to the next, under the same
 * name. The protocol gives it no identity, and sessions and sequence numbers begin anew with it; so
 * evidence about one incarnation is kept here, apart from that about the next.
 */
final class MachineIncarnation {
  private static final long NEVER = Long.MAX_VALUE;

  private long firstSeenMs = NEVER;
  private long existedMs = NEVER;

  /** A message of it arrived. */
  void seen(long nowMs) {
    firstSeenMs = Math.min(firstSeenMs, nowMs);
  }

  /** It certainly existed at this time or later. */
  void existed(long atMs) {
    existedMs = existedMs == NEVER ? atMs : Math.max(existedMs, atMs);
  }

  /** Whether anything was heard of it. */
  boolean isKnown() {
    return firstSeenMs != NEVER;
  }

  /** Whether it was there by then: a message of it had arrived. */
  boolean seenBy(long timeMs) {
    return firstSeenMs <= timeMs;
  }

  /** Whether it is known that it existed at some time. */
  boolean hasExisted() {
    return existedMs != NEVER;
  }

  /** The latest time by which it certainly existed. */
  long existedMs() {
    return existedMs;
  }
}
