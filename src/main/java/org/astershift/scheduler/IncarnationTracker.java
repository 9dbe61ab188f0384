package org.astershift.scheduler;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the incarnations of machines apart, and decides whether this leader may use one.
 *
 * <p>A leader whose lease is uncertain may have a successor. That starts the tasks of opened jobs
 * once each machine on record has shown its token, or is gone. So the incarnation that this leader
 * uses must have been there before the lease became uncertain: then the successor either makes it
 * show the later token, after which it executes nothing of this leader, or hears a later
 * incarnation, with which this one is gone. One that may have begun since then proves nothing: the
 * successor may have claimed the one before it. It waits until the lease is certain again, and
 * where the machine was not heard before in this term also for a record of its own.
 */
final class IncarnationTracker {
  private static final Logger LOG = LoggerFactory.getLogger(IncarnationTracker.class);

  /**
   * Messages that a machine sends in a second at the most: reports half a second apart, and answers
   * to orders and questions of all controllers. An incarnation that has sent more since some moment
   * began before it.
   */
  private static final double MACHINE_MESSAGES_PER_S = 10;

  /** Messages that may come on top of these, see {@link #MACHINE_MESSAGES_PER_S}. */
  private static final double MACHINE_MESSAGE_BURST = 10;

  private final long fencingToken;
  private long leaseCertainUntilMs = Long.MAX_VALUE;
  private long lastCertainMs = Long.MIN_VALUE;

  IncarnationTracker(long fencingToken) {
    this.fencingToken = fencingToken;
  }

  /** Up to then no other node can have led; it grows with each renewal of the lease. */
  void extendLeaseCertainty(long untilMs) {
    leaseCertainUntilMs = untilMs;
  }

  /** Whether another node may lead by now. */
  boolean leaseUncertain(long nowMs) {
    return nowMs >= leaseCertainUntilMs;
  }

  /** Whether tasks may start on the machine as it is: the one predicate for all commands. */
  boolean usable(Machine machine, long nowMs) {
    return !leaseUncertain(nowMs) || machine.incarnation.hadMessageBy(lastCertainMs(nowMs));
  }

  /** The latest time known at which no other node can have led. */
  private long lastCertainMs(long nowMs) {
    lastCertainMs = Math.max(lastCertainMs, Math.min(nowMs, leaseCertainUntilMs));
    return lastCertainMs;
  }

  /**
   * Whether a message that came while the lease is uncertain is certainly of the incarnation known.
   * The next one has no token until this leader tells it: with a direct order that was not answered
   * for, since a report that shows an earlier token of a claimed machine gets no answer. So a
   * report with this token, of a machine to which no such order is on its way, is of the
   * incarnation that was claimed.
   */
  boolean isSameIncarnation(
      Machine machine, Heartbeat heartbeat, boolean directResponse, long nowMs) {
    boolean noUnansweredCommand =
        !directResponse && !machine.commandInFlight && !machine.directCommandLost;
    return (noUnansweredCommand && machine.fenced && heartbeat.fencingToken() == fencingToken)
        || isProvenSameIncarnation(machine, heartbeat, nowMs);
  }

  /**
   * Whether a message is of the incarnation known, whatever may have reached another: it shows a
   * task that only this one has, or it has sent more messages than one could that began since.
   */
  boolean isProvenSameIncarnation(Machine machine, Heartbeat heartbeat, long nowMs) {
    return machine.incarnation.isKnown()
        && (showsKnownAttempt(machine, heartbeat)
            || sequenceExcludesRestart(machine, heartbeat, nowMs));
  }

  /** A task shown before, whose start cannot have reached another incarnation as well. */
  private static boolean showsKnownAttempt(Machine machine, Heartbeat heartbeat) {
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
    if (!machine.incarnation.existenceConfirmed()) {
      return false;
    }
    double sinceS = (nowMs - machine.incarnation.lastConfirmedMs()) / 1000.0;
    return heartbeat.sequence() > MACHINE_MESSAGE_BURST + sinceS * MACHINE_MESSAGES_PER_S;
  }

  /** Notes what a newer message proves: that its incarnation is there, and since when. */
  void onMessage(Machine machine, Heartbeat heartbeat, boolean directResponse, long nowMs) {
    boolean first = !machine.incarnation.isKnown();
    machine.incarnation.onMessage(nowMs);
    lastCertainMs(nowMs);
    if (directResponse) {
      machine.incarnation.confirmExistence(
          machine.lastDirectCommandMs); // it was asked then, or later
    } else if (heartbeat.fencingToken() == fencingToken) {
      machine.incarnation.confirmExistence(machine.firstKnownMs); // it has heard of this term
    }
    if (first) {
      LOG.debug(
          "machine {} has an incarnation not seen before: session {}, sequence {}, token {},"
              + " {}, in {}; the lease is {}",
          machine.name,
          heartbeat.epoch(),
          heartbeat.sequence(),
          heartbeat.fencingToken(),
          machine.registered ? "on record" : "to be recorded",
          directResponse ? "an answer" : "a report",
          leaseUncertain(nowMs) ? "uncertain since " + leaseCertainUntilMs : "certain");
    }
  }
}
