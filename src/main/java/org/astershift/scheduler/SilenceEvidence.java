package org.astershift.scheduler;

/** What is known of one machine whose heartbeats are missing. */
final class SilenceEvidence {
  /** Unanswered direct commands after which an inherited machine may be released early. */
  private static final int FENCE_TRIES = 2;

  /**
   * Silence after which an inherited machine that left these unanswered may be released, if few are
   * unreconciled: until it is gone, no inherited job goes on.
   */
  private static final long FENCE_TIMEOUT_MS = 2200;

  private final ClusterState cluster;

  SilenceEvidence(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Whether the machine has sent nothing for longer than allowed, though it was probed. */
  boolean isSilent(Machine machine, long nowMs) {
    if (machine.state == Machine.State.UNRECONCILED
        && machine.directCommands.unansweredCount() >= FENCE_TRIES
        && cluster.heartbeatTiming.silenceMs(machine, nowMs) > FENCE_TIMEOUT_MS
        && cluster.hasFewUnreconciledMachines()) {
      return true;
    }
    // Only after a failed probe: a busy leader may not have come to probe healthy machines yet.
    return machine.state != Machine.State.BOOTING
        && cluster.heartbeatTiming.silenceMs(machine, nowMs)
            > cluster.heartbeatTiming.releaseTimeoutMs()
        && (hasUnansweredProbe(machine, nowMs) || machine.address == null);
  }

  /**
   * Whether a probe of the machine failed. While another node may lead and get its heartbeats, a
   * command lost before the heartbeats stopped does not count: it may have met a restart.
   */
  private boolean hasUnansweredProbe(Machine machine, long nowMs) {
    return cluster.incarnations.isLeaseUncertain(nowMs)
        ? machine.directCommands.unansweredWhileSilent()
        : machine.directCommands.unansweredCount() > 0;
  }

  /** Whether some peer has reached the machine lately. */
  boolean isReachedByPeers(Machine machine, long nowMs) {
    return machine.peerProbeResults.isReached(machine.lastContactMs(), nowMs);
  }

  /** Whether no peer could reach the machine lately, at a time that excludes a restart. */
  boolean isUnreachedByPeers(Machine machine, long nowMs) {
    return machine.peerProbeResults.isUnreached(
        cluster.heartbeatTiming.restartExcludedFromMs(machine), nowMs);
  }
}
