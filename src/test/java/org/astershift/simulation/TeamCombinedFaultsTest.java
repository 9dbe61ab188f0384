package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.LeaderFault;
import static org.astershift.simulation.CombinedFaults.addAcceleratorMachines;
import static org.astershift.simulation.CombinedFaults.apply;
import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.astershift.simulation.CombinedFaults.nowS;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Team;
import org.junit.jupiter.api.Test;

/**
 * Teams at their limits, with work that waits: no limit is exceeded at any moment, whatever faults
 * meet. Each case asserts that its faults occurred together.
 */
class TeamCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 40;
  private static final List<String> TEAMS = List.of("red", "green", "blue");

  /** When the leader fault occurs, in milliseconds from the cancellations. */
  private enum FaultTiming {
    BEFORE(-1500),
    AT_ONCE(100),
    AFTER(1500);

    final long ms;

    FaultTiming(long ms) {
      this.ms = ms;
    }
  }

  /** A fault of a machine that has tasks of the cancelled jobs. */
  private enum MachineFault {
    PARTITIONED,
    PAUSED
  }

  private record FaultCase(LeaderFault fault, FaultTiming timing, MachineFault machineFault) {}

  /** A simulation that was played, and what was counted in it. */
  private static final class Played {
    final Simulation simulation;

    /** Teams that were at their limits when the jobs were cancelled. */
    int atLimit;

    /** Tasks of cancelled jobs that were on faulty or unreachable machines at that moment. */
    int onFaultyMachines;

    /** Tasks started between the cancellations and the end of the machine fault. */
    int startedMeanwhile;

    boolean leaderChanged;

    Played(Simulation simulation) {
      this.simulation = simulation;
    }
  }

  /**
   * Creates a simulation with three teams whose limits are far below the capacity of the fleet;
   * more work of each team waits than its limit allows.
   */
  private static Simulation createLimitedSimulation(long seed, Mutation... mutations) {
    Simulation simulation = CombinedFaults.createSimulation(seed, 12, mutations);
    addAcceleratorMachines(simulation);
    for (String team : TEAMS) {
      simulation.teams.put(team, new Team(team, 4, 10, 1, 3));
    }
    simulation.runTo(4);
    for (String team : TEAMS) {
      String letter = team.substring(0, 1);
      for (int i = 0; i < 4; i++) {
        simulation.submitAsUser(
            JobDraft.array("wk-" + letter + "acc" + i, 1).forTeam(team).takes(1, 1).spec(),
            300_000L,
            () -> {});
      }
    }
    simulation.runTo(8);
    for (String team : TEAMS) {
      String letter = team.substring(0, 1);
      for (int i = 0; i < 5; i++) {
        String id = "wk-" + letter + i;
        boolean saves = i % 2 == 0;
        simulation.submitAsUser(
            JobDraft.array(id, 3).forTeam(team).takes(1 + i % 2, 0).saves(saves ? 3 : 0).spec(),
            300_000L,
            () -> {});
      }
    }
    simulation.runTo(24);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    return simulation;
  }

  /**
   * Returns whether work of the team waits, none of it is allowed by the limit, and the
   * accelerators of the limit are used up.
   */
  private static boolean isAtLimit(Simulation simulation, String team) {
    double[] usage = simulation.checker.usage(team);
    Team quota = simulation.teams.get(team);
    boolean anyWaiting = false;
    for (String job : simulation.users.accepted()) {
      JobSpec spec = simulation.users.spec(job);
      if (spec.team().equals(team) && !simulation.checker.waitingTasks(spec).isEmpty()) {
        anyWaiting = true;
        if (quota.allows(usage[0] + spec.cpus(), usage[1] + spec.gpus())) {
          return false;
        }
      }
    }
    return anyWaiting && usage[1] >= quota.maxGpus();
  }

  private static String pickMachineWithTaskOf(Simulation simulation, String job) {
    List<String> machines = new ArrayList<>();
    simulation.checker.forEachPlacement(
        (task, machine) -> {
          if (task.startsWith(job + "/")) {
            machines.add(machine);
          }
        });
    return machines.isEmpty() ? null : machines.get(simulation.random.nextInt(machines.size()));
  }

  private static int countCancelledTasksOn(
      Simulation simulation, List<String> jobs, List<String> machines) {
    int[] count = new int[1];
    simulation.checker.forEachPlacement(
        (task, machine) -> {
          boolean cancelled = jobs.contains(task.substring(0, task.indexOf('/')));
          count[0] += cancelled && machines.contains(machine) ? 1 : 0;
        });
    return count[0];
  }

  /**
   * Cancels jobs of each team, which hold two thirds of its limit, within 0.2 s; the machines on
   * which they run are partitioned or pause, for less than the lease, about as long, and longer;
   * and the leader changes. Waiting work takes what the cancellations free.
   */
  private static Played playCancellations(FaultCase faultCase, long seed, Mutation... mutations) {
    Simulation simulation = createLimitedSimulation(seed, mutations);
    Played played = new Played(simulation);
    for (String team : TEAMS) {
      played.atLimit += isAtLimit(simulation, team) ? 1 : 0;
    }
    List<String> jobs = new ArrayList<>();
    List<String> machines = new ArrayList<>();
    for (String team : TEAMS) {
      for (String job : List.of("0", "1", "acc0", "acc1")) {
        String id = "wk-" + team.substring(0, 1) + job;
        String machine = pickMachineWithTaskOf(simulation, id);
        if (machine != null) {
          jobs.add(id);
          machines.add(machine);
        }
      }
    }
    long cancelMs = simulation.now() + 3000;
    long machineFaultMs = cancelMs - simulation.random.nextLong(1000);
    long leaseMs = simulation.setup.leaseMs();
    long[] durationsMs = {leaseMs / 2, leaseMs - 500, leaseMs + 500, 2 * leaseMs};
    long forMs = durationsMs[(int) (seed % 4)];
    ControllerModel old = simulation.leaders().get(0);
    simulation.after(
        machineFaultMs - simulation.now(),
        () -> machines.forEach(machine -> applyToMachine(simulation, faultCase, machine, forMs)));
    simulation.after(
        cancelMs + faultCase.timing.ms - simulation.now(),
        () -> apply(simulation, old, faultCase.fault));
    for (String job : jobs) {
      simulation.after(
          cancelMs + simulation.random.nextLong(200) - simulation.now(),
          () -> simulation.cancelAsUser(job));
    }
    simulation.runTo(cancelMs / 1000.0);
    played.onFaultyMachines = countCancelledTasksOn(simulation, jobs, machines);
    int before = simulation.checker.started;
    simulation.runTo((machineFaultMs + forMs) / 1000.0);
    played.startedMeanwhile = simulation.checker.started - before;
    simulation.runTo((machineFaultMs + forMs) / 1000.0 + 10);
    played.leaderChanged =
        simulation.checker.termLeaders.stream().distinct().count() > 1
            || simulation.checker.termLeaders.size() > 1;
    simulation.healAll();
    simulation.controllers.forEach(
        controller ->
            machines.forEach(machine -> simulation.delayLink(controller.name, machine, 0)));
    simulation.starvationCheck.onFaultsHealed();
    runForS(simulation, 25);
    return played;
  }

  private static void applyToMachine(
      Simulation simulation, FaultCase faultCase, String machine, long forMs) {
    if (faultCase.machineFault == MachineFault.PAUSED) {
      simulation.workers.get(machine).pause(forMs);
    } else {
      simulation.controllers.forEach(
          controller -> {
            simulation.cutBoth(controller.name, machine);
            // What is sent to the machine after the partition arrives late.
            simulation.delayLink(controller.name, machine, 1500);
            simulation.after(forMs, () -> simulation.healBoth(controller.name, machine));
          });
    }
  }

  /** Every team is at its limit while jobs are cancelled whose machines do not answer. */
  @Test
  void teamLimitsHoldWhileJobsAreCancelled() {
    int played = 0;
    int atLimit = 0;
    int onFaultyMachines = 0;
    int started = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (FaultTiming timing : FaultTiming.values()) {
        for (MachineFault machineFault : MachineFault.values()) {
          for (long seed = 1; seed <= SEEDS; seed++) {
            Played play = playCancellations(new FaultCase(fault, timing, machineFault), seed);
            assertNoViolations(play.simulation);
            assertTrue(play.leaderChanged, play.simulation.fullLog());
            played++;
            atLimit += play.atLimit;
            onFaultyMachines += play.onFaultyMachines;
            started += play.startedMeanwhile;
          }
        }
      }
    }
    assertEquals(3 * played, atLimit, "teams at their limits in " + played + " cases");
    assertTrue(
        onFaultyMachines >= 6 * played,
        onFaultyMachines + " tasks on faulty or unreachable machines");
    assertTrue(started >= 3 * played, started + " tasks started meanwhile");
    FaultCase faultCase =
        new FaultCase(LeaderFault.CRASHES, FaultTiming.BEFORE, MachineFault.PARTITIONED);
    assertDetected(
        Mutation.NO_INHERITED_MACHINES,
        MUTANT_SEEDS,
        "quota",
        seed -> playCancellations(faultCase, seed, Mutation.NO_INHERITED_MACHINES).simulation);
  }

  /**
   * The leader changes, the next leader cannot probe the machines of a zone, or they receive
   * nothing that it sends, and jobs are cancelled while it waits for these machines; all teams are
   * at their limits.
   */
  @Test
  void teamLimitsHoldWhileMachinesCannotBeProbed() {
    int cancelledWhileReconciling = 0;
    int startedAfterCancel = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (boolean inboundPartitioned : new boolean[] {false, true}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          PartitionPlay play = playPartition(fault, inboundPartitioned, seed);
          assertNoViolations(play.simulation);
          cancelledWhileReconciling += play.cancelled;
          startedAfterCancel += play.started;
        }
      }
    }
    int played = LeaderFault.values().length * 2 * SEEDS;
    assertTrue(
        cancelledWhileReconciling >= 3 * played,
        cancelledWhileReconciling + " jobs cancelled while machines were unreconciled");
    assertTrue(
        startedAfterCancel >= played,
        startedAfterCancel + " tasks started after the cancellations");
    assertDetected(
        Mutation.NO_INHERITED_MACHINES,
        MUTANT_SEEDS,
        "quota",
        seed ->
            playPartition(LeaderFault.CRASHES, seed % 2 == 0, seed, Mutation.NO_INHERITED_MACHINES)
                .simulation);
  }

  private record PartitionPlay(Simulation simulation, int cancelled, int started) {}

  private static PartitionPlay playPartition(
      LeaderFault fault, boolean inboundPartitioned, long seed, Mutation... mutations) {
    Simulation simulation = createLimitedSimulation(seed, mutations);
    ControllerModel old = simulation.leaders().get(0);
    String zone = "zone " + simulation.setup.zones().get((int) (seed % 3));
    long forMs = 4000 + seed * 3000;
    for (ControllerModel controller : simulation.controllers) {
      simulation.cut(controller.name, zone);
      if (!inboundPartitioned) {
        simulation.cut(zone, controller.name);
      }
      simulation.after(forMs, () -> simulation.healBoth(controller.name, zone));
    }
    apply(simulation, old, fault);
    boolean began =
        simulation.runUntil(
            () -> simulation.leaders().stream().anyMatch(controller -> controller != old),
            nowS(simulation) + 20);
    assertTrue(began, simulation.fullLog());
    runForS(simulation, 0.2 * (seed % 3));
    int cancelled = 0;
    int before = simulation.checker.started;
    for (String team : TEAMS) {
      // Some of these jobs hold tasks where no controller can probe, some wait: the capacity that
      // they free is there to be taken.
      for (String job : List.of("0", "1", "acc0")) {
        simulation.cancelAsUser("wk-" + team.substring(0, 1) + job);
        cancelled += simulation.leaders().stream().anyMatch(ControllerModel::isReconciling) ? 1 : 0;
      }
      simulation.submitAsUser(
          JobDraft.array("wk-late-" + team, 2).forTeam(team).spec(), 300_000L, () -> {});
    }
    runForS(simulation, 6);
    int started = simulation.checker.started - before;
    simulation.runTo((simulation.now() + forMs) / 1000.0 + 5);
    simulation.healAll();
    simulation.starvationCheck.onFaultsHealed();
    runForS(simulation, 25);
    return new PartitionPlay(simulation, cancelled, started);
  }
}
