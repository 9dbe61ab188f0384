package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import org.astershift.config.ClockBounds;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Expires the leases that machines hold with this leader. */
final class LeaseExpiry {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseExpiry.class);

  private final ClusterState cluster;

  LeaseExpiry(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Returns the milliseconds after which a lease has certainly expired at the worker. This leader
   * counts them from the receipt of the last answered heartbeat or of the first message of an
   * epoch; both are later than the time from which the worker counts. The result includes clock
   * drift and a margin.
   */
  static long leaseMs(DeploymentLimits limits) {
    return (long) (limits.leaseS() * 1000 * (1 + 2 * ClockBounds.CLOCK_DRIFT_SHARE))
        + ClockBounds.CLOCK_MARGIN_MS;
  }

  /** Expires the leases that have run out, and logs the start and end of outbound partitions. */
  void sweep(long nowMs, long leaseCertainUntilMs) {
    for (Machine machine : cluster.allMachines()) {
      expireIfDue(machine, Math.min(nowMs, leaseCertainUntilMs));
      cluster.heartbeatTiming.logOutboundPartition(machine, nowMs);
    }
  }

  /**
   * Expires the machine's lease if it has run out, and drops the machine's tasks. An expired lease
   * proves that these are gone, but only for the time in which no other leader can have renewed it.
   *
   * @param leaseCertainMs the end of that time, or now if now is earlier
   */
  private void expireIfDue(Machine machine, long leaseCertainMs) {
    boolean leaseMatters =
        machine.state == Machine.State.LIVE || machine.state == Machine.State.RELEASING;
    long silentMs = leaseCertainMs - machine.leaseFromMs;
    if (!leaseMatters || !machine.fenced || silentMs <= leaseMs(cluster.limits)) {
      return;
    }
    List<TaskAttempt> ended = new ArrayList<>(machine.attempts.values());
    cluster.attempts.dropAll(machine, ended, DropReason.LEASE_EXPIRED);
    if (machine.state == Machine.State.LIVE || !ended.isEmpty()) {
      LOG.info("lease expired: machine={} silent_ms={}", machine.name, silentMs);
    }
    // A machine being released keeps its state: it must not be used while the cloud is unavailable.
    if (machine.state == Machine.State.LIVE) {
      cluster.enterState(machine, Machine.State.LEASE_EXPIRED);
    }
  }
}
