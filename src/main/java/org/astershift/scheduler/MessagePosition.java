package org.astershift.scheduler;

/** Place of a message in the order of its machine's messages. */
record MessagePosition(long epoch, long sequence) {
  /** Before the first message. */
  static final MessagePosition NONE = new MessagePosition(0, 0);

  static MessagePosition of(Heartbeat message) {
    return new MessagePosition(message.epoch(), message.sequence());
  }

  /** Whether the message comes before this position. */
  boolean follows(Heartbeat message) {
    return epoch > message.epoch() || (epoch == message.epoch() && sequence > message.sequence());
  }

  /** Whether the message comes after this position. */
  boolean precedes(Heartbeat message) {
    return message.isNewerThan(epoch, sequence);
  }
}
