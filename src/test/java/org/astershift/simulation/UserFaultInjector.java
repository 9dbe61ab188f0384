package org.astershift.simulation;

import java.util.List;

/**
 * Bursts of user requests, and faults that meet them. The place of a kind in the list is its bit in
 * the seed's set of kinds.
 */
final class UserFaultInjector {
  /** Kinds there are. */
  static final int KINDS = 7;

  /** Jobs of a stream: a quarter of a minute of it. */
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
          (leader, forMs) -> queryClosely(forMs),
          (leader, forMs) -> loseWriteAnswers(forMs),
          (leader, forMs) -> cancelNow(),
          (leader, forMs) -> cancelAtEnd(forMs),
          (leader, forMs) -> streamJobs(),
          (leader, forMs) -> cancelAndRefuse(leader),
          (leader, forMs) -> changeLeaders(forMs));

  /** {@code healedMs}: faults that would come later do not come at all. */
  UserFaultInjector(Simulation simulation, FaultInjector faults, long healedMs) {
    this.simulation = simulation;
    this.faults = faults;
    this.healedMs = healedMs;
  }

  private interface Fault {
    void inject(ControllerModel leader, long forMs);
  }

  /** Injects a fault of this kind. */
  void inject(int kind) {
    long forMs = 5000 + simulation.random.nextLong(45_000);
    ControllerModel leader =
        simulation.leaders().stream().findFirst().orElse(simulation.controllers.get(0));
    faultsByKind.get(kind).inject(leader, forMs);
  }

  /** Jobs that streams have added to the others. */
  int streamedJobs() {
    return streamedJobs;
  }

  private void queryClosely(long forMs) {
    UserModel users = simulation.users;
    users.closeQueryShare = 0.2 + 0.8 * simulation.random.nextDouble();
    users.cancelOnAcceptShare = 0.3;
    simulation.after(
        forMs,
        () -> {
          users.closeQueryShare = 0;
          users.cancelOnAcceptShare = 0;
        });
  }

  private void loseWriteAnswers(long forMs) {
    simulation.store.unansweredShare = 0.05 + 0.4 * simulation.random.nextDouble();
    simulation.after(forMs, () -> simulation.store.unansweredShare = 0);
  }

  private void cancelNow() {
    simulation.users.cancelRunningJobs(2 + simulation.random.nextInt(8));
  }

  private void cancelAtEnd(long forMs) {
    simulation.users.cancelAtEndShare = 0.1 + 0.5 * simulation.random.nextDouble();
    simulation.after(forMs, () -> simulation.users.cancelAtEndShare = 0);
  }

  private void streamJobs() {
    streamedJobs += STREAM_JOBS;
    simulation.users.submitStream(FIRST_STREAM_JOB, STREAM_JOBS, STREAM_TASK_MS);
  }

  /** Jobs are cancelled as the store refuses the leader, and a second later all, for long. */
  private void cancelAndRefuse(ControllerModel leader) {
    simulation.users.cancelRunningJobs(2 + simulation.random.nextInt(6));
    beforeHealing(simulation.random.nextLong(100), () -> faults.refuseAtStore(leader, 3000));
    beforeHealing(1000, () -> faults.storeOutage(InvariantChecker.CANCEL_DEADLINE_MS + 2000));
  }

  private void changeLeaders(long forMs) {
    for (int i = 0; i < LEADER_CHANGES; i++) {
      boolean crashes = simulation.random.nextBoolean();
      beforeHealing(
          i * forMs / LEADER_CHANGES + simulation.random.nextLong(500),
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
