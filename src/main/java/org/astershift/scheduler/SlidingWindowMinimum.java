package org.astershift.scheduler;

import java.util.ArrayDeque;

/** The minimum of a number within a window of time; 0 before the window is full. */
final class SlidingWindowMinimum {
  /** Both times and values rise: a sample with a later and smaller one is left out. */
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  private long firstSampleMs = -1;

  private record Sample(long timeMs, int value) {}

  /** Adds the present value; returns the minimum over the window that ends now. */
  int add(int value, long nowMs, long windowMs) {
    firstSampleMs = firstSampleMs < 0 ? nowMs : firstSampleMs;
    while (!samples.isEmpty() && samples.peekLast().value() >= value) {
      samples.removeLast();
    }
    samples.addLast(new Sample(nowMs, value));
    while (nowMs - samples.peekFirst().timeMs() > windowMs) {
      samples.removeFirst();
    }
    return nowMs - firstSampleMs < windowMs ? 0 : samples.peekFirst().value();
  }
}
