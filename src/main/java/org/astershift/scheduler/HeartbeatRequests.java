package org.astershift.scheduler;

/**
 * Makes workers send a heartbeat at once, for a start that only its response may carry. A worker
 * that sees a higher fencing token does so, at most once in half of its lease.
 */
final class HeartbeatRequests {
  /** Minimum interval between two requests to one machine. */
  private static final long REQUEST_INTERVAL_MS = 1000;

  /** Time after a higher token during which a worker sends no heartbeat for another one. */
  private static final double TOKEN_CHANGE_INTERVAL_LEASES = 0.5;

  private final ClusterState cluster;

  HeartbeatRequests(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Returns whether no heartbeat was requested from the machine a moment ago. */
  static boolean isIntervalOver(Machine machine, long nowMs) {
    return machine.response.requestedForMs(nowMs) >= REQUEST_INTERVAL_MS;
  }

  /**
   * Raises the machine's token, so that its next direct command requests a heartbeat. Returns false
   * if a direct command would request none, or none is needed.
   */
  boolean prepare(Machine machine, long nowMs) {
    boolean useful =
        machine.response.deferred == null
            && isIntervalOver(machine, nowMs)
            && isTokenChangeReported(machine, nowMs)
            && !cluster.heartbeatTiming.isOutboundPartitioned(machine, nowMs);
    if (!useful || !cluster.fencingTokens.raise(machine)) {
      return false;
    }
    machine.response.onHeartbeatRequested(nowMs);
    return true;
  }

  /** Returns whether a higher token makes the worker send a heartbeat at once. */
  private boolean isTokenChangeReported(Machine machine, long nowMs) {
    double intervalMs = cluster.limits.leaseS() * 1000 * TOKEN_CHANGE_INTERVAL_LEASES;
    return machine.token.shown() >= cluster.fencingTokens.of(machine)
        && machine.token.shownForMs(nowMs) > intervalMs;
  }
}
