package org.astershift.scheduler;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the incarnations of machines apart, and decides whether this leader may use one.
 *
 * <p>A leader whose lease is uncertain may have a successor, which starts the tasks of opened jobs
 * once each registered machine is fenced or gone. So the incarnation that this leader uses must
 * have existed before its lease became uncertain: then the successor either fences it, after which
 * it executes nothing of this leader, or sees a later incarnation, with which this one is gone. One
 * that may have begun since then proves nothing, as the successor may have fenced the one before.
 * It waits until the lease is certain again, and where the machine was not seen before in this term
 * also for a record of its own.
 */
final class IncarnationTracker {
  private static final Logger LOG = LoggerFactory.getLogger(IncarnationTracker.class);

  /**
   * The most messages that a machine sends per second: heartbeats, and answers to all controllers.
   * An incarnation that has sent more since some moment began before it.
   */
  private static final double MACHINE_MESSAGES_PER_S = 10;

  /** Messages that may come on top of these. */
  private static final double MACHINE_MESSAGE_BURST = 10;

  private final long fencingToken;
  private long leaseCertainUntilMs = Long.MAX_VALUE;
  private long lastCertainMs = Long.MIN_VALUE;

  IncarnationTracker(long fencingToken) {
    this.fencingToken = fencingToken;
  }

  /** No other node can have led up to this time; it grows with each renewal of the lease. */
  void extendLeaseCertainty(long untilMs) {
    leaseCertainUntilMs = untilMs;
  }

  /** Whether another node may lead by now. */
  boolean isLeaseUncertain(long nowMs) {
    return nowMs >= leaseCertainUntilMs;
  }

  /** Whether tasks may start on the machine's present incarnation; holds for all commands. */
  boolean isUsable(Machine machine, long nowMs) {
    return !isLeaseUncertain(nowMs) || machine.incarnation.hadMessageBy(lastCertainMs(nowMs));
  }

  /** The latest time known at which no other node can have led. */
  private long lastCertainMs(long nowMs) {
    lastCertainMs = Math.max(lastCertainMs, Math.min(nowMs, leaseCertainUntilMs));
    return lastCertainMs;
  }

  /**
   * Whether a message that came while the lease is uncertain is certainly of the incarnation known.
   * The next one gets this leader's token only by a direct command without an answer: a heartbeat
   * of a fenced machine with an earlier token is not answered. So a heartbeat with this token, of a
   * machine to which no such command is in flight, is of the incarnation that was fenced.
   */
  boolean isSameIncarnation(
      Machine machine, Heartbeat heartbeat, boolean directResponse, long nowMs) {
    boolean noUnansweredCommand =
        !directResponse
            && !machine.directCommands.inFlight()
            && !machine.directCommands.anyUnconfirmed();
    return (noUnansweredCommand && machine.fenced && heartbeat.fencingToken() == fencingToken)
        || isProvenSameIncarnation(machine, heartbeat, nowMs);
  }

  /**
   * Whether a message is of the incarnation known, whatever commands may have reached another: it
   * shows a task that only this one has, or one that began since cannot have sent so many messages.
   */
  boolean isProvenSameIncarnation(Machine machine, Heartbeat heartbeat, long nowMs) {
    return machine.incarnation.isKnown()
        && (reportsKnownAttempt(machine, heartbeat)
            || sequenceExcludesRestart(machine, heartbeat, nowMs));
  }

  /** Whether it shows a task whose start cannot have reached another incarnation as well. */
  private static boolean reportsKnownAttempt(Machine machine, Heartbeat heartbeat) {
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      TaskAttempt attempt =
          machine.attempts.get(
              new TaskAttempt.Key(status.jobId(), status.index(), status.attemptNumber()));
      if (attempt != null
          && attempt.phase != null
          && !attempt.startUnconfirmed
          && !attempt.startInFlight) {
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

  /** Records what a newer message proves: that its incarnation exists, and since when. */
  void onMessage(Machine machine, Heartbeat heartbeat, boolean directResponse, long nowMs) {
    boolean first = !machine.incarnation.isKnown();
    machine.incarnation.onMessage(nowMs);
    lastCertainMs(nowMs);
    if (directResponse) {
      machine.incarnation.confirmExistence(
          machine.directCommands.lastSentMs()); // it was asked then, or later
    } else if (heartbeat.fencingToken() == fencingToken) {
      machine.incarnation.confirmExistence(machine.firstKnownMs); // it has seen this term's token
    }
    if (first) {
      LOG.debug(
          "new incarnation: machine={} epoch={} sequence={} token={} registered={}"
              + " direct_response={} lease_uncertain={}",
          machine.name,
          heartbeat.epoch(),
          heartbeat.sequence(),
          heartbeat.fencingToken(),
          machine.registered,
          directResponse,
          isLeaseUncertain(nowMs));
    }
  }
}
