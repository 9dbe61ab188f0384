package org.astershift.scheduler;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * When a machine counts as silent, and from when on its silence cannot be explained by a restart.
 * All times are milliseconds of the steady clock.
 */
final class HeartbeatTiming {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatTiming.class);

  /** Workers send a heartbeat at the latest after this many intervals. */
  private static final double HEARTBEAT_DELAY_FACTOR = 1.25;

  /** From the suspicion of a silent machine to its release. */
  private static final long SILENT_AFTER_MS = 1200;

  /** The longest restart of a machine: until it is over, a failed probe proves nothing. */
  private static final long MACHINE_RESTART_MS = 1000;

  /**
   * Leases without an answered heartbeat after which a machine that still answers commands gets no
   * new tasks. Workers looking for a new leader are silent for less than that.
   */
  private static final double OUTBOUND_PARTITION_LEASES = 0.5;

  private final DeploymentLimits limits;
  private long resumedMs = Long.MIN_VALUE / 2;

  HeartbeatTiming(DeploymentLimits limits) {
    this.limits = limits;
  }

  /** This process was suspended: heartbeats of that time are unread, so silence counts from now. */
  void onProcessResumed(long nowMs) {
    resumedMs = nowMs;
  }

  /** Time without any message of the machine while this process was running. */
  long silenceMs(Machine machine, long nowMs) {
    return nowMs - Math.max(resumedMs, machine.lastContactMs());
  }

  /** Whether the machine should have sent a heartbeat by now, with a margin. */
  boolean isHeartbeatOverdue(Machine machine, long nowMs) {
    return silenceMs(machine, nowMs) > suspicionTimeoutMs();
  }

  /** Time for which the machine is unreconciled, counted while this process was running. */
  long unreconciledMs(Machine machine, long nowMs) {
    return nowMs - Math.max(resumedMs, machine.unreconciledSinceMs);
  }

  /**
   * Whether the machine's heartbeats do not arrive, though it may answer commands. Answers to
   * commands renew no lease, so a task started there would end with a lease that is half over.
   */
  boolean isOutboundPartitioned(Machine machine, long nowMs) {
    long sinceMs = nowMs - Math.max(resumedMs, machine.leaseRenewedMs);
    return sinceMs > limits.leaseS() * 1000 * OUTBOUND_PARTITION_LEASES;
  }

  /** Logs when a machine becomes outbound-partitioned and when that is over. */
  void logOutboundPartition(Machine machine, long nowMs) {
    boolean partitioned = isOutboundPartitioned(machine, nowMs);
    if (machine.state == Machine.State.LIVE
        && partitioned != machine.outboundPartitionLogged
        && !isHeartbeatOverdue(machine, nowMs)) {
      machine.outboundPartitionLogged = partitioned;
      LOG.info(
          partitioned
              ? "outbound partition, no new tasks: machine={}"
              : "outbound partition over: machine={}",
          machine.name);
    }
  }

  /**
   * The earliest time of a failed probe that a restart of the machine cannot explain: one that
   * began after its last message is over by then. Where no heartbeat was due after that message,
   * because this leader is cut off from the machine or gets only its answers, the restart may also
   * have begun as late as the first failed probe of the peers.
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

  /** Silence after which a machine that does not answer a probe either may be released. */
  long releaseTimeoutMs() {
    return suspicionTimeoutMs() + SILENT_AFTER_MS;
  }

  /** Silence after which a machine is probed. */
  private long suspicionTimeoutMs() {
    return maxHeartbeatIntervalMs() + Scheduler.SUSPECT_AFTER_MS;
  }

  private long maxHeartbeatIntervalMs() {
    return (long) (limits.heartbeatIntervalS() * 1000 * HEARTBEAT_DELAY_FACTOR);
  }
}
