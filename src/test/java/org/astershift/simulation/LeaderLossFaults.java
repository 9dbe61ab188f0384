package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.astershift.scheduler.JobKind;

/**
 * Set-up and assertions of the tests in which a leader is lost in different ways while jobs end,
 * are cancelled and run on.
 */
final class LeaderLossFaults {
  private LeaderLossFaults() {}

  static final int MACHINES = 12;

  /** How the leader is lost. */
  enum LeaderLoss {
    CRASHES,
    RESTARTS_AT_ONCE,
    HANDS_OVER,
    /**
     * The leader is cut off from the store and the other controllers; workers and users still reach
     * it.
     */
    PARTITIONED,
    /** The leader crashes while the store is unavailable to all. */
    CRASHES_IN_STORE_OUTAGE
  }

  /**
   * Creates a simulation with arrays that end ({@code wk-10..15}), arrays for the test to cancel
   * around the loss of the leader (20..23) and arrays that run on (30..32), beside a service and,
   * under even seeds, a team limit. {@code keepShare} is the share of the heartbeats of which a
   * duplicate is kept for the next leader.
   */
  static Simulation createLoadedSimulation(long seed, double keepShare, Mutation... mutations) {
    Simulation simulation = CombinedFaults.createSimulation(seed, MACHINES, mutations);
    simulation.teamCpuLimit = seed % 2 == 0 ? 44 : 0;
    simulation.runTo(4);
    simulation.delayedHeartbeats.keepShare = keepShare;
    simulation.submit(JobDraft.job("wk-1", JobKind.SERVICE, MACHINES), null);
    for (int i = 10; i < 16; i++) {
      simulation.submitAsUser(JobDraft.job("wk-" + i, JobKind.ARRAY, 2), 6_000L, () -> {});
    }
    for (int i = 20; i < 24; i++) {
      simulation.submitAsUser(JobDraft.job("wk-" + i, JobKind.ARRAY, 2), 300_000L, () -> {});
    }
    for (int i = 30; i < 33; i++) {
      simulation.submitAsUser(JobDraft.job("wk-" + i, JobKind.ARRAY, 3), 25_000L, () -> {});
    }
    simulation.runTo(9);
    assertNotNull(newestLeader(simulation), simulation.recentLog());
    return simulation;
  }

  /** Returns the leader with the highest fencing token; null if no controller leads. */
  static ControllerModel newestLeader(Simulation simulation) {
    return simulation.leaders().stream()
        .max(Comparator.comparingLong(ControllerModel::token))
        .orElse(null);
  }

  static boolean hasNewerLeader(Simulation simulation, long token) {
    return newestLeader(simulation) != null && newestLeader(simulation).token() > token;
  }

  static void assertJobsDone(Simulation simulation, int first, int last) {
    for (int i = first; i <= last; i++) {
      for (ControllerModel controller : simulation.controllers) {
        assertEquals(
            "done", simulation.checker.lastState("wk-" + i, controller.name), simulation.fullLog());
      }
    }
  }

  static void assertAllJobsServed(Simulation simulation) {
    assertNoViolations(simulation);
    assertJobsDone(simulation, 10, 15);
    assertJobsDone(simulation, 30, 32);
    for (int i = 20; i < 24; i++) {
      assertNotNull(simulation.checker.cancelConfirmedMs("wk-" + i), simulation.fullLog());
      assertEquals(0, simulation.checker.tasksOnMachines("wk-" + i), simulation.fullLog());
    }
    assertEquals(MACHINES, simulation.checker.tasksOnMachines("wk-1"), simulation.fullLog());
    assertEquals(
        1,
        simulation.controllers.stream().filter(ControllerModel::leads).count(),
        simulation.recentLog());
  }

  /**
   * Ends the leadership of {@code old}; the next leader is another controller, or the same one
   * restarted.
   */
  static void apply(Simulation simulation, ControllerModel old, LeaderLoss loss) {
    switch (loss) {
      case RESTARTS_AT_ONCE -> {
        old.crash();
        simulation.after(100 + simulation.random.nextLong(400), old::start);
      }
      case HANDS_OVER -> old.resign();
      case PARTITIONED -> {
        List<String> unreachable = new ArrayList<>(List.of("state"));
        simulation.controllers.stream()
            .filter(controller -> controller != old)
            .forEach(controller -> unreachable.add(controller.name));
        unreachable.forEach(other -> simulation.cutBoth(old.name, other));
        simulation.after(
            20_000, () -> unreachable.forEach(other -> simulation.healBoth(old.name, other)));
      }
      default -> {
        if (loss == LeaderLoss.CRASHES_IN_STORE_OUTAGE) {
          simulation.store.setUnavailable(true);
          simulation.after(3000, () -> simulation.store.setUnavailable(false));
        }
        simulation.after(loss == LeaderLoss.CRASHES ? 0 : 1500, old::crash);
        simulation.after(6000, old::start);
      }
    }
  }

  /**
   * Schedules the cancellation of the jobs {@code first} to {@code last} by their users, each
   * within {@code withinMs}.
   */
  static void cancelJobs(Simulation simulation, int first, int last, long withinMs) {
    for (int i = first; i <= last; i++) {
      String job = "wk-" + i;
      simulation.after(simulation.random.nextLong(withinMs), () -> simulation.cancelAsUser(job));
    }
  }
}
