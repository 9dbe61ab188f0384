package org.astershift.coordination;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures how much of the fleet this controller reaches, from small samples of machines. It probes
 * them continuously, whether it leads or not, since an election or a peer's query about a silent
 * machine cannot wait for a measurement. Callable from any thread.
 */
public final class WorkerReachability {
  /**
   * Maximum number of samples in a measurement. If no machine of the last sample answered, that
   * sample counts alone, so that a partition is noticed soon.
   */
  private static final int REACHABILITY_SAMPLES = 2;

  /** Age after which a sample no longer counts, in milliseconds. */
  static final long REACHABILITY_SAMPLE_VALID_MS = 8000;

  /** Minimum number of probes in a usable measurement. */
  private static final int REACHABILITY_MIN_RESULTS = 3;

  /** Share of answered probes below which a controller reaches few machines. */
  private static final double REACHABILITY_POOR_SHARE = 0.25;

  private final Deque<Sample> samples = new ArrayDeque<>();

  private record Sample(int probedCount, int answeredCount, long probedMs) {}

  /**
   * How many of the recently probed machines answered. {@code probedCount} is 0 if nothing is
   * known, as after a start or in a fleet without machines.
   */
  public record Measurement(int probedCount, int answeredCount) {
    /** The measurement of a controller that has probed nothing. */
    public static final Measurement UNKNOWN = new Measurement(0, 0);

    /** Returns whether enough machines were probed. */
    public boolean isKnown() {
      return probedCount >= REACHABILITY_MIN_RESULTS;
    }

    /** Returns the share of probed machines that answered, between 0 and 1. */
    public double answeredShare() {
      return probedCount == 0 ? 0 : (double) answeredCount / probedCount;
    }

    /** Returns whether enough machines were probed, and few of them answered. */
    public boolean isReachabilityPoor() {
      return isKnown() && answeredShare() < REACHABILITY_POOR_SHARE;
    }

    /**
     * Returns whether enough machines were probed and answered; a machine that does not answer this
     * controller is then probably gone.
     */
    public boolean isReachabilitySufficient() {
      return isKnown() && !isReachabilityPoor();
    }
  }

  /** Adds the result of a sample that was probed at {@code probedMs}. */
  public synchronized void onSample(int probed, int answered, long probedMs) {
    if (probed > 0) {
      samples.addLast(new Sample(probed, answered, probedMs));
    }
    while (samples.size() > REACHABILITY_SAMPLES) {
      samples.removeFirst();
    }
  }

  /** Returns the measurement from the samples that still count at {@code nowMs}. */
  public synchronized Measurement measurement(long nowMs) {
    Sample last = samples.peekLast();
    if (last != null && last.answeredCount == 0 && last.probedCount >= REACHABILITY_MIN_RESULTS) {
      samples.removeIf(sample -> sample != last); // partitioned since the previous sample
    }
    int probed = 0;
    int answered = 0;
    for (Sample sample : samples) {
      if (nowMs - sample.probedMs <= REACHABILITY_SAMPLE_VALID_MS) {
        probed += sample.probedCount;
        answered += sample.answeredCount;
      }
    }
    return new Measurement(probed, answered);
  }
}
