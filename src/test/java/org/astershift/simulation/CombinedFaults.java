package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.LongFunction;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.MachineType;
import org.astershift.simulation.Simulation.Setup;

/** Set-up, faults and assertions that the combined-faults tests share. */
final class CombinedFaults {
  /**
   * Run time of tasks that end only when they are stopped, in milliseconds: longer than any test.
   */
  static final long ENDLESS_MS = 300_000;

  private static final int ACCELERATOR_MACHINES = 6;
  private static final double MS_PER_S = 1000.0;

  private CombinedFaults() {}

  /** A fault of the leader. */
  enum LeaderFault {
    CRASHES,
    HANDS_OVER,
    PAUSES
  }

  /**
   * Applies the fault to the leader. A leader that crashes or pauses is back after at most 10 s.
   */
  static void apply(Simulation simulation, ControllerModel leader, LeaderFault fault) {
    switch (fault) {
      case CRASHES -> {
        leader.crash();
        simulation.after(300 + simulation.random.nextLong(4000), leader::start);
      }
      case HANDS_OVER -> leader.resign();
      case PAUSES -> leader.pause(4000 + simulation.random.nextLong(6000));
    }
  }

  /**
   * Creates a simulation of three controllers at time 0, without the safety measures that the
   * mutations take away.
   */
  static Simulation createSimulation(long seed, int machines, Mutation... mutations) {
    Simulation simulation = new Simulation(seed, Setup.of(3, machines));
    simulation.mutations.addAll(List.of(mutations));
    return simulation;
  }

  /**
   * Creates a simulation with one leader, a service with one task per machine, and the arrays
   * {@code wk-10} to {@code wk-15}, whose tasks do not end.
   */
  static Simulation createSimulationWithArrays(
      long seed, int machines, int tasks, Mutation... mutations) {
    Simulation simulation = createSimulation(seed, machines, mutations);
    simulation.runTo(4);
    simulation.submit(JobDraft.job("wk-1", JobKind.SERVICE, machines), null);
    for (int i = 10; i < 16; i++) {
      simulation.submitAsUser(JobDraft.job("wk-" + i, JobKind.ARRAY, tasks), ENDLESS_MS, () -> {});
    }
    simulation.runTo(20);
    simulation.onlyLeader();
    return simulation;
  }

  /** Adds machines with accelerators to the others, equally many in each zone. */
  static void addAcceleratorMachines(Simulation simulation) {
    List<String> zones = simulation.setup.zones();
    simulation.cloud.addType(new MachineType("accel", 4, 2, 16, 50, 0.5, 3, 1, 10, zones));
    for (int i = 0; i < ACCELERATOR_MACHINES; i++) {
      String zone = zones.get(i % 3);
      simulation.cloud.addMachine("vm-acc" + i, new CloudModel.Kind("accel", zone, false), true);
    }
  }

  static double nowS(Simulation simulation) {
    return simulation.now() / MS_PER_S;
  }

  static void runForS(Simulation simulation, double seconds) {
    simulation.runTo(nowS(simulation) + seconds);
  }

  /** Returns whether a controller other than {@code old} leads. */
  static boolean hasOtherLeader(Simulation simulation, ControllerModel old) {
    return simulation.leaders().stream().anyMatch(controller -> controller != old);
  }

  /** Asserts that no invariant was violated. */
  static void assertNoViolations(Simulation simulation) {
    assertEquals(
        List.of(),
        simulation.checker.violations,
        () -> "seed " + simulation.seed + "\n" + simulation.fullLog());
  }

  /**
   * Heals all faults, runs on for {@code afterS} seconds, and asserts that every accepted job that
   * ends by itself has ended and that no invariant was violated.
   */
  static void healAndAssertServed(Simulation simulation, double afterS) {
    simulation.healAll();
    simulation.delayedHeartbeats.releaseHeld();
    simulation.starvationCheck.onFaultsHealed();
    runForS(simulation, afterS);
    assertNoViolations(simulation);
    for (String job : simulation.users.accepted()) {
      boolean endsByItself = simulation.users.runMsOf(job, 0) != null;
      String message = "seed " + simulation.seed + ": " + job + " has not ended\n";
      assertTrue(
          !endsByItself || simulation.checker.isEnded(job), () -> message + simulation.fullLog());
    }
  }

  /**
   * Asserts that the mutation violates an invariant under one of the seeds from 1 to {@code
   * lastSeed}.
   */
  static void assertDetected(Mutation mutation, int lastSeed, LongFunction<Simulation> play) {
    assertDetected(mutation, lastSeed, "", play);
  }

  /**
   * Asserts that the mutation violates the named invariant under one of the seeds from 1 to {@code
   * lastSeed}.
   */
  static void assertDetected(
      Mutation mutation, int lastSeed, String invariant, LongFunction<Simulation> play) {
    for (long seed = 1; seed <= lastSeed; seed++) {
      List<String> violations = play.apply(seed).checker.violations;
      if (violations.stream().anyMatch(violation -> violation.startsWith(invariant))) {
        return;
      }
    }
    assertEquals("detected", "not detected", mutation + ": no seed violates the invariant");
  }
}
