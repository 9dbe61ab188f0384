package org.astershift.coordination;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How much of the fleet this controller reaches by itself, from small samples of machines that it
 * asks all the time, whether it leads or not: when it is to lead, or to tell whether a silent
 * machine is dead, it must know already.
 */
public final class WorkerReachability {
  /** Samples that count; the last alone if nobody answered it, so that a cut shows in 3 s. */
  private static final int REACHABILITY_SAMPLES = 2;

  /** A sample older than this says nothing any more, milliseconds. */
  static final long REACHABILITY_SAMPLE_VALID_MS = 8000;

  /** Fewer answers and failures than this say nothing. */
  private static final int REACHABILITY_MIN_RESULTS = 3;

  /** A controller that reaches less than this share of the machines it asks reaches few. */
  private static final double REACHABILITY_POOR_SHARE = 0.25;

  private final Deque<Sample> samples = new ArrayDeque<>();

  private record Sample(int probed, int answered, long probedMs) {}

  /**
   * What a controller reaches of the machines it asked lately; {@code probed} 0: nothing is known,
   * as on a node that has just started or a site without machines.
   */
  public record Measurement(int probed, int answered) {
    public static final Measurement UNKNOWN = new Measurement(0, 0);

    public boolean known() {
      return probed >= REACHABILITY_MIN_RESULTS;
    }

    /** Between 0 and 1. */
    public double share() {
      return probed == 0 ? 0 : (double) answered / probed;
    }

    /** It is known that next to no machine answers. */
    public boolean reachesFew() {
      return known() && share() < REACHABILITY_POOR_SHARE;
    }

    /** It is known that a fair part answers: who does not answer here either is probably gone. */
    public boolean reachesEnough() {
      return known() && !reachesFew();
    }
  }

  /** One sample has come back; {@code probedMs}: when it was asked. */
  public synchronized void onSample(int probed, int answered, long probedMs) {
    if (probed > 0) {
      samples.addLast(new Sample(probed, answered, probedMs));
    }
    while (samples.size() > REACHABILITY_SAMPLES) {
      samples.removeFirst();
    }
  }

  /** How many of its machines this node reached lately. */
  public synchronized Measurement measurement(long nowMs) {
    Sample last = samples.peekLast();
    if (last != null && last.answered == 0 && last.probed >= REACHABILITY_MIN_RESULTS) {
      samples.removeIf(sample -> sample != last); // cut off since the one before
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
