package org.astershift.scheduler;

/** The direct commands to one machine: what is in flight, and what was left unanswered. */
final class DirectCommandState {
  private boolean inFlight;
  private boolean sentWhileSilent;
  private boolean unansweredWhileSilent;
  private boolean anyUnconfirmed;
  private int unansweredCount;
  private MessagePosition positionWhenSent = MessagePosition.NONE;
  private long lastSentMs = -1_000_000;

  /** A command goes out; {@code silent}: the machine is silent or was never seen. */
  void onSent(Machine machine, boolean silent, long nowMs) {
    inFlight = true;
    sentWhileSilent = silent;
    lastSentMs = nowMs;
    positionWhenSent = new MessagePosition(machine.epoch, machine.sequence);
  }

  /** The command in flight was answered, or will not be. */
  void onSettled() {
    inFlight = false;
  }

  /** It will not be answered; {@code outcomeUnknown}: it may still arrive. */
  void onUnanswered(boolean outcomeUnknown) {
    anyUnconfirmed |= outcomeUnknown;
    unansweredCount++;
    unansweredWhileSilent |= sentWhileSilent;
  }

  /** The machine has sent a message: earlier failures show nothing any more. */
  void clearUnanswered() {
    unansweredCount = 0;
    unansweredWhileSilent = false;
  }

  boolean inFlight() {
    return inFlight;
  }

  /** When a command was last sent; long ago if none was. */
  long lastSentMs() {
    return lastSentMs;
  }

  /** Commands left unanswered since the last message of the machine. */
  int unansweredCount() {
    return unansweredCount;
  }

  /** Whether a command sent while the machine was silent was left unanswered since. */
  boolean unansweredWhileSilent() {
    return unansweredWhileSilent;
  }

  /** Whether a command of this term got no answer, so that a later incarnation may get it. */
  boolean anyUnconfirmed() {
    return anyUnconfirmed;
  }

  /** Whether the message is newer than the last one before the command was sent. */
  boolean precedes(Heartbeat heartbeat) {
    return positionWhenSent.precedes(heartbeat);
  }

  /** Whether nothing newer of the machine was handled since the command was sent. */
  boolean nothingHandledSinceSent(Machine machine) {
    return positionWhenSent.equals(new MessagePosition(machine.epoch, machine.sequence));
  }
}
