package org.astershift.scheduler;

/** Tracks the order of the messages of a machine's current incarnation. */
final class MessageOrder {
  private MessagePosition lastHeartbeat = MessagePosition.NONE;
  private MessagePosition firstFencedMessage = MessagePosition.NONE;

  /** Records the newest heartbeat; the response to it may have renewed the machine's lease. */
  void onHeartbeat(Heartbeat heartbeat) {
    lastHeartbeat = MessagePosition.of(heartbeat);
  }

  /** Records the first known message that carries this leader's fencing token. */
  void onFenced(Heartbeat message) {
    firstFencedMessage = MessagePosition.of(message);
  }

  /** Returns whether any heartbeat has been recorded since the last reset. */
  boolean hasHeartbeat() {
    return lastHeartbeat.epoch() > 0;
  }

  /** Returns whether the heartbeat is newer than every recorded one. */
  boolean isNewestHeartbeat(Heartbeat heartbeat) {
    return lastHeartbeat.precedes(heartbeat);
  }

  /**
   * Returns whether the message precedes the first one that carried this leader's fencing token. A
   * lower token in such a message does not indicate another incarnation.
   */
  boolean precedesFence(Heartbeat message) {
    return firstFencedMessage.follows(message);
  }

  /** Clears the recorded positions, after a restart of the machine. */
  void reset() {
    lastHeartbeat = MessagePosition.NONE;
    firstFencedMessage = MessagePosition.NONE;
  }
}
