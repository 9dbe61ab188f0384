package org.astershift.coordination;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How much of the fleet this controller reaches, from small samples of machines that it probes all
 * the time, leading or not: an election, or a peer's question about a silent machine, cannot wait
 * for a measurement. Callable from any thread.
 */
public final class WorkerReachability {
  /** Samples that count; the last alone if none answered, so that a partition shows soon. */
  private static final int REACHABILITY_SAMPLES = 2;

  /** Age at which a sample no longer counts, milliseconds. */
  static final long REACHABILITY_SAMPLE_VALID_MS = 8000;

  /** Probes below which nothing is known. */
  private static final int REACHABILITY_MIN_RESULTS = 3;

  /** Share of answered probes below which a controller reaches few machines. */
  private static final double REACHABILITY_POOR_SHARE = 0.25;

  private final Deque<Sample> samples = new ArrayDeque<>();

  private record Sample(int probed, int answered, long probedMs) {}

  /**
   * How many of the machines probed lately answered; {@code probed} 0: nothing is known, as after a
   * start or in a fleet without machines.
   */
  public record Measurement(int probed, int answered) {
    /** Of a node that has probed nothing. */
    public static final Measurement UNKNOWN = new Measurement(0, 0);

    /** Whether enough machines were probed. */
    public boolean isKnown() {
      return probed >= REACHABILITY_MIN_RESULTS;
    }

    /** Between 0 and 1. */
    public double share() {
      return probed == 0 ? 0 : (double) answered / probed;
    }

    /** Enough machines were probed, and nearly none answered. */
    public boolean reachesFew() {
      return isKnown() && share() < REACHABILITY_POOR_SHARE;
    }

    /** Enough machines were probed and answered: one that does not answer is probably gone. */
    public boolean reachesEnough() {
      return isKnown() && !reachesFew();
    }
  }

  /** The result of one sample; {@code probedMs}: when it was probed. */
  public synchronized void onSample(int probed, int answered, long probedMs) {
    if (probed > 0) {
      samples.addLast(new Sample(probed, answered, probedMs));
    }
    while (samples.size() > REACHABILITY_SAMPLES) {
      samples.removeFirst();
    }
  }

  /** The measurement from the samples that still count. */
  public synchronized Measurement measurement(long nowMs) {
    Sample last = samples.peekLast();
    if (last != null && last.answered == 0 && last.probed >= REACHABILITY_MIN_RESULTS) {
      samples.removeIf(sample -> sample != last); // partitioned since the one before
    }
    int probed = 0;
    int answered = 0;
    for (Sample sample : samples) {
      if (nowMs - sample.probedMs <= REACHABILITY_SAMPLE_VALID_MS) {
        probed += sample.probed;
        answered += sample.answered;
      }
    }
    return new Measurement(probed, answered);
  }
}
