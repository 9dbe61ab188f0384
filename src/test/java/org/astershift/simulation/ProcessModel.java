package org.astershift.simulation;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.astershift.config.ClockBounds;
import org.astershift.store.StoreClient;

/**
 * Models a controller's process: its clock, its scheduled actions, and its requests to other hosts.
 * It may pause while its clock continues, or crash and restart, which discards its scheduled
 * actions.
 */
abstract class ProcessModel {
  static final long STORE_TIMEOUT_MS = 1500;

  final String name;
  final Simulation simulation;
  private final double driftShare;
  private int incarnation;
  private boolean isCrashed;
  private long pausedUntilMs;

  /** When the store last answered, by this process's clock. */
  private long storeAnsweredMs;

  ProcessModel(Simulation simulation, String name) {
    this.simulation = simulation;
    this.name = name;
    this.driftShare = (simulation.random.nextDouble() - 0.5) * ClockBounds.CLOCK_DRIFT_SHARE;
  }

  /** Begins a new incarnation of the process, without the scheduled actions of the previous one. */
  final void beginIncarnation() {
    isCrashed = false;
    incarnation++;
    storeAnsweredMs = clock();
  }

  /** Returns the current incarnation of this process, for {@link #runIn}. */
  final int incarnation() {
    return incarnation;
  }

  void crash() {
    simulation.log(name, "crashes");
    isCrashed = true;
    incarnation++;
  }

  void pause(long durationMs) {
    simulation.log(name, "pauses for " + durationMs + " ms");
    pausedUntilMs = simulation.now() + durationMs;
    simulation.after(durationMs, simulation::markConnectivityChanged);
  }

  boolean isCrashed() {
    return isCrashed;
  }

  boolean isUp() {
    return !isCrashed && simulation.now() >= pausedUntilMs;
  }

  /** Returns the time of this process's monotonic clock, in milliseconds. */
  long clock() {
    return (long) (simulation.now() * (1 + driftShare));
  }

  /**
   * Runs the body in this incarnation of the process: later if the process is paused, never if the
   * incarnation has ended.
   */
  void runIn(int startedIn, Runnable body) {
    if (incarnation != startedIn) {
      return;
    }
    if (simulation.now() < pausedUntilMs) {
      simulation.after(pausedUntilMs - simulation.now(), () -> runIn(startedIn, body));
    } else {
      body.run();
    }
  }

  void runLater(long delayMs, Runnable body) {
    int startedIn = incarnation;
    simulation.after(delayMs, () -> runIn(startedIn, body));
  }

  void runEvery(long intervalMs, Runnable body) {
    runLater(
        intervalMs + simulation.random.nextLong(20),
        () -> {
          body.run();
          runEvery(intervalMs, body);
        });
  }

  /** Sends a request from this process to another host. */
  <A> void request(String to, long timeoutMs, Simulation.Service<A> service, Consumer<A> done) {
    int startedIn = incarnation;
    simulation.call(
        name, to, timeoutMs, service, answer -> runIn(startedIn, () -> done.accept(answer)));
  }

  /**
   * Sends a request to the store; {@code done} gets null if there is no answer or the store answers
   * 503.
   */
  <A> void storeRequest(Supplier<A> request, Consumer<A> done) {
    storeRequest(STORE_TIMEOUT_MS, request, done);
  }

  <A> void storeRequest(long timeoutMs, Supplier<A> request, Consumer<A> done) {
    request(
        "state",
        timeoutMs,
        answer -> {
          if (simulation.store.refuses(name)) {
            answer.accept(null);
          } else if (!simulation.store.isUnavailable()) {
            A value = request.get();
            simulation.after(drawStoreDelayMs(), () -> answer.accept(value));
          }
        },
        (A value) -> {
          if (value != null) {
            onStoreAnswered();
          }
          done.accept(value);
        });
  }

  /** Draws the delay of a slow store's answer, in milliseconds. */
  long drawStoreDelayMs() {
    return simulation.store.answerDelayMs == 0
        ? 0
        : simulation.random.nextLong(simulation.store.answerDelayMs);
  }

  /** Records that the store has answered. */
  void onStoreAnswered() {
    storeAnsweredMs = clock();
  }

  /** Returns when the store last answered, by this process's clock. */
  long storeAnsweredMs() {
    return storeAnsweredMs;
  }

  /** Returns whether the store has not answered for too long. */
  boolean isStoreLost() {
    return clock() - storeAnsweredMs > StoreClient.STORE_UNAVAILABLE_AFTER_MS;
  }
}
