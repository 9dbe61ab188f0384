package org.astershift.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * Models the incarnations of a worker's process. While the process is paused, what is sent to it is
 * deferred and its tasks' run time stops, while its monotonic clock continues.
 */
final class PausableProcess {
  private final Simulation simulation;
  private final String name;
  private final Runnable onPaused;
  private final Runnable onResumed;
  private boolean isAlive;
  private int incarnation;

  /** When the current pause began; -1 if the process is not paused. */
  private long pausedSinceMs = -1;

  private long pausedUntilMs;

  /** Total duration of this incarnation's past pauses, in milliseconds. */
  private long totalPausedMs;

  private long resumedMs = -1;
  private int pauses;

  /** What has been deferred until the process resumes. */
  private final List<Runnable> deferred = new ArrayList<>();

  /** Creates a process not started yet; {@code onResumed} runs before anything deferred. */
  PausableProcess(Simulation simulation, String name, Runnable onPaused, Runnable onResumed) {
    this.simulation = simulation;
    this.name = name;
    this.onPaused = onPaused;
    this.onResumed = onResumed;
  }

  void start() {
    isAlive = true;
  }

  /** Ends the process, and with it everything in progress in this incarnation. */
  void end() {
    isAlive = false;
    pausedSinceMs = -1;
    pausedUntilMs = 0;
    totalPausedMs = 0;
    deferred.clear();
    incarnation++;
  }

  void pause(long durationMs) {
    if (!isAlive) {
      return;
    }
    simulation.log(name, "pauses for " + durationMs + " ms");
    pausedUntilMs = Math.max(pausedUntilMs, simulation.now() + durationMs);
    if (!isPaused()) {
      pausedSinceMs = simulation.now();
      pauses++;
      onPaused.run();
    }
    int startedIn = incarnation;
    simulation.after(durationMs, () -> resume(startedIn));
  }

  private void resume(int startedIn) {
    if (!isAlive || incarnation != startedIn || !isPaused() || simulation.now() < pausedUntilMs) {
      return;
    }
    simulation.log(name, "resumes");
    totalPausedMs += simulation.now() - pausedSinceMs;
    pausedSinceMs = -1;
    resumedMs = simulation.now();
    simulation.markConnectivityChanged(); // no controller can know yet
    onResumed.run();
    List<Runnable> waiting = new ArrayList<>(deferred);
    deferred.clear();
    waiting.forEach(body -> simulation.after(0, () -> runIn(startedIn, body)));
  }

  boolean isAlive() {
    return isAlive;
  }

  int incarnation() {
    return incarnation;
  }

  boolean isPaused() {
    return pausedSinceMs >= 0;
  }

  /** Returns how often the process has paused. */
  int pauses() {
    return pauses;
  }

  /** Returns whether the process has resumed in this very millisecond. */
  boolean hasResumedNow() {
    return resumedMs == simulation.now();
  }

  /** Runs the body at once, on resuming if paused, or never if the incarnation has ended. */
  void runIn(int startedIn, Runnable body) {
    if (isAlive && incarnation == startedIn) {
      if (isPaused()) {
        deferred.add(body);
      } else {
        body.run();
      }
    }
  }

  /** Runs the body after this time, or on resuming if the process is paused then. */
  void after(long ms, Runnable body) {
    int startedIn = incarnation;
    simulation.after(ms, () -> runIn(startedIn, body));
  }

  /** Returns the time without this incarnation's pauses, by which run time is measured. */
  private long runTimeMs() {
    return simulation.now() - totalPausedMs - (isPaused() ? simulation.now() - pausedSinceMs : 0);
  }

  /** Runs the body after this much run time. */
  void afterRunTime(long ms, Runnable body) {
    whenRunTimeReaches(incarnation, runTimeMs() + ms, body);
  }

  private void whenRunTimeReaches(int startedIn, long atMs, Runnable body) {
    simulation.after(
        atMs - runTimeMs(),
        () ->
            runIn(
                startedIn,
                () -> {
                  if (runTimeMs() < atMs) {
                    whenRunTimeReaches(startedIn, atMs, body); // the process was paused meanwhile
                  } else {
                    body.run();
                  }
                }));
  }
}
