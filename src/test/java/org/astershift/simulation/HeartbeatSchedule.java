package org.astershift.simulation;

/** Decides when a worker sends its next heartbeat. */
final class HeartbeatSchedule {
  /** Shortest time between two heartbeats, in milliseconds, however often the tasks change. */
  private static final long MIN_INTERVAL_MS = 500;

  private final Simulation simulation;
  private final PausableProcess process;
  private final Runnable send;
  private long sentMs;

  /** When a higher fencing token last counted as a change. */
  private long tokenReportedMs = Long.MIN_VALUE / 2;

  /** Whether no controller has accepted the last heartbeat yet. */
  private boolean awaitingAcceptance;

  /** Whether the tasks have changed since the last heartbeat was sent. */
  private boolean tasksChanged;

  /**
   * Number of the last scheduled heartbeat; a heartbeat that is rescheduled replaces the one
   * before.
   */
  private int scheduleNumber;

  HeartbeatSchedule(Simulation simulation, PausableProcess process, Runnable send) {
    this.simulation = simulation;
    this.process = process;
    this.send = send;
  }

  /** Records that a heartbeat is sent now. */
  void onSent() {
    sentMs = simulation.now();
    awaitingAcceptance = true;
    tasksChanged = false;
  }

  /**
   * Records that a controller has accepted the heartbeat: the next one is sent {@code intervalMs}
   * after it was sent, or earlier if the tasks change.
   */
  void onAccepted(long intervalMs) {
    awaitingAcceptance = false;
    sendAfter(Math.max(0, sentMs + intervalMs - simulation.now()));
    if (tasksChanged) {
      onTasksChanged();
    }
  }

  void sendAfter(long delayMs) {
    scheduleNumber++;
    int number = scheduleNumber;
    process.after(
        delayMs,
        () -> {
          if (number == scheduleNumber) {
            send.run();
          }
        });
  }

  /** Records that the tasks have changed, and schedules a heartbeat as soon as one may be sent. */
  void onTasksChanged() {
    tasksChanged = true;
    if (simulation.messageQueueing.heartbeatsOnChange && !awaitingAcceptance) {
      sendAfter(Math.max(0, sentMs + MIN_INTERVAL_MS - simulation.now()));
    }
  }

  /**
   * Schedules a heartbeat as for a change of the tasks if the token is higher than the highest so
   * far, at most once in half a lease.
   */
  void onTokenShown(long highestToken, long token) {
    if (token > highestToken
        && simulation.now() - tokenReportedMs >= simulation.setup.leaseMs() / 2) {
      tokenReportedMs = simulation.now();
      onTasksChanged();
    }
  }
}
