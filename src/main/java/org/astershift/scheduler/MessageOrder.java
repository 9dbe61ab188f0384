package org.astershift.scheduler;

/** What is known of the order of the messages of a machine's present incarnation. */
final class MessageOrder {
  private MessagePosition lastHeartbeat = MessagePosition.NONE;
  private MessagePosition fencedFrom = MessagePosition.NONE;

  /** A heartbeat was taken as the newest, so that its response may have renewed the lease. */
  void onHeartbeat(Heartbeat heartbeat) {
    lastHeartbeat = MessagePosition.of(heartbeat);
  }

  /** This is the first message known that shows this leader's fencing token. */
  void onFenced(Heartbeat message) {
    fencedFrom = MessagePosition.of(message);
  }

  /** Whether a heartbeat was taken as the newest before. */
  boolean hasHeartbeat() {
    return lastHeartbeat.epoch() > 0;
  }

  /** Whether no newer heartbeat was taken in before this one. */
  boolean isNewestHeartbeat(Heartbeat heartbeat) {
    return lastHeartbeat.precedes(heartbeat);
  }

  /**
   * Whether the message comes before the one that first showed this leader's token. A lower token
   * is no sign of another incarnation then.
   */
  boolean precedesFence(Heartbeat message) {
    return fencedFrom.follows(message);
  }

  /** The machine has restarted. */
  void reset() {
    lastHeartbeat = MessagePosition.NONE;
    fencedFrom = MessagePosition.NONE;
  }
}
