package org.astershift.scheduler;

import java.util.ArrayDeque;

/** Computes the minimum of a value over a sliding time window; 0 until the window is full. */
final class SlidingWindowMinimum {
  /** Samples with rising times and values; one followed by a smaller or equal one is removed. */
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  private long firstSampleMs = -1;

  private record Sample(long timeMs, int value) {}

  /** Adds the current value and returns the minimum over the window that ends now. */
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
