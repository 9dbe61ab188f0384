package org.astershift.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * Incarnations of a worker's process. One may pause: what is sent to it waits for it to resume, and
 * its tasks' run time stops, while its steady clock runs on.
 */
final class PausableProcess {
  private final Simulation simulation;
  private final String name;
  private final Runnable onPaused;
  private final Runnable onResumed;
  private boolean isAlive;
  private int incarnation;

  /** -1: it does not pause. */
  private long pausedSinceMs = -1;

  private long pausedUntilMs;

  /** For how long this incarnation paused before. */
  private long totalPausedMs;

  private long resumedMs = -1;
  private int pauses;

  /** What waits for it to resume. */
  private final List<Runnable> deferred = new ArrayList<>();

  /** {@code onResumed} runs before anything that was deferred. */
  PausableProcess(Simulation simulation, String name, Runnable onPaused, Runnable onResumed) {
    this.simulation = simulation;
    this.name = name;
    this.onPaused = onPaused;
    this.onResumed = onResumed;
  }

  void start() {
    isAlive = true;
  }

  /** It ends, with all that was under way in it. */
  void end() {
    isAlive = false;
    pausedSinceMs = -1;
    pausedUntilMs = 0;
    totalPausedMs = 0;
    deferred.clear();
    incarnation++;
  }

  void pause(long forMs) {
    if (!isAlive) {
      return;
    }
    simulation.log(name, "pauses for " + forMs + " ms");
    pausedUntilMs = Math.max(pausedUntilMs, simulation.now() + forMs);
    if (!isPaused()) {
      pausedSinceMs = simulation.now();
      pauses++;
      onPaused.run();
    }
    int startedIn = incarnation;
    simulation.after(forMs, () -> resume(startedIn));
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

  /** How often it has paused. */
  int pauses() {
    return pauses;
  }

  /** Whether it has resumed in this very millisecond. */
  boolean hasResumedNow() {
    return resumedMs == simulation.now();
  }

  /** Runs this at once, when it resumes, or never if that incarnation has ended. */
  void runIn(int startedIn, Runnable body) {
    if (isAlive && incarnation == startedIn) {
      if (isPaused()) {
        deferred.add(body);
      } else {
        body.run();
      }
    }
  }

  /** Runs this after so much time, or when it resumes after that. */
  void after(long ms, Runnable body) {
    int startedIn = incarnation;
    simulation.after(ms, () -> runIn(startedIn, body));
  }

  /** For how long this incarnation has not paused: what run time is counted by. */
  private long runTimeMs() {
    return simulation.now() - totalPausedMs - (isPaused() ? simulation.now() - pausedSinceMs : 0);
  }

  /** Runs this after so much run time. */
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
                    whenRunTimeReaches(startedIn, atMs, body); // it paused meanwhile
                  } else {
                    body.run();
                  }
                }));
  }
}
