package org.astershift.scheduler;

/**
 * Classifies heartbeats and answers to direct commands by what they prove about their machine. The
 * result depends on the position of the message relative to the messages already handled, not on
 * the order of arrival, because messages of one machine are queued independently in this process.
 * Epoch and sequence number order the messages of one incarnation. A restarted machine counts both
 * from the beginning again, and copies of its earlier messages may arrive for minutes. Treating
 * such a copy as new would drop tasks that are still running, and they would be started a second
 * time.
 */
final class MessageClassifier {
  /** What a message proves about its machine. */
  enum Evidence {
    /** The message is the machine's newest status. */
    CURRENT,
    /**
     * A newer message has already been handled, so this one proves neither the presence nor the
     * absence of tasks. A stale heartbeat may be a copy, or its worker may have stopped waiting, so
     * that the response has no receiver.
     */
    STALE,
    /**
     * The heartbeat is from the current or an earlier incarnation; only the machine's answer to a
     * direct command can tell which.
     */
    LIVENESS_ONLY,
    /**
     * The heartbeat lacks a task held on the machine, has a lower fencing token, or has a later
     * epoch than the one in which the machine holds tasks. It is not answered, so unless the
     * machine answers a probe, its lease expires by this leader's clock.
     */
    CONTRADICTORY,
    /** The answer proves that the machine has restarted. */
    RESTARTED,
    /** The answer does not exclude a suspected restart. */
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

  /**
   * Returns what a heartbeat proves. Marks the machine as suspected of a restart if the heartbeat
   * suggests one.
   */
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
    return machine.token.isOfCurrentIncarnation(heartbeat)
        ? Evidence.CURRENT
        : Evidence.LIVENESS_ONLY;
  }

  /**
   * Returns what the answer to the latest direct commands proves. Marks the machine as suspected of
   * a restart if the answer suggests one.
   */
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
    if (!machine.directCommands.isNewerThanWhenSent(answer)) {
      // Only suspected: a newer message may already report tasks started on a new incarnation.
      suspectRestart(machine);
    }
    return Evidence.STALE;
  }

  private void suspectRestart(Machine machine) {
    if (!machine.restartSuspected) {
      machine.restartSuspected = true;
      reconciliationLog.onRestartSuspected();
    }
  }

  /**
   * Returns whether a message newer than this answer was handled after the direct commands were
   * sent.
   */
  static boolean isOvertaken(Machine machine, Heartbeat answer) {
    return !machine.isNewestMessage(answer)
        && !machine.directCommands.isPositionUnchangedSinceSent(machine);
  }

  /** Returns whether the heartbeat is of a later epoch than the one in which tasks are held. */
  private static boolean endsHeldAttempts(Machine machine, Heartbeat heartbeat) {
    return machine.fenced
        && machine.epoch > 0
        && heartbeat.epoch() > machine.epoch
        && machine.hasHeldAttempts();
  }

  /**
   * Returns whether the heartbeat lacks a task that was reported before and has not exited. Within
   * an epoch a machine reports a task until it is told to forget it, so such a heartbeat is from
   * another incarnation: either it was delayed, or the machine restarted and has since sent more
   * messages than before the restart.
   */
  private static boolean lacksReportedAttempt(Machine machine, Heartbeat heartbeat) {
    if (!machine.token.isOfCurrentIncarnation(heartbeat)
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
