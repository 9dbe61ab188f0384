package org.astershift.scheduler;

/**
 * Attempt numbers of one term: its fencing token in the high bits and a counter below. A number is
 * never given out twice, so a term whose counter runs out has to end.
 */
final class AttemptNumbers {
  /** Width of the counter: enough for weeks at a few hundred starts a second. */
  static final int ATTEMPT_COUNTER_BITS = 28;

  /** Numbers kept in reserve for the passes until the term has ended. */
  private static final long TERM_END_ATTEMPTS_LEFT = 1_000_000;

  private final long fencingToken;
  private long lastCounter;

  AttemptNumbers(long fencingToken) {
    this.fencingToken = fencingToken;
  }

  long next() {
    return (fencingToken << ATTEMPT_COUNTER_BITS) | ++lastCounter;
  }

  /** Whether the term has to end to get new numbers. */
  boolean isExhausted() {
    return lastCounter >= (1L << ATTEMPT_COUNTER_BITS) - TERM_END_ATTEMPTS_LEFT;
  }
}
