package org.astershift.scheduler;

/** The rate of an event, with exponentially decaying weight of older ones. */
final class DecayingRate {
  private final double windowS;
  private double lastSum;
  private long lastEventMs;

  /** {@code windowS}: seconds in which an event's weight falls to 1/e. */
  DecayingRate(double windowS) {
    this.windowS = windowS;
  }

  /** One event happened now. */
  void add(long nowMs) {
    lastSum = decayedSum(nowMs) + 1;
    lastEventMs = nowMs;
  }

  /** Events a second. */
  double perS(long nowMs) {
    return decayedSum(nowMs) / windowS;
  }

  private double decayedSum(long nowMs) {
    return lastSum * Math.exp((lastEventMs - nowMs) / 1000.0 / windowS);
  }
}
