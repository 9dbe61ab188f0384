package org.astershift.controller;

/** The pause before a cloud call is repeated. */
final class CloudBackoff {
  private CloudBackoff() {}

  /** Keeps the interrupt status, which the next blocking call of the loop reports. */
  static void sleep() {
    try {
      Thread.sleep(LoopTiming.CLOUD_RETRY_BACKOFF_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
