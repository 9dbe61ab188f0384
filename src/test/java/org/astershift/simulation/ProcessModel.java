package org.astershift.simulation;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.astershift.config.ClockBounds;
import org.astershift.store.StoreClient;

/**
 * A process of a controller: its clock, what it does later, and its requests to other hosts. It may
 * stand still while its clock runs on, or crash and start anew, without what it was about to do.
 */
abstract class ProcessModel {
  static final long STORE_MS = 1500;

  final String name;
  final Simulation world;
  private final double drift;
  private int incarnation;
  private boolean crashed;
  private long frozenUntilMs;

  /** When the state service last answered. */
  private long servedMs;

  ProcessModel(Simulation world, String name) {
    this.world = world;
    this.name = name;
    this.drift = (world.random.nextDouble() - 0.5) * ClockBounds.CLOCK_DRIFT_SHARE;
  }

  /** A process begins, with nothing of what an earlier one was about to do. */
  final void begin() {
    crashed = false;
    incarnation++;
    servedMs = clock();
  }

  /** Which process of this controller it is, for {@link #here}. */
  final int incarnation() {
    return incarnation;
  }

  void crash() {
    world.note(name, "crashes");
    crashed = true;
    incarnation++;
  }

  void freeze(long forMs) {
    world.note(name, "stands still for " + forMs + " ms");
    frozenUntilMs = world.now() + forMs;
    world.after(forMs, world::changed);
  }

  boolean crashed() {
    return crashed;
  }

  boolean up() {
    return !crashed && world.now() >= frozenUntilMs;
  }

  /** Its steady clock. */
  long clock() {
    return (long) (world.now() * (1 + drift));
  }

  /** What happens in this process: not after its end, and late if it stands still. */
  void here(int of, Runnable body) {
    if (incarnation != of) {
      return;
    }
    if (world.now() < frozenUntilMs) {
      world.after(frozenUntilMs - world.now(), () -> here(of, body));
    } else {
      body.run();
    }
  }

  void later(long delayMs, Runnable body) {
    int of = incarnation;
    world.after(delayMs, () -> here(of, body));
  }

  void every(long ms, Runnable body) {
    later(
        ms + world.random.nextLong(20),
        () -> {
          body.run();
          every(ms, body);
        });
  }

  /** A request of this process to another host. */
  <A> void call(String to, long timeoutMs, Simulation.Service<A> service, Consumer<A> done) {
    int of = incarnation;
    world.call(name, to, timeoutMs, service, a -> here(of, () -> done.accept(a)));
  }

  /** A request to the state service; null: no answer, or 503, so its effect is unknown. */
  <A> void state(Supplier<A> request, Consumer<A> done) {
    state(STORE_MS, request, done);
  }

  <A> void state(long timeoutMs, Supplier<A> request, Consumer<A> done) {
    call(
        "state",
        timeoutMs,
        answer -> {
          if (world.store.refuses(name)) {
            answer.accept(null);
          } else if (!world.store.isDown()) {
            A a = request.get();
            world.after(slow(), () -> answer.accept(a));
          }
        },
        (A a) -> {
          if (a != null) {
            served();
          }
          done.accept(a);
        });
  }

  /** What the state service takes beside, at such a moment. */
  long slow() {
    return world.store.slowMs == 0 ? 0 : world.random.nextLong(world.store.slowMs);
  }

  /** The state service has answered. */
  void served() {
    servedMs = clock();
  }

  /** When it last did. */
  long servedMs() {
    return servedMs;
  }

  /** It has not for too long. */
  boolean lost() {
    return clock() - servedMs > StoreClient.STORE_OUTAGE_CHECK_AFTER_MS;
  }
}
