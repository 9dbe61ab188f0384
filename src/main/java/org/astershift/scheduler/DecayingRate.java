package org.astershift.scheduler;

/** How often something happens lately: old events count less and less. */
final class DecayingRate {
  private final double windowS;
  private double lastSum;
  private long lastEventMs;

  DecayingRate(double windowS) {
    this.windowS = windowS;
  }

  void add(long nowMs) {
    lastSum = decayedSum(nowMs) + 1;
    lastEventMs = nowMs;
  }

  double perS(long nowMs) {
    return decayedSum(nowMs) / windowS;
  }

  private double decayedSum(long nowMs) {
    return lastSum * Math.exp((lastEventMs - nowMs) / 1000.0 / windowS);
  }
}
