package org.astershift.controller;

import org.astershift.scheduler.HeartbeatResponse;

/**
 * The result of a heartbeat.
 *
 * @param response the response if it is sent at once; null if the heartbeat must not be answered
 * @param deferred the wait for the response if it is deferred; null otherwise
 */
public record HeartbeatResult(HeartbeatResponse response, DeferredHeartbeat deferred) {
  /** The result of a heartbeat that this controller must not answer. */
  static final HeartbeatResult REJECTED = new HeartbeatResult(null, null);

  /** Returns the response, after waiting for it if it is deferred; null if there is none. */
  public HeartbeatResponse awaitResponse() throws InterruptedException {
    return deferred == null ? response : deferred.awaitResponse();
  }
}
