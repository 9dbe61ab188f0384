package org.astershift.scheduler;

/** What is known of the order of the messages of a machine's present incarnation. */
final class MessageOrder {
  private MessagePosition lastHeartbeat = MessagePosition.NONE;

  /** A heartbeat was taken as the newest, so that its response may have renewed the lease. */
  void onHeartbeat(Heartbeat heartbeat) {
    lastHeartbeat = MessagePosition.of(heartbeat);
  }

  /** Whether a heartbeat was taken as the newest before. */
  boolean anyHeartbeat() {
    return lastHeartbeat.epoch() > 0;
  }

  /** Whether no newer heartbeat was taken in before this one. */
  boolean isNewestHeartbeat(Heartbeat heartbeat) {
    return lastHeartbeat.precedes(heartbeat);
  }

  /** The machine has restarted. */
  void reset() {
    lastHeartbeat = MessagePosition.NONE;
  }
}
