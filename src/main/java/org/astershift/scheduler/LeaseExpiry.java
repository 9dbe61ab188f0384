package org.astershift.scheduler;

import org.astershift.config.ClockBounds;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The expiry of machines' leases with this leader. */
final class LeaseExpiry {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseExpiry.class);

  private final ClusterState cluster;

  LeaseExpiry(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Milliseconds after which a lease has certainly expired at the worker. It counts here from the
   * receipt of the last heartbeat answered, or of the first message of an epoch; either is later
   * than the worker's own start. Clock drift and a margin are added.
   */
  static long leaseMs(DeploymentLimits limits) {
    return (long) (limits.leaseS() * 1000 * (1 + 2 * ClockBounds.CLOCK_DRIFT_SHARE))
        + ClockBounds.CLOCK_MARGIN_MS;
  }

  /** Expires the leases that have run out and logs changes of outbound partitions. */
  void sweep(long nowMs, long leaseCertainUntilMs) {
    for (Machine machine : cluster.allMachines()) {
      expireIfDue(machine, Math.min(nowMs, leaseCertainUntilMs));
      cluster.heartbeatTiming.logOutboundPartition(machine, nowMs);
    }
  }

  /**
   * An expired lease proves that the machine's tasks are gone, but only for the time in which this
   * leader alone can have renewed it: {@code leaseCertainMs} is the end of that time, or now.
   */
  private void expireIfDue(Machine machine, long leaseCertainMs) {
    boolean leaseMatters =
        machine.state == Machine.State.LIVE || machine.state == Machine.State.RELEASING;
    long silentMs = leaseCertainMs - machine.leaseFromMs;
    if (!leaseMatters || !machine.fenced || silentMs <= leaseMs(cluster.limits)) {
      return;
    }
    int dropped = cluster.attempts.dropExceptPendingStarts(machine, DropReason.LEASE_EXPIRED);
    for (TaskAttempt attempt : machine.attempts.values()) {
      attempt.startLeaseExpired = true;
    }
    if (machine.state == Machine.State.LIVE || dropped > 0) {
      LOG.info("lease expired: machine={} silent_ms={}", machine.name, silentMs);
    }
    // A machine that is being released stays so: it must not be used while the cloud is away.
    if (machine.state == Machine.State.LIVE) {
      cluster.enterState(machine, Machine.State.LEASE_EXPIRED);
    }
  }
}
