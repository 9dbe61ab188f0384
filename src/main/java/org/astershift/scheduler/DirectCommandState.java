package org.astershift.scheduler;

/** The direct commands to one machine: whether one is in flight and which got no answer. */
final class DirectCommandState {
  private boolean isInFlight;
  private boolean sentWhileSilent;
  private boolean hasUnansweredWhileSilent;
  private boolean hasUnconfirmedCommand;
  private int unansweredCount;
  private int consecutiveUnansweredCount;
  private MessagePosition positionWhenSent = MessagePosition.NONE;
  private boolean isProbePermitted;
  private long lastSentMs = -1_000_000;

  /** Records that a command is sent; {@code silent}: the machine is silent or unreconciled. */
  void onSent(Machine machine, boolean silent, long nowMs) {
    isInFlight = true;
    sentWhileSilent = silent;
    lastSentMs = nowMs;
    isProbePermitted = false;
    positionWhenSent = new MessagePosition(machine.epoch, machine.sequence);
  }

  /** Records that the command in flight was answered or will not be answered. */
  void onSettled() {
    isInFlight = false;
  }

  /** Records that a command got no answer; if {@code outcomeUnknown}, it may still arrive. */
  void onUnanswered(boolean outcomeUnknown) {
    hasUnconfirmedCommand |= outcomeUnknown;
    unansweredCount++;
    consecutiveUnansweredCount++;
    hasUnansweredWhileSilent |= sentWhileSilent;
  }

  /**
   * Resets what is known of unanswered commands, since a later message of the machine has arrived.
   */
  void clearUnanswered() {
    unansweredCount = 0;
    hasUnansweredWhileSilent = false;
  }

  /** Records an answer or other proof that the machine gets commands. */
  void onReceiptProven() {
    consecutiveUnansweredCount = 0;
  }

  /** Returns the number of consecutive commands without an answer or other proof of receipt. */
  int consecutiveUnansweredCount() {
    return consecutiveUnansweredCount;
  }

  /** Makes the next probe due regardless of when a command was last sent. */
  void permitImmediateProbe() {
    isProbePermitted = true;
  }

  /** Returns whether a probe may be sent, {@code intervalMs} after the last command. */
  boolean isProbePermitted(long intervalMs, long nowMs) {
    return isProbePermitted || nowMs - lastSentMs >= intervalMs;
  }

  boolean isInFlight() {
    return isInFlight;
  }

  /** Returns when a command was last sent; a time long past if none was. */
  long lastSentMs() {
    return lastSentMs;
  }

  /** Returns the number of commands without an answer since the machine's last message. */
  int unansweredCount() {
    return unansweredCount;
  }

  /** Returns whether a command that was sent while the machine was silent got no answer. */
  boolean hasUnansweredWhileSilent() {
    return hasUnansweredWhileSilent;
  }

  /** Returns whether a later incarnation may get a command of this term that got no answer. */
  boolean hasUnconfirmedCommand() {
    return hasUnconfirmedCommand;
  }

  /** Returns whether the message is newer than the last one handled before the command was sent. */
  boolean isNewerThanWhenSent(Heartbeat heartbeat) {
    return positionWhenSent.precedes(heartbeat);
  }

  /** Returns whether no newer message of the machine was handled since the command was sent. */
  boolean isPositionUnchangedSinceSent(Machine machine) {
    return positionWhenSent.equals(new MessagePosition(machine.epoch, machine.sequence));
  }
}
