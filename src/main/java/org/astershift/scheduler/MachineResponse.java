package org.astershift.scheduler;

/** The response to a machine's newest heartbeat, or the request for its next heartbeat. */
final class MachineResponse {
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** The response to the newest heartbeat if it waits for commands; null otherwise. */
  DeferredResponse deferred;

  private long requestedMs = NEVER_MS;

  /** Records that the machine is asked for a heartbeat. */
  void onHeartbeatRequested(long nowMs) {
    requestedMs = nowMs;
  }

  /** Returns whether a heartbeat was requested that has not arrived yet. */
  boolean isHeartbeatRequested() {
    return requestedMs > NEVER_MS;
  }

  /** Returns the time since a heartbeat was requested that has not arrived yet. */
  long requestedForMs(long nowMs) {
    return nowMs - requestedMs;
  }

  /** Starts anew, as a heartbeat has arrived or the machine has restarted. */
  void reset() {
    deferred = null;
    requestedMs = NEVER_MS;
  }
}
