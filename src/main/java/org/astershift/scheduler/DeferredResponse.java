package org.astershift.scheduler;

/**
 * The response to a machine's newest heartbeat while it waits for a command. A worker accepts a
 * response for a few seconds, so a start that becomes due in that time needs no further heartbeat.
 */
final class DeferredResponse {
  private final MessagePosition heartbeat;
  private boolean isReleased;

  DeferredResponse(Heartbeat heartbeat) {
    this.heartbeat = MessagePosition.of(heartbeat);
  }

  /** Returns whether this is the response to the heartbeat. */
  boolean isFor(Heartbeat other) {
    return heartbeat.equals(MessagePosition.of(other));
  }

  /** Records that the response is about to be sent. */
  void release() {
    isReleased = true;
  }

  boolean isReleased() {
    return isReleased;
  }
}
