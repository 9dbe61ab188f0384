package org.astershift.controller;

/** The pause before a cloud call is repeated. */
final class CloudBackoff {
  private CloudBackoff() {}

  /** Whether the term still wants its cloud calls repeated: not after an interrupt either. */
  static boolean shouldContinue(LeaderTerm term) {
    return !term.hasEnded() && !Thread.currentThread().isInterrupted();
  }

  /** Keeps the interrupt status, which ends the loop. */
  static void sleep() {
    try {
      Thread.sleep(LoopTiming.CLOUD_RETRY_BACKOFF_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
