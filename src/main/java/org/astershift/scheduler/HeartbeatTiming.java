package org.astershift.scheduler;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines when a machine counts as silent, and from which time a restart can no longer explain
 * its silence. All times are milliseconds of the monotonic clock.
 */
final class HeartbeatTiming {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatTiming.class);

  /** Largest time between two heartbeats of a worker, in heartbeat intervals. */
  private static final double HEARTBEAT_DELAY_FACTOR = 1.25;

  /** Time from the suspicion of a silent machine until it may be released. */
  private static final long SILENT_AFTER_MS = 1200;

  /** Longest duration of a machine's restart. During a restart a failed probe proves nothing. */
  private static final long MACHINE_RESTART_MS = 1000;

  /**
   * Time without an answered heartbeat, in lease durations, after which a machine that still
   * answers commands gets no new tasks. Workers that look for a new leader are silent for less than
   * this.
   */
  private static final double OUTBOUND_PARTITION_LEASES = 0.5;

  private final DeploymentLimits limits;
  private long resumedMs = Long.MIN_VALUE / 2;

  HeartbeatTiming(DeploymentLimits limits) {
    this.limits = limits;
  }

  /**
   * Records that this process was suspended until now. Heartbeats of that time have not been read,
   * so silence is counted from now.
   */
  void onProcessResumed(long nowMs) {
    resumedMs = nowMs;
  }

  /** Returns the time without any message of the machine while this process was running. */
  long silenceMs(Machine machine, long nowMs) {
    return nowMs - Math.max(resumedMs, machine.lastContactMs());
  }

  /** Returns whether a heartbeat of the machine is overdue by more than a margin. */
  boolean isHeartbeatOverdue(Machine machine, long nowMs) {
    return silenceMs(machine, nowMs) > suspicionTimeoutMs();
  }

  /** Returns how long the machine has been unreconciled while this process was running. */
  long unreconciledMs(Machine machine, long nowMs) {
    return nowMs - Math.max(resumedMs, machine.unreconciledSinceMs);
  }

  /**
   * Returns whether the machine's heartbeats do not arrive, even though it may answer commands.
   * Answers to commands do not renew the lease, so a task started there would end when the lease,
   * which is already half over, expires.
   */
  boolean isOutboundPartitioned(Machine machine, long nowMs) {
    long unrenewedMs = nowMs - Math.max(resumedMs, machine.leaseRenewedMs);
    return unrenewedMs > limits.leaseS() * 1000 * OUTBOUND_PARTITION_LEASES;
  }

  /** Logs when the outbound partition of a machine begins and ends. */
  void logOutboundPartition(Machine machine, long nowMs) {
    boolean partitioned = isOutboundPartitioned(machine, nowMs);
    if (machine.state == Machine.State.LIVE
        && partitioned != machine.outboundPartitionLogged
        && !isHeartbeatOverdue(machine, nowMs)) {
      machine.outboundPartitionLogged = partitioned;
      LOG.info(
          partitioned
              ? "outbound partition, no new tasks: machine={}"
              : "outbound partition ended: machine={}",
          machine.name);
    }
  }

  /**
   * Returns the earliest time at which a restart of the machine cannot explain a failed probe. A
   * restart that began after the machine's last message is over by then. If no heartbeat was due
   * after that message, because this leader is partitioned from the machine or receives only its
   * answers, the restart may have begun as late as the first failed probe by the peers.
   */
  long restartExcludedFromMs(Machine machine) {
    if (machine.lastContactMs() - machine.leaseRenewedMs > maxHeartbeatIntervalMs()
        || machine.peerProbeResults.wasReachedSince(machine.lastContactMs())) {
      return machine.peerProbeResults.firstUnreachedMs()
          + Scheduler.PEER_PROBE_TIMEOUT_MS
          + MACHINE_RESTART_MS;
    }
    return Math.max(resumedMs, machine.lastContactMs())
        + maxHeartbeatIntervalMs()
        + MACHINE_RESTART_MS;
  }

  /**
   * Returns the silence after which a machine that also leaves a probe unanswered may be released.
   */
  long releaseTimeoutMs() {
    return suspicionTimeoutMs() + SILENT_AFTER_MS;
  }

  /** Returns the silence after which a machine is probed. */
  private long suspicionTimeoutMs() {
    return maxHeartbeatIntervalMs() + Scheduler.SUSPECT_AFTER_MS;
  }

  private long maxHeartbeatIntervalMs() {
    return (long) (limits.heartbeatIntervalS() * 1000 * HEARTBEAT_DELAY_FACTOR);
  }
}
