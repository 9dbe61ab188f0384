package org.astershift.scheduler;

/** The rate of an event, with exponentially decaying weights of older occurrences. */
final class DecayingRate {
  private final double windowS;
  private double lastSum;
  private long lastEventMs;

  /** {@code windowS} is the time in which the weight of an event falls to 1/e, in seconds. */
  DecayingRate(double windowS) {
    this.windowS = windowS;
  }

  /** Records one event. */
  void add(long nowMs) {
    lastSum = decayedSum(nowMs) + 1;
    lastEventMs = nowMs;
  }

  /** Returns the rate in events per second. */
  double perS(long nowMs) {
    return decayedSum(nowMs) / windowS;
  }

  private double decayedSum(long nowMs) {
    return lastSum * Math.exp((lastEventMs - nowMs) / 1000.0 / windowS);
  }
}
