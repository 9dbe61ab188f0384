package org.astershift.scheduler;

/** How often something happens lately: old events count less and less. */
final class DecayingRate {
  private final double windowS;
  private double sum;
  private long atMs;

  DecayingRate(double windowS) {
    this.windowS = windowS;
  }

  void add(long nowMs) {
    sum = left(nowMs) + 1;
    atMs = nowMs;
  }

  double perS(long nowMs) {
    return left(nowMs) / windowS;
  }

  private double left(long nowMs) {
    return sum * Math.exp((atMs - nowMs) / 1000.0 / windowS);
  }
}
