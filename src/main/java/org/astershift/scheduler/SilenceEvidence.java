package org.astershift.scheduler;

/** Evaluates what is known about a machine whose heartbeats are missing. */
final class SilenceEvidence {
  /**
   * Number of unanswered direct commands after which an unreconciled machine may be released early.
   */
  private static final int FENCE_TRIES = 2;

  /**
   * Silence after which an unreconciled machine that left {@link #FENCE_TRIES} direct commands
   * unanswered may be released early, provided that few machines are unreconciled. No inherited job
   * continues until such a machine is gone.
   */
  private static final long FENCE_TIMEOUT_MS = 2200;

  private final ClusterState cluster;

  SilenceEvidence(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Returns whether the machine has sent nothing for too long, even though it was probed. */
  boolean isSilent(Machine machine, long nowMs) {
    if (machine.state == Machine.State.UNRECONCILED
        && machine.directCommands.unansweredCount() >= FENCE_TRIES
        && cluster.heartbeatTiming.silenceMs(machine, nowMs) > FENCE_TIMEOUT_MS
        && cluster.hasFewUnreconciledMachines()) {
      return true;
    }
    // Requires a failed probe: a busy leader may not have probed healthy machines yet.
    return machine.state != Machine.State.BOOTING
        && cluster.heartbeatTiming.silenceMs(machine, nowMs)
            > cluster.heartbeatTiming.releaseTimeoutMs()
        && (hasUnansweredProbe(machine, nowMs) || machine.address == null);
  }

  /**
   * Returns whether a probe of the machine failed. While another node may be the leader and receive
   * the machine's heartbeats, a command lost before the heartbeats stopped does not count, because
   * the machine may have been restarting at that time.
   */
  private boolean hasUnansweredProbe(Machine machine, long nowMs) {
    return cluster.incarnations.isLeaseUncertain(nowMs)
        ? machine.directCommands.hasUnansweredWhileSilent()
        : machine.directCommands.unansweredCount() > 0;
  }

  /** Returns whether a valid probe result says that a peer reached the machine. */
  boolean isReachedByPeers(Machine machine, long nowMs) {
    return machine.peerProbeResults.isReached(machine.lastContactMs(), nowMs);
  }

  /**
   * Returns whether a valid probe result says that no peer reached the machine, in a probe late
   * enough that a restart of the machine cannot explain the failure.
   */
  boolean isUnreachedByPeers(Machine machine, long nowMs) {
    return machine.peerProbeResults.isUnreached(
        cluster.heartbeatTiming.restartExcludedFromMs(machine), nowMs);
  }
}
