package org.astershift.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import org.astershift.config.Constants;

/**
 * How much of the fleet this controller reaches by itself, from small samples of machines that it
 * asks all the time, whether it leads or not: when it is to lead, or to tell whether a silent
 * machine is dead, it must know already.
 */
public final class WorkerReachability {
  private final Deque<Sample> samples = new ArrayDeque<>();

  private record Sample(int asked, int answered, long atMs) {}

  /**
   * What a controller reaches of the machines it asked lately; {@code asked} 0: nothing is known,
   * as on a node that has just started or a site without machines.
   */
  public record Measurement(int asked, int answered) {
    public static final Measurement NOTHING = new Measurement(0, 0);

    public boolean known() {
      return asked >= Constants.REACH_LEAST;
    }

    /** Between 0 and 1. */
    public double share() {
      return asked == 0 ? 0 : (double) answered / asked;
    }

    /** It is known that next to no machine answers. */
    public boolean few() {
      return known() && share() < Constants.REACH_FEW;
    }

    /** It is known that a fair part answers: who does not answer here either is probably gone. */
    public boolean able() {
      return known() && !few();
    }
  }

  /** One sample has come back; {@code atMs}: when it was asked. */
  public synchronized void sampled(int asked, int answered, long atMs) {
    if (asked > 0) {
      samples.addLast(new Sample(asked, answered, atMs));
    }
    while (samples.size() > Constants.REACH_SAMPLES) {
      samples.removeFirst();
    }
  }

  /** How many of its machines this node reached lately. */
  public synchronized Measurement seen(long nowMs) {
    Sample last = samples.peekLast();
    if (last != null && last.answered == 0 && last.asked >= Constants.REACH_LEAST) {
      samples.removeIf(s -> s != last); // cut off since the one before
    }
    int asked = 0;
    int answered = 0;
    for (Sample s : samples) {
      if (nowMs - s.atMs <= Constants.REACH_FRESH_MS) {
        asked += s.asked;
        answered += s.answered;
      }
    }
    return new Measurement(asked, answered);
  }
}
