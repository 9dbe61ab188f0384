package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.astershift.simulation.LeaderLossFaults.MACHINES;
import static org.astershift.simulation.LeaderLossFaults.createLoadedSimulation;
import static org.astershift.simulation.LeaderLossFaults.hasNewerLeader;
import static org.astershift.simulation.LeaderLossFaults.newestLeader;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.astershift.scheduler.JobKind;
import org.junit.jupiter.api.Test;

/**
 * A start command arrives long after it was sent, at another incarnation of its machine. Each case
 * asserts that its faults occurred together.
 */
class DelayedStartCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 60;
  private static final long SEED_OF_HELD_START = 4288;

  /**
   * What a leader sends to a machine is held in flight, and the leader hands over; the next leader
   * makes the machine show its token and starts the tasks elsewhere; the machine restarts, and what
   * was held arrives, also before the new incarnation has had an answer.
   */
  @Test
  void heldStartIsNotExecutedByAnyIncarnation() {
    int protectedAndElsewhere = 0;
    int unprotectedAndElsewhere = 0;
    for (long seed = 1; seed <= 20 * SEEDS; seed++) {
      DelayedStart start = playDelayedStart(seed, false);
      assertNoViolations(start.simulation);
      if (start.startedElsewhere) {
        protectedAndElsewhere += start.unprotected ? 0 : 1;
        unprotectedAndElsewhere += start.unprotected ? 1 : 0;
      }
    }
    assertTrue(
        protectedAndElsewhere > 20 && unprotectedAndElsewhere > 10,
        "arrived at a machine with a token: "
            + protectedAndElsewhere
            + ", without: "
            + unprotectedAndElsewhere);
    assertDetected(
        Mutation.DIRECT_STARTS,
        MUTANT_SEEDS,
        "ran_twice",
        seed -> playDelayedStart(seed, false, Mutation.DIRECT_STARTS).simulation);
  }

  /** Guards against a held start that reaches a restarted machine while no controller leads. */
  @Test
  void heldStartOfCancelledJobIsNotExecutedByRestartedMachine() {
    assertNoViolations(RandomizedScenario.play(SEED_OF_HELD_START).simulation);
  }

  /**
   * {@code unprotected}: when the held messages arrived, the machine had no token and was in its
   * first epoch; {@code startedElsewhere}: the job's tasks were on other machines.
   */
  private record DelayedStart(
      Simulation simulation, boolean unprotected, boolean startedElsewhere) {}

  private static DelayedStart playDelayedStart(
      long seed, boolean connections, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, 0, mutations);
    simulation.connectionOriented = connections;
    simulation.runTo(20);
    ControllerModel old = newestLeader(simulation);
    final long token = old.token();
    List<WorkerModel> unreachable = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      WorkerModel machine = simulation.workers.get("vm-" + (seed + 3 * i) % MACHINES);
      unreachable.add(machine);
      simulation.cut(old.name, machine.name);
    }
    simulation.submit(JobDraft.job("wk-50", JobKind.ARRAY, 12), 300_000L);
    simulation.runTo(20.4 + simulation.random.nextInt(600) / 1000.0);
    old.resign();
    assertTrue(
        simulation.runUntil(() -> hasNewerLeader(simulation, token), 40), simulation.recentLog());
    simulation.runUntil(
        () ->
            !newestLeader(simulation).isReconciling()
                && simulation.checker.tasksOnMachines("wk-50") == 12,
        60);
    WorkerModel restarted = unreachable.get(0);
    long restartInMs = 1000 + simulation.random.nextLong(2000);
    long healInMs = restartInMs + 100 - 1000 + simulation.random.nextLong(4000);
    simulation.after(restartInMs, () -> restarted.restart(100));
    final long restartMs = simulation.now() + restartInMs + 100;
    boolean elsewhere = simulation.checker.tasksOnMachines("wk-50") == 12;
    simulation.runTo((simulation.now() + healInMs) / 1000.0);
    boolean restartedBefore = simulation.now() >= restartMs;
    boolean unprotected =
        restartedBefore && restarted.fencingToken() == 0 && restarted.epoch() == 1;
    // A message is in flight for a few milliseconds, so it may arrive on the other side of the
    // restart.
    unprotected |= Math.abs(simulation.now() - restartMs) <= 10;
    simulation.heal(old.name, restarted.name);
    simulation.runTo(60);
    return new DelayedStart(simulation, unprotected, elsewhere);
  }

  /**
   * The same over connections, each of which belongs to the incarnation of the machine that
   * accepted it. The leader hands over while its connection attempt is held in flight, or it pauses
   * during the attempt; its successor starts the task elsewhere, the machine restarts, the new
   * incarnation accepts the connection, and the old leader resumes. No task runs twice, whenever
   * that happens.
   */
  @Test
  void delayedStartOverConnectionNeverMeetsNewIncarnation() {
    int elsewhere = 0;
    for (long seed = 1; seed <= 5 * SEEDS; seed++) {
      assertNoViolations(playDelayedStart(seed, true).simulation);
      PausedLeader pausedLeader = playPausedLeader(seed);
      assertNoViolations(pausedLeader.simulation);
      elsewhere += pausedLeader.startedElsewhere ? 1 : 0;
    }
    assertTrue(elsewhere > 20, elsewhere + " times all tasks of the job were started elsewhere");
    assertDetected(
        Mutation.DIRECT_STARTS,
        MUTANT_SEEDS,
        seed -> playPausedLeader(seed, Mutation.DIRECT_STARTS).simulation);
  }

  private record PausedLeader(Simulation simulation, boolean startedElsewhere) {}

  private static PausedLeader playPausedLeader(long seed, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, 0, mutations);
    simulation.connectionOriented = true;
    simulation.runTo(20);
    ControllerModel old = newestLeader(simulation);
    final long token = old.token();
    List<WorkerModel> unreachable = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      WorkerModel machine = simulation.workers.get("vm-" + (seed + 3 * i) % MACHINES);
      unreachable.add(machine);
      simulation.cut(old.name, machine.name);
    }
    simulation.submit(JobDraft.job("wk-50", JobKind.ARRAY, 12), 300_000L);
    simulation.runTo(20.4 + simulation.random.nextInt(600) / 1000.0);
    long pauseMs = 9000 + simulation.random.nextLong(3000);
    old.pause(pauseMs);
    for (WorkerModel machine : unreachable) {
      long restartMs = pauseMs - 100 - simulation.random.nextLong(1500);
      simulation.after(restartMs, () -> machine.restart(50));
      simulation.after(
          restartMs + 60 + simulation.random.nextLong(500),
          () -> simulation.heal(old.name, machine.name));
    }
    simulation.runTo((simulation.now() + pauseMs - 1700) / 1000.0);
    final boolean elsewhere =
        hasNewerLeader(simulation, token) && simulation.checker.tasksOnMachines("wk-50") == 12;
    simulation.runTo(60);
    return new PausedLeader(simulation, elsewhere);
  }
}
