package org.astershift.scheduler;

/** Position of a message in the sequence of its machine's messages, by epoch, then sequence. */
record MessagePosition(long epoch, long sequence) {
  /** The position before the first message. */
  static final MessagePosition NONE = new MessagePosition(0, 0);

  static MessagePosition of(Heartbeat message) {
    return new MessagePosition(message.epoch(), message.sequence());
  }

  /** Returns whether this position is after that of the message. */
  boolean follows(Heartbeat message) {
    return epoch > message.epoch() || (epoch == message.epoch() && sequence > message.sequence());
  }

  /** Returns whether this position is before that of the message. */
  boolean precedes(Heartbeat message) {
    return message.isNewerThan(epoch, sequence);
  }
}
