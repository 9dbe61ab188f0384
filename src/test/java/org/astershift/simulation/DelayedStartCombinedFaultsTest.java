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
 * counts that its faults met.
 */
class DelayedStartCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 60;

  /**
   * A direct start is held on its way, its leader hands over, the next one makes the machine show
   * its token and starts the task elsewhere; the machine restarts, and the start arrives. No
   * invariant is violated unless it does so before the new incarnation has had an answer, in its
   * first epoch: then nothing tells it from any other (docs/design.md, "A start under an earlier
   * token").
   */
  @Test
  void delayedStartIsRefusedOnceNewIncarnationIsAnswered() {
    int[] refused = new int[2];
    int open = 0;
    int twice = 0;
    for (long seed = 1; seed <= 20 * SEEDS; seed++) {
      DelayedStart start = playDelayedStart(seed, false);
      boolean broken = !start.simulation.checker.violations.isEmpty();
      if (!start.unprotected) {
        assertNoViolations(start.simulation);
        refused[start.restarted ? 1 : 0] += start.startedElsewhere ? 1 : 0;
      } else {
        open++;
        twice += broken ? 1 : 0;
        assertTrue(
            start.sinceRestartMs <= start.simulation.setup.leaseMs(), start.simulation.fullLog());
      }
    }
    assertTrue(refused[0] > 10 && refused[1] > 10, "refused before and after: " + refused[0]);
    assertTrue(twice > 0, "of " + open + " none ran twice: docs/design.md says that some do");
  }

  /**
   * {@code unprotected}: as it arrived the machine had no token and its first epoch; {@code
   * restarted}: it had restarted before; {@code startedElsewhere}: its task was on another machine.
   */
  private record DelayedStart(
      Simulation simulation,
      boolean unprotected,
      boolean restarted,
      boolean startedElsewhere,
      long sinceRestartMs) {}

  private static DelayedStart playDelayedStart(long seed, boolean connections) {
    Simulation simulation = createLoadedSimulation(seed, 0);
    simulation.connectionOriented = connections;
    simulation.runTo(20);
    ControllerModel old = newestLeader(simulation);
    final long token = old.token();
    List<WorkerModel> cut = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      WorkerModel machine = simulation.workers.get("vm-" + (seed + 3 * i) % MACHINES);
      cut.add(machine);
      simulation.cut(old.name, machine.name);
    }
    simulation.submit(JobDraft.job("wk-50", JobKind.ARRAY, 12), 300_000L);
    simulation.runTo(20.4 + simulation.random.nextInt(600) / 1000.0);
    old.resign();
    assertTrue(
        simulation.runUntil(() -> hasNewerLeader(simulation, token), 40), simulation.recentLog());
    simulation.runUntil(
        () ->
            !newestLeader(simulation).reconciling()
                && simulation.checker.tasksOnMachines("wk-50") == 12,
        60);
    WorkerModel restarted = cut.get(0);
    long beginsMs = 1000 + simulation.random.nextLong(2000);
    long healsMs = beginsMs + 100 - 1000 + simulation.random.nextLong(4000);
    simulation.after(beginsMs, () -> restarted.restart(100));
    final long restartMs = simulation.now() + beginsMs + 100;
    boolean elsewhere = simulation.checker.tasksOnMachines("wk-50") == 12;
    simulation.runTo((simulation.now() + healsMs) / 1000.0);
    boolean restartedBefore = simulation.now() >= restartMs;
    boolean open = restartedBefore && restarted.fencingToken() == 0 && restarted.epoch() == 1;
    // What is on its way for a few milliseconds may arrive on the other side of that moment.
    open |= Math.abs(simulation.now() - restartMs) <= 10;
    long sinceMs = simulation.now() - restartMs;
    simulation.heal(old.name, restarted.name);
    simulation.runTo(60);
    return new DelayedStart(simulation, open, restartedBefore, elsewhere, sinceMs);
  }

  /**
   * The same over connections, each of which belongs to the incarnation of the machine that has
   * accepted it: the leader hands over with its connection attempt held on its way, or it pauses
   * while the attempt is, its successor starts the task elsewhere, the machine restarts, and that
   * incarnation accepts the connection; then the old leader goes on. No task runs twice, whenever
   * that is: what to send is decided over the connection, and by then another may lead.
   */
  @Test
  void delayedStartOverConnectionNeverMeetsNewIncarnation() {
    int withheld = 0;
    int elsewhere = 0;
    for (long seed = 1; seed <= 5 * SEEDS; seed++) {
      assertNoViolations(playDelayedStart(seed, true).simulation);
      PausedLeader still = playPausedLeader(seed);
      assertNoViolations(still.simulation);
      withheld += still.withheld;
      elsewhere += still.startedElsewhere ? 1 : 0;
    }
    assertTrue(withheld > 20, withheld + " starts were left out over such a connection");
    assertTrue(elsewhere > 20, elsewhere + " times their tasks were all started elsewhere");
    assertDetected(
        Mutation.STARTS_WITH_UNCERTAIN_LEASE,
        MUTANT_SEEDS,
        seed -> playPausedLeader(seed, Mutation.STARTS_WITH_UNCERTAIN_LEASE).simulation);
  }

  /** {@code withheld}: starts left out as the old leader went on. */
  private record PausedLeader(Simulation simulation, int withheld, boolean startedElsewhere) {}

  private static PausedLeader playPausedLeader(long seed, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, 0, mutations);
    simulation.connectionOriented = true;
    simulation.runTo(20);
    ControllerModel old = newestLeader(simulation);
    final long token = old.token();
    List<WorkerModel> cut = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      WorkerModel machine = simulation.workers.get("vm-" + (seed + 3 * i) % MACHINES);
      cut.add(machine);
      simulation.cut(old.name, machine.name);
    }
    simulation.submit(JobDraft.job("wk-50", JobKind.ARRAY, 12), 300_000L);
    simulation.runTo(20.4 + simulation.random.nextInt(600) / 1000.0);
    final int before = old.withheldStarts();
    long stillMs = 9000 + simulation.random.nextLong(3000);
    old.freeze(stillMs);
    for (WorkerModel machine : cut) {
      long restartMs = stillMs - 100 - simulation.random.nextLong(1500);
      simulation.after(restartMs, () -> machine.restart(50));
      simulation.after(
          restartMs + 60 + simulation.random.nextLong(500),
          () -> simulation.heal(old.name, machine.name));
    }
    simulation.runTo((simulation.now() + stillMs - 1700) / 1000.0);
    final boolean elsewhere =
        hasNewerLeader(simulation, token) && simulation.checker.tasksOnMachines("wk-50") == 12;
    simulation.runTo(60);
    return new PausedLeader(simulation, old.withheldStarts() - before, elsewhere);
  }
}
