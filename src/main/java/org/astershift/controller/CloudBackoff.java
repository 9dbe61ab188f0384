package org.astershift.controller;

/** Backoff between attempts of a cloud call. */
final class CloudBackoff {
  private CloudBackoff() {}

  /** Returns whether the term has not ended and the calling thread is not interrupted. */
  static boolean shouldContinue(LeaderTerm term) {
    return !term.hasEnded() && !Thread.currentThread().isInterrupted();
  }

  /**
   * Sleeps for {@link LoopTiming#CLOUD_RETRY_BACKOFF_MS}. An interrupt ends the sleep and stays
   * set, so that {@link #shouldContinue} ends the caller's loop.
   */
  static void sleep() {
    try {
      Thread.sleep(LoopTiming.CLOUD_RETRY_BACKOFF_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
