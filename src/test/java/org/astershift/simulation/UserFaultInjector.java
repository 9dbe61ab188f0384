package org.astershift.simulation;

import java.util.List;

/**
 * Injects bursts of user requests, and faults that coincide with them. The position of a kind in
 * the list is its bit in the seed's set of kinds.
 */
final class UserFaultInjector {
  /** Number of kinds of faults. */
  static final int KINDS = 7;

  /** Number of jobs in a stream, which lasts a quarter of a minute. */
  private static final int STREAM_JOBS = 60;

  private static final int FIRST_STREAM_JOB = 100;
  private static final long STREAM_TASK_MS = 3000;
  private static final int LEADER_CHANGES = 10;

  private final Simulation simulation;
  private final FaultInjector faults;
  private final long healedMs;
  private int streamedJobs;
  private final List<Fault> faultsByKind =
      List.of(
          (leader, durationMs) -> queryClosely(durationMs),
          (leader, durationMs) -> loseWriteAnswers(durationMs),
          (leader, durationMs) -> cancelNow(),
          (leader, durationMs) -> cancelAtEnd(durationMs),
          (leader, durationMs) -> streamJobs(),
          (leader, durationMs) -> cancelAndRefuse(leader),
          (leader, durationMs) -> changeLeaders(durationMs));

  /** Creates an injector; faults that would begin at {@code healedMs} or later are left out. */
  UserFaultInjector(Simulation simulation, FaultInjector faults, long healedMs) {
    this.simulation = simulation;
    this.faults = faults;
    this.healedMs = healedMs;
  }

  private interface Fault {
    void inject(ControllerModel leader, long durationMs);
  }

  /** Injects a fault of this kind. */
  void inject(int kind) {
    long durationMs = 5000 + simulation.random.nextLong(45_000);
    ControllerModel leader =
        simulation.leaders().stream().findFirst().orElse(simulation.controllers.get(0));
    faultsByKind.get(kind).inject(leader, durationMs);
  }

  /** Returns how many jobs the streams have added to the scenario's other jobs. */
  int streamedJobs() {
    return streamedJobs;
  }

  private void queryClosely(long durationMs) {
    UserModel users = simulation.users;
    users.closeQueryShare = 0.2 + 0.8 * simulation.random.nextDouble();
    users.cancelOnAcceptShare = 0.3;
    simulation.after(
        durationMs,
        () -> {
          users.closeQueryShare = 0;
          users.cancelOnAcceptShare = 0;
        });
  }

  private void loseWriteAnswers(long durationMs) {
    simulation.store.unansweredShare = 0.05 + 0.4 * simulation.random.nextDouble();
    simulation.after(durationMs, () -> simulation.store.unansweredShare = 0);
  }

  private void cancelNow() {
    simulation.users.cancelRunningJobs(2 + simulation.random.nextInt(8));
  }

  private void cancelAtEnd(long durationMs) {
    simulation.users.cancelAtEndShare = 0.1 + 0.5 * simulation.random.nextDouble();
    simulation.after(durationMs, () -> simulation.users.cancelAtEndShare = 0);
  }

  private void streamJobs() {
    streamedJobs += STREAM_JOBS;
    simulation.users.submitStream(FIRST_STREAM_JOB, STREAM_JOBS, STREAM_TASK_MS);
  }

  /**
   * Cancels jobs while the store refuses the leader; a second later the store is unavailable to all
   * controllers, for longer than the deadline of a cancellation.
   */
  private void cancelAndRefuse(ControllerModel leader) {
    simulation.users.cancelRunningJobs(2 + simulation.random.nextInt(6));
    beforeHealing(simulation.random.nextLong(100), () -> faults.refuseAtStore(leader, 3000));
    beforeHealing(1000, () -> faults.storeOutage(InvariantChecker.CANCEL_DEADLINE_MS + 2000));
  }

  private void changeLeaders(long durationMs) {
    for (int i = 0; i < LEADER_CHANGES; i++) {
      boolean crashes = simulation.random.nextBoolean();
      beforeHealing(
          i * durationMs / LEADER_CHANGES + simulation.random.nextLong(500),
          () ->
              simulation
                  .leaders()
                  .forEach(crashes ? faults::crashAndRestart : ControllerModel::resign));
    }
  }

  private void beforeHealing(long afterMs, Runnable body) {
    simulation.after(
        afterMs,
        () -> {
          if (simulation.now() < healedMs) {
            body.run();
          }
        });
  }
}
