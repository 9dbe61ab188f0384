package org.astershift.scheduler;

/**
 * Generates the attempt numbers of one term: the fencing token in the high bits and a counter in
 * the low bits. Numbers are never reused, so a term that exhausts its counter has to end.
 */
final class AttemptNumberGenerator {
  /** Width of the counter in bits, enough for weeks at a few hundred starts per second. */
  static final int ATTEMPT_COUNTER_BITS = 28;

  /** Attempt numbers held in reserve for the passes that run until the term has ended. */
  private static final long TERM_END_ATTEMPTS_LEFT = 1_000_000;

  private final long fencingToken;
  private long lastCounter;

  AttemptNumberGenerator(long fencingToken) {
    this.fencingToken = fencingToken;
  }

  long next() {
    return (fencingToken << ATTEMPT_COUNTER_BITS) | ++lastCounter;
  }

  /** Returns whether this term has issued the number. */
  boolean isOfThisTerm(long attemptNumber) {
    return attemptNumber >>> ATTEMPT_COUNTER_BITS == fencingToken;
  }

  /** Returns whether the term has to end because only the reserve of numbers is left. */
  boolean isExhausted() {
    return lastCounter >= (1L << ATTEMPT_COUNTER_BITS) - TERM_END_ATTEMPTS_LEFT;
  }
}
