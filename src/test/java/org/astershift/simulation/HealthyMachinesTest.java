package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/** Machines that other controllers reach are not released, since work runs there. */
class HealthyMachinesTest {
  private static final int MACHINES = 24;
  private static final int RESTARTED = 5;
  private static final double CUT_AFTER_S = 1.3;
  private static final double HEARTBEATS_CUT_S = 12;
  private static final int SEEDS = 3;
  private static final long RESTART_MS = 900;
  private static final long HEARTBEAT_MS = Setup.of(3, MACHINES).heartbeatMs();
  private static final long STEP_MS = 100;
  private static final long SEED_OF_WAITING_MESSAGES = 781;
  private static final long SEED_OF_RECONNECTED_ZONE = 770;

  /**
   * A machine restarts within a second, at any moment between two of its heartbeats, and then no
   * longer reaches the leader, while it reaches the other controllers. The leader and the others
   * may have probed it without success during the restart; one failed probe does not show that the
   * machine is gone.
   */
  @Test
  void restartedMachineIsNotReleasedAfterOneFailedProbe() {
    assertNothingReleased(HealthyMachinesTest::playRestart);
  }

  /**
   * Heartbeats of some machines do not reach the leader but the other controllers; the leader sees
   * these machines only through their answers to its commands. A machine that restarts then answers
   * nobody for a moment; its silence before that proves nothing, since the leader had no heartbeat
   * to expect from it.
   */
  @Test
  void machineSeenOnlyThroughCommandAnswersIsNotReleasedOnRestart() {
    assertNothingReleased(HealthyMachinesTest::playRestartUnseenByLeader);
  }

  /** The machines' messages have arrived at the leader and wait in its process to be handled. */
  @Test
  void machineWhoseMessagesWaitAtLeaderIsNotReleased() {
    Simulation simulation = RandomizedScenario.play(SEED_OF_WAITING_MESSAGES).simulation;
    assertEquals(List.of(), simulation.checker.healthyReleased, simulation.recentLog());
  }

  /** As before, for a machine of a zone that the leader reaches again. */
  @Test
  void machineOfReconnectedZoneIsNotReleasedWhileItsMessagesWait() {
    Simulation simulation = RandomizedScenario.play(SEED_OF_RECONNECTED_ZONE).simulation;
    assertEquals(List.of(), simulation.checker.healthyReleased, simulation.recentLog());
  }

  /** A scenario that is played under a seed, with restarts {@code atMs} after a fixed moment. */
  private interface Scenario {
    Simulation play(long seed, long atMs);
  }

  private static void assertNothingReleased(Scenario play) {
    List<String> released = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      for (long atMs = 0; atMs < 2 * HEARTBEAT_MS; atMs += STEP_MS) {
        Simulation simulation = play.play(seed, atMs);
        assertEquals(List.of(), simulation.checker.violations, simulation.fullLog());
        for (String machine : simulation.checker.healthyReleased) {
          released.add("seed " + seed + ", at " + atMs + " ms: " + machine);
        }
      }
    }
    assertEquals(List.of(), released);
  }

  /** Creates a simulation in which a service runs on all machines and one controller leads. */
  private static Simulation createServiceSimulation(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, MACHINES));
    simulation.runTo(4);
    simulation.submit(JobDraft.job("wk-1", JobKind.SERVICE, 2 * MACHINES), null);
    simulation.runTo(20);
    return simulation;
  }

  private static Simulation playRestartUnseenByLeader(long seed, long atMs) {
    Simulation simulation = createServiceSimulation(seed);
    ControllerModel leader = simulation.onlyLeader();
    for (int i = 0; i < RESTARTED; i++) {
      simulation.cut(restartedMachine(seed, i), leader.name);
    }
    simulation.runTo(20 + HEARTBEATS_CUT_S + atMs / 1000.0);
    restartMachines(simulation);
    simulation.runTo(20 + HEARTBEATS_CUT_S + 8);
    simulation.healAll();
    simulation.runTo(20 + HEARTBEATS_CUT_S + 20);
    return simulation;
  }

  /** Restarts several machines, each for a different time below one second. */
  private static void restartMachines(Simulation simulation) {
    for (int i = 0; i < RESTARTED; i++) {
      simulation.workers.get(restartedMachine(simulation.seed, i)).restart(RESTART_MS - 150 * i);
    }
  }

  private static String restartedMachine(long seed, int i) {
    return "vm-" + (seed + 3 * i) % MACHINES;
  }

  private static Simulation playRestart(long seed, long atMs) {
    Simulation simulation = createServiceSimulation(seed);
    ControllerModel leader = simulation.onlyLeader();
    simulation.runTo(20 + atMs / 1000.0);
    restartMachines(simulation);
    simulation.runTo(20 + atMs / 1000.0 + CUT_AFTER_S);
    simulation.workers.keySet().forEach(machine -> simulation.cut(machine, leader.name));
    simulation.runTo(20 + atMs / 1000.0 + 6);
    simulation.healAll();
    simulation.runTo(40);
    return simulation;
  }
}
