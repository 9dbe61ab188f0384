package org.astershift.simulation;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.astershift.config.ClockBounds;
import org.astershift.store.StoreClient;

/**
 * A process of a controller: its clock, what it does later, and its requests to other hosts. It may
 * pause while its clock runs on, or crash and restart, without what it was about to do.
 */
abstract class ProcessModel {
  static final long STORE_TIMEOUT_MS = 1500;

  final String name;
  final Simulation simulation;
  private final double driftShare;
  private int incarnation;
  private boolean isCrashed;
  private long pausedUntilMs;

  /** When the store last answered, by this clock. */
  private long storeAnsweredMs;

  ProcessModel(Simulation simulation, String name) {
    this.simulation = simulation;
    this.name = name;
    this.driftShare = (simulation.random.nextDouble() - 0.5) * ClockBounds.CLOCK_DRIFT_SHARE;
  }

  /** A process begins, with nothing of what an earlier one was about to do. */
  final void beginIncarnation() {
    isCrashed = false;
    incarnation++;
    storeAnsweredMs = clock();
  }

  /** Which process of this controller it is, for {@link #here}. */
  final int incarnation() {
    return incarnation;
  }

  void crash() {
    simulation.log(name, "crashes");
    isCrashed = true;
    incarnation++;
  }

  void pause(long forMs) {
    simulation.log(name, "pauses for " + forMs + " ms");
    pausedUntilMs = simulation.now() + forMs;
    simulation.after(forMs, simulation::markConnectivityChanged);
  }

  boolean isCrashed() {
    return isCrashed;
  }

  boolean isUp() {
    return !isCrashed && simulation.now() >= pausedUntilMs;
  }

  /** Its steady clock. */
  long clock() {
    return (long) (simulation.now() * (1 + driftShare));
  }

  /** Runs this in the process: not after its end, and later if it pauses. */
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

  void runEvery(long ms, Runnable body) {
    runLater(
        ms + simulation.random.nextLong(20),
        () -> {
          body.run();
          runEvery(ms, body);
        });
  }

  /** A request of this process to another host. */
  <A> void request(String to, long timeoutMs, Simulation.Service<A> service, Consumer<A> done) {
    int startedIn = incarnation;
    simulation.call(name, to, timeoutMs, service, a -> runIn(startedIn, () -> done.accept(a)));
  }

  /** A request to the store; {@code done} gets null without an answer, or with a 503. */
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
            A a = request.get();
            simulation.after(drawStoreDelayMs(), () -> answer.accept(a));
          }
        },
        (A a) -> {
          if (a != null) {
            onStoreAnswered();
          }
          done.accept(a);
        });
  }

  /** By how much the answer of a slow store is delayed. */
  long drawStoreDelayMs() {
    return simulation.store.answerDelayMs == 0
        ? 0
        : simulation.random.nextLong(simulation.store.answerDelayMs);
  }

  /** The store has answered. */
  void onStoreAnswered() {
    storeAnsweredMs = clock();
  }

  /** When it last did. */
  long storeAnsweredMs() {
    return storeAnsweredMs;
  }

  /** Whether the store has not answered for too long. */
  boolean isStoreLost() {
    return clock() - storeAnsweredMs > StoreClient.STORE_UNAVAILABLE_AFTER_MS;
  }
}
