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
  private boolean alive;
  private int incarnation;

  /** -1: it does not pause. */
  private long pausedSinceMs = -1;

  private long pausedUntilMs;

  /** For how long this incarnation paused before. */
  private long pausedBeforeMs;

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
    alive = true;
  }

  /** It ends, with all that was under way in it. */
  void end() {
    alive = false;
    pausedSinceMs = -1;
    pausedUntilMs = 0;
    pausedBeforeMs = 0;
    deferred.clear();
    incarnation++;
  }

  void pause(long forMs) {
    if (!alive) {
      return;
    }
    simulation.log(name, "pauses for " + forMs + " ms");
    pausedUntilMs = Math.max(pausedUntilMs, simulation.now() + forMs);
    if (!paused()) {
      pausedSinceMs = simulation.now();
      pauses++;
      onPaused.run();
    }
    int startedIn = incarnation;
    simulation.after(forMs, () -> resume(startedIn));
  }

  private void resume(int startedIn) {
    if (!alive || incarnation != startedIn || !paused() || simulation.now() < pausedUntilMs) {
      return;
    }
    simulation.log(name, "resumes");
    pausedBeforeMs += simulation.now() - pausedSinceMs;
    pausedSinceMs = -1;
    resumedMs = simulation.now();
    simulation.markConnectivityChanged(); // no controller can know yet
    onResumed.run();
    List<Runnable> waiting = new ArrayList<>(deferred);
    deferred.clear();
    waiting.forEach(body -> simulation.after(0, () -> runIn(startedIn, body)));
  }

  boolean alive() {
    return alive;
  }

  int incarnation() {
    return incarnation;
  }

  boolean paused() {
    return pausedSinceMs >= 0;
  }

  /** How often it has paused. */
  int pauses() {
    return pauses;
  }

  /** Whether it has resumed in this very millisecond. */
  boolean resumedNow() {
    return resumedMs == simulation.now();
  }

  /** Runs this at once, when it resumes, or never if that incarnation has ended. */
  void runIn(int startedIn, Runnable body) {
    if (alive && incarnation == startedIn) {
      if (paused()) {
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
  private long workedMs() {
    return simulation.now() - pausedBeforeMs - (paused() ? simulation.now() - pausedSinceMs : 0);
  }

  /** Runs this after so much run time. */
  void afterWork(long ms, Runnable body) {
    whenWorked(incarnation, workedMs() + ms, body);
  }

  private void whenWorked(int startedIn, long atMs, Runnable body) {
    simulation.after(
        atMs - workedMs(),
        () ->
            runIn(
                startedIn,
                () -> {
                  if (workedMs() < atMs) {
                    whenWorked(startedIn, atMs, body); // it paused meanwhile
                  } else {
                    body.run();
                  }
                }));
  }
}
