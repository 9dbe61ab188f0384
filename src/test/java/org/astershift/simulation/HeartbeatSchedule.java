package org.astershift.simulation;

/** When a worker sends its next heartbeat. */
final class HeartbeatSchedule {
  /** Between two heartbeats, however much changes. */
  private static final long MIN_INTERVAL_MS = 500;

  private final Simulation simulation;
  private final PausableProcess process;
  private final Runnable send;
  private long sentMs;

  /** No controller has accepted the last heartbeat yet. */
  private boolean awaitingAcceptance;

  /** The tasks have changed since the last heartbeat was sent. */
  private boolean tasksChanged;

  /** Counts those scheduled: one that was put forward replaces the one before. */
  private int scheduleNumber;

  HeartbeatSchedule(Simulation simulation, PausableProcess process, Runnable send) {
    this.simulation = simulation;
    this.process = process;
    this.send = send;
  }

  /** A heartbeat is sent now. */
  void onSent() {
    sentMs = simulation.now();
    awaitingAcceptance = true;
    tasksChanged = false;
  }

  /** A controller has accepted it: the next one follows after so long, or with a change. */
  void onAccepted(long nextAfterMs) {
    awaitingAcceptance = false;
    sendAfter(nextAfterMs);
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

  /** The tasks have changed, which the next heartbeat shows as soon as it may be sent. */
  void onTasksChanged() {
    tasksChanged = true;
    if (simulation.messageQueueing.heartbeatsOnChange && !awaitingAcceptance) {
      sendAfter(Math.max(0, sentMs + MIN_INTERVAL_MS - simulation.now()));
    }
  }
}
