package org.astershift.scheduler;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distinguishes the incarnations of machines, and decides whether this leader may use one.
 *
 * <p>A leader whose lease is uncertain may already have a successor. The successor starts the tasks
 * of opened jobs once each registered machine is fenced or gone. Therefore this leader uses an
 * incarnation only if the incarnation existed before the lease became uncertain. The successor then
 * either fences that incarnation, which executes no further command of this leader, or sees a later
 * incarnation, which proves that the earlier one is gone. An incarnation that may have started
 * after the lease became uncertain is not safe to use, because the successor may have fenced its
 * predecessor instead. Such an incarnation gets no starts until the lease is certain again; if the
 * machine was not seen before in this term, it also has to wait until a new record for it is
 * durable.
 */
final class IncarnationTracker {
  private static final Logger LOG = LoggerFactory.getLogger(IncarnationTracker.class);

  /**
   * Upper bound on the messages that a machine sends per second: heartbeats and answers to all
   * controllers. An incarnation that has sent more than this since a given time started before that
   * time.
   */
  private static final double MACHINE_MESSAGES_PER_S = 10;

  /** Messages that a machine may send in addition to {@link #MACHINE_MESSAGES_PER_S}. */
  private static final double MACHINE_MESSAGE_BURST = 10;

  private final FencingTokens fencingTokens;
  private long leaseCertainUntilMs = Long.MAX_VALUE;
  private long lastCertainMs = Long.MIN_VALUE;

  IncarnationTracker(FencingTokens fencingTokens) {
    this.fencingTokens = fencingTokens;
  }

  /**
   * Extends the time until which no other node can have led. The time grows with each renewal of
   * this leader's lease.
   */
  void extendLeaseCertainty(long untilMs) {
    leaseCertainUntilMs = untilMs;
  }

  /** Returns whether another node may already be the leader. */
  boolean isLeaseUncertain(long nowMs) {
    return nowMs >= leaseCertainUntilMs;
  }

  /**
   * Returns whether tasks may start on the machine's current incarnation. Applies to every kind of
   * command.
   */
  boolean isUsable(Machine machine, long nowMs) {
    return !isLeaseUncertain(nowMs)
        || machine.incarnation.hadMessageBy(updateLastCertainTime(nowMs));
  }

  /** Updates and returns the latest known time at which no other node can have led. */
  private long updateLastCertainTime(long nowMs) {
    lastCertainMs = Math.max(lastCertainMs, Math.min(nowMs, leaseCertainUntilMs));
    return lastCertainMs;
  }

  /**
   * Returns whether a message received while the lease is uncertain is certainly from the known
   * incarnation. A later incarnation can learn this leader's fencing token only from a direct
   * command that got no answer, since a heartbeat of a fenced machine with an earlier token is not
   * answered. So a heartbeat with this leader's token is from the fenced incarnation if no direct
   * command to the machine is in flight or was lost.
   */
  boolean isSameIncarnation(
      Machine machine, Heartbeat heartbeat, boolean isDirectAnswer, long nowMs) {
    boolean noUnansweredCommand =
        !isDirectAnswer
            && !machine.directCommands.isInFlight()
            && !machine.directCommands.hasUnconfirmedCommand();
    return (noUnansweredCommand
            && machine.fenced
            && fencingTokens.isOfThisTerm(heartbeat.fencingToken()))
        || isProvenSameIncarnation(machine, heartbeat, nowMs);
  }

  /**
   * Returns whether a message is from the known incarnation, regardless of which commands may have
   * reached another one. This is proven if the message reports a task that only the known
   * incarnation has, or if its sequence number is too high for an incarnation that started later.
   */
  boolean isProvenSameIncarnation(Machine machine, Heartbeat heartbeat, long nowMs) {
    return machine.incarnation.isKnown()
        && (reportsKnownAttempt(machine, heartbeat)
            || sequenceExcludesRestart(machine, heartbeat, nowMs));
  }

  /**
   * Returns whether the message reports a task that this incarnation has reported before. Starts
   * are sent in heartbeat responses only, so no other incarnation can have executed them.
   */
  private static boolean reportsKnownAttempt(Machine machine, Heartbeat heartbeat) {
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      TaskAttempt attempt =
          machine.attempts.get(
              new TaskAttempt.Key(status.jobId(), status.index(), status.attemptNumber()));
      if (attempt != null && attempt.phase != null) {
        return true;
      }
    }
    return false;
  }

  private static boolean sequenceExcludesRestart(Machine machine, Heartbeat heartbeat, long nowMs) {
    if (!machine.incarnation.isExistenceConfirmed()) {
      return false;
    }
    double sinceS = (nowMs - machine.incarnation.lastConfirmedMs()) / 1000.0;
    return heartbeat.sequence() > MACHINE_MESSAGE_BURST + sinceS * MACHINE_MESSAGES_PER_S;
  }

  /** Records that a newer message proves its incarnation to exist, and since when. */
  void onMessage(Machine machine, Heartbeat heartbeat, boolean isDirectAnswer, long nowMs) {
    boolean isFirstMessage = !machine.incarnation.isKnown();
    machine.incarnation.onMessage(nowMs);
    updateLastCertainTime(nowMs);
    if (isDirectAnswer) {
      machine.incarnation.confirmExistence(
          machine.directCommands.lastSentMs()); // it answered after that time
    } else if (fencingTokens.isOfThisTerm(heartbeat.fencingToken())) {
      machine.incarnation.confirmExistence(machine.firstKnownMs); // it knows this term's token
    }
    if (isFirstMessage) {
      LOG.debug(
          "new incarnation: machine={} epoch={} sequence={} token={} registered={}"
              + " direct_answer={} lease_uncertain={}",
          machine.name,
          heartbeat.epoch(),
          heartbeat.sequence(),
          heartbeat.fencingToken(),
          machine.registered,
          isDirectAnswer,
          isLeaseUncertain(nowMs));
    }
  }
}
