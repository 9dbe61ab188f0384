package org.astershift.controller;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.HeartbeatResponse;

/** A heartbeat whose response waits for commands, on the thread that serves its connection. */
public final class DeferredHeartbeat {
  private final LockedScheduler scheduler;
  private final Heartbeat heartbeat;
  private final long maxDelayMs;
  private final CountDownLatch released = new CountDownLatch(1);

  DeferredHeartbeat(LockedScheduler scheduler, Heartbeat heartbeat, long maxDelayMs) {
    this.scheduler = scheduler;
    this.heartbeat = heartbeat;
    this.maxDelayMs = maxDelayMs;
  }

  Heartbeat heartbeat() {
    return heartbeat;
  }

  /** Ends the wait for commands. */
  void release() {
    released.countDown();
  }

  /**
   * Waits until a command is due, the maximum delay has passed or the term has ended. Returns the
   * response, or null if the heartbeat must not be answered any more.
   */
  public HeartbeatResponse awaitResponse() throws InterruptedException {
    boolean unused = released.await(maxDelayMs, TimeUnit.MILLISECONDS);
    return scheduler.completeDeferredResponse(this);
  }
}
