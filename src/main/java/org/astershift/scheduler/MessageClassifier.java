package org.astershift.scheduler;

/**
 * Tells what a message of a machine proves, for heartbeats and for answers to direct commands. It
 * depends on the message's place among those handled before and not on the order of arrival:
 * messages of one machine wait in this process each for itself. Epoch and sequence order those of
 * one incarnation, but a restarted machine counts from the beginning again, and copies of its
 * earlier messages may arrive for minutes. Taken for new, such a copy would drop tasks that still
 * run, and they would run twice.
 */
final class MessageClassifier {
  /** What a message proves. */
  enum Evidence {
    /** The machine's newest status. */
    CURRENT,
    /**
     * A newer message was handled before it, so it shows neither what is on the machine nor what is
     * not. A heartbeat may be a copy, or one that its worker gave up: its response reaches nobody.
     */
    STALE,
    /**
     * A heartbeat of this incarnation or an earlier one: only the machine's answer to a command
     * shows which.
     */
    LIVENESS_ONLY,
    /**
     * A heartbeat that lacks what is held on the machine, or shows a lower token. It gets no
     * response: unless the machine answers a probe, its lease expires by this leader's clock.
     */
    CONTRADICTORY,
    /** An answer that proves a restart. */
    RESTARTED,
    /** An answer that does not exclude a restart which is suspected. */
    MAYBE_RESTARTED
  }

  private final long fencingToken;
  private final IncarnationTracker incarnations;
  private final ReconciliationLog reconciliationLog;

  MessageClassifier(ClusterState cluster) {
    this.fencingToken = cluster.fencingToken;
    this.incarnations = cluster.incarnations;
    this.reconciliationLog = cluster.reconciliationLog;
  }

  /** What a heartbeat proves; marks the machine where it suggests a restart. */
  Evidence classifyHeartbeat(Machine machine, Heartbeat heartbeat) {
    boolean lowerFencingToken = machine.fenced && heartbeat.fencingToken() < fencingToken;
    boolean attemptMissing = lacksReportedAttempt(machine, heartbeat);
    if (attemptMissing || (lowerFencingToken && !machine.messageOrder.precedesFence(heartbeat))) {
      suspectRestart(machine);
    }
    if (lowerFencingToken || attemptMissing || endsHeldAttempts(machine, heartbeat)) {
      return Evidence.CONTRADICTORY;
    }
    if (!machine.messageOrder.isNewestHeartbeat(heartbeat) || heartbeat.epoch() < machine.epoch) {
      return Evidence.STALE;
    }
    return machine.restartedInTerm ? Evidence.LIVENESS_ONLY : Evidence.CURRENT;
  }

  /** What the answer to the direct commands sent last proves; marks a suspected restart. */
  Evidence classifyAnswer(Machine machine, Heartbeat answer, long nowMs) {
    if (machine.isNewestMessage(answer)) {
      return machine.restartSuspected
              && !incarnations.isProvenSameIncarnation(machine, answer, nowMs)
          ? Evidence.MAYBE_RESTARTED
          : Evidence.CURRENT;
    }
    if (!isOvertaken(machine, answer)) {
      return Evidence.RESTARTED;
    }
    if (!machine.directCommands.precedes(answer)) {
      suspectRestart(machine); // which may have shown since what was started there
    }
    return Evidence.STALE;
  }

  private void suspectRestart(Machine machine) {
    if (!machine.restartSuspected) {
      machine.restartSuspected = true;
      reconciliationLog.onRestartSuspected();
    }
  }

  /** Whether a message was handled since the commands were sent that is newer than their answer. */
  static boolean isOvertaken(Machine machine, Heartbeat answer) {
    return !machine.isNewestMessage(answer)
        && !machine.directCommands.nothingHandledSinceSent(machine);
  }

  /** Whether its epoch is later than the one in which the machine holds tasks. */
  private static boolean endsHeldAttempts(Machine machine, Heartbeat heartbeat) {
    return machine.fenced
        && machine.epoch > 0
        && heartbeat.epoch() > machine.epoch
        && machine.hasAttempts();
  }

  /**
   * Whether the heartbeat lacks a task that was shown and has not exited. Within an epoch a machine
   * shows a task until it is told to forget it, so this heartbeat is of another incarnation: it was
   * delayed, or the machine restarted and has sent more messages since than before.
   */
  private static boolean lacksReportedAttempt(Machine machine, Heartbeat heartbeat) {
    if (machine.restartedInTerm
        || heartbeat.epoch() != machine.epoch
        || !machine.isNewestMessage(heartbeat)) {
      return false;
    }
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.phase != null && !attempt.isExited() && !heartbeat.reportsAttempt(attempt.key)) {
        return true;
      }
    }
    return false;
  }
}
