package org.astershift.scheduler;

import org.astershift.config.Constants;
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

  private final long token;
  private long certainUntilMs = Long.MAX_VALUE;
  private long lastCertainMs = Long.MIN_VALUE;

  IncarnationTracker(long token) {
    this.token = token;
  }

  /** Up to then no other node can have led; it grows with each renewal of the lease. */
  void certainUntil(long untilMs) {
    certainUntilMs = untilMs;
  }

  /** Whether another node may lead by now. */
  boolean leaseUncertain(long nowMs) {
    return nowMs >= certainUntilMs;
  }

  /** Whether tasks may start on the machine as it is: the one predicate for all commands. */
  boolean usable(Machine m, long nowMs) {
    return !leaseUncertain(nowMs) || m.incarnation.seenBy(lastCertainMs(nowMs));
  }

  /** The latest time known at which no other node can have led. */
  private long lastCertainMs(long nowMs) {
    lastCertainMs = Math.max(lastCertainMs, Math.min(nowMs, certainUntilMs));
    return lastCertainMs;
  }

  /**
   * Whether a message that came while the lease is uncertain is certainly of the incarnation known.
   * The next one has no token until this leader tells it: with a direct order that was not answered
   * for, since a report that shows an earlier token of a claimed machine gets no answer. So a
   * report with this token, of a machine to which no such order is on its way, is of the
   * incarnation that was claimed.
   */
  boolean continues(Machine m, Heartbeat r, boolean answer, long nowMs) {
    boolean traced = !answer && !m.orderInFlight && !m.directLost;
    return (traced && m.claimed && r.token() == token) || provenToContinue(m, r, nowMs);
  }

  /**
   * Whether a message is of the incarnation known, whatever may have reached another: it shows a
   * task that only this one has, or it has sent more messages than one could that began since.
   */
  boolean provenToContinue(Machine m, Heartbeat r, long nowMs) {
    return m.incarnation.isKnown() && (showsKnownTask(m, r) || olderThanKnown(m, r, nowMs));
  }

  /** A task shown before, whose start cannot have reached another incarnation as well. */
  private static boolean showsKnownTask(Machine m, Heartbeat r) {
    for (Heartbeat.TaskStatus item : r.tasks()) {
      TaskAttempt run = m.runs.get(new TaskAttempt.Key(item.job(), item.index(), item.attempt()));
      if (run != null && run.phase != null && !run.doubtful && !run.inFlight) {
        return true;
      }
    }
    return false;
  }

  private static boolean olderThanKnown(Machine m, Heartbeat r, long nowMs) {
    if (!m.incarnation.hasExisted()) {
      return false;
    }
    double sinceS = (nowMs - m.incarnation.existedMs()) / 1000.0;
    return r.seq() > Constants.MESSAGES_AT_ONCE + sinceS * Constants.MESSAGES_PER_S;
  }

  /** Notes what a newer message proves: that its incarnation is there, and since when. */
  void seen(Machine m, Heartbeat r, boolean answer, long nowMs) {
    boolean first = !m.incarnation.isKnown();
    m.incarnation.seen(nowMs);
    lastCertainMs(nowMs);
    if (answer) {
      m.incarnation.existed(m.lastDirectMs); // it was asked then, or later
    } else if (r.token() == token) {
      m.incarnation.existed(m.knownMs); // it has heard of this term
    }
    if (first) {
      LOG.debug(
          "machine {} has an incarnation not seen before: session {}, sequence {}, token {},"
              + " {}, in {}; the lease is {}",
          m.name,
          r.session(),
          r.seq(),
          r.token(),
          m.enrolled ? "on record" : "to be recorded",
          answer ? "an answer" : "a report",
          leaseUncertain(nowMs) ? "uncertain since " + certainUntilMs : "certain");
    }
  }
}
