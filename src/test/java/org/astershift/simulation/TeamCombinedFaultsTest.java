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
 * meet. Each case counts that its faults met.
 */
class TeamCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 40;
  private static final List<String> TEAMS = List.of("red", "green", "blue");

  /** When that happens, counted from the cancellations. */
  private enum FaultTiming {
    BEFORE(-1500),
    AT_ONCE(100),
    AFTER(1500);

    final long ms;

    FaultTiming(long ms) {
      this.ms = ms;
    }
  }

  /** What becomes of machines that hold tasks of the cancelled jobs. */
  private enum MachineFault {
    PARTITIONED,
    PAUSED
  }

  private record FaultCase(LeaderFault fault, FaultTiming timing, MachineFault machineFault) {}

  /** What a played meeting brought about. */
  private static final class Played {
    final Simulation simulation;

    /** Teams that were at their limit when the cancellations came. */
    int atLimit;

    /** Tasks of cancelled jobs that were then on faulty or unreachable machines. */
    int onFaultyMachines;

    /** Tasks started between the cancellations and the end of the fault. */
    int startedMeanwhile;

    boolean leaderChanged;

    Played(Simulation simulation) {
      this.simulation = simulation;
    }
  }

  /** Three teams with limits far below what there is; more of each waits than its limit allows. */
  private static Simulation createLimitedSimulation(long seed, Mutation... mutations) {
    Simulation simulation = CombinedFaults.createSimulation(seed, 12, mutations);
    addAcceleratorMachines(simulation);
    for (String team : TEAMS) {
      simulation.teams.put(team, new Team(team, 4, 10, 1, 3));
    }
    simulation.runTo(4);
    for (String team : TEAMS) {
      String task = team.substring(0, 1);
      for (int i = 0; i < 4; i++) {
        simulation.userSubmits(
            JobDraft.array("wk-" + task + "acc" + i, 1).forTeam(team).takes(1, 1).spec(),
            300_000L,
            () -> {});
      }
    }
    simulation.runTo(8);
    for (String team : TEAMS) {
      String task = team.substring(0, 1);
      for (int i = 0; i < 5; i++) {
        String id = "wk-" + task + i;
        boolean saves = i % 2 == 0;
        simulation.userSubmits(
            JobDraft.array(id, 3).forTeam(team).takes(1 + i % 2, 0).saves(saves ? 3 : 0).spec(),
            300_000L,
            () -> {});
      }
    }
    simulation.runTo(24);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    return simulation;
  }

  /** Something of the team waits, and its limit allows no more of what does. */
  private static boolean isAtLimit(Simulation simulation, String team) {
    double[] use = simulation.checker.usage(team);
    Team quota = simulation.teams.get(team);
    boolean any = false;
    for (String job : simulation.users.accepted()) {
      JobSpec spec = simulation.users.spec(job);
      if (spec.team().equals(team) && !simulation.checker.waiting(spec).isEmpty()) {
        any = true;
        if (quota.allows(use[0] + spec.cpus(), use[1] + spec.gpus())) {
          return false;
        }
      }
    }
    return any && use[1] >= quota.maxGpus();
  }

  private static String pickMachineWithTaskOf(Simulation simulation, String job) {
    List<String> machines = new ArrayList<>();
    simulation.checker.eachOnMachine(
        (task, machine) -> {
          if (task.startsWith(job + "/")) {
            machines.add(machine);
          }
        });
    return machines.isEmpty() ? null : machines.get(simulation.random.nextInt(machines.size()));
  }

  private static int countCancelledTasksOn(
      Simulation simulation, List<String> jobs, List<String> machines) {
    int[] n = new int[1];
    simulation.checker.eachOnMachine(
        (task, machine) -> {
          boolean cancelled = jobs.contains(task.substring(0, task.indexOf('/')));
          n[0] += cancelled && machines.contains(machine) ? 1 : 0;
        });
    return n[0];
  }

  /**
   * Jobs of each team, which hold two thirds of its limit, are cancelled within 0.2 s; machines on
   * which they run are partitioned or pause, for less than the lease, just as long, and longer; and
   * the leader changes. What waits takes what the cancellations free.
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
    long troubleMs = cancelMs - simulation.random.nextLong(1000);
    long leaseMs = simulation.setup.leaseMs();
    long[] lasts = {leaseMs / 2, leaseMs - 500, leaseMs + 500, 2 * leaseMs};
    long forMs = lasts[(int) (seed % 4)];
    ControllerModel old = simulation.leaders().get(0);
    simulation.after(
        troubleMs - simulation.now(),
        () -> machines.forEach(machine -> applyToMachine(simulation, faultCase, machine, forMs)));
    simulation.after(
        cancelMs + faultCase.timing.ms - simulation.now(),
        () -> apply(simulation, old, faultCase.fault));
    for (String job : jobs) {
      simulation.after(
          cancelMs + simulation.random.nextLong(200) - simulation.now(),
          () -> simulation.userCancels(job));
    }
    simulation.runTo(cancelMs / 1000.0);
    played.onFaultyMachines = countCancelledTasksOn(simulation, jobs, machines);
    int before = simulation.checker.started;
    simulation.runTo((troubleMs + forMs) / 1000.0);
    played.startedMeanwhile = simulation.checker.started - before;
    simulation.runTo((troubleMs + forMs) / 1000.0 + 10);
    played.leaderChanged =
        simulation.checker.leaders.stream().distinct().count() > 1
            || simulation.checker.leaders.size() > 1;
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
            simulation.delayLink(
                controller.name, machine, 1500); // and what is said to it then comes late
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
      for (FaultTiming when : FaultTiming.values()) {
        for (MachineFault machineFault : MachineFault.values()) {
          for (long seed = 1; seed <= SEEDS; seed++) {
            Played play = playCancellations(new FaultCase(fault, when, machineFault), seed);
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
    assertTrue(started >= 3 * played, started + " started meanwhile");
    FaultCase faultCase =
        new FaultCase(LeaderFault.CRASHES, FaultTiming.BEFORE, MachineFault.PARTITIONED);
    assertDetected(
        Mutation.NO_INHERITED_MACHINES,
        MUTANT_SEEDS,
        "quota",
        s -> playCancellations(faultCase, s, Mutation.NO_INHERITED_MACHINES).simulation);
  }

  /**
   * The leader changes, the next one cannot ask a zone's machines, or they hear nothing of what it
   * says, and jobs are cancelled while it waits for them; all teams are at their limits.
   */
  @Test
  void teamLimitsHoldWhileMachinesCannotBeProbed() {
    int inTheSpell = 0;
    int startedInIt = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (boolean inboundPartitioned : new boolean[] {false, true}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          PartitionPlay spell = playPartition(fault, inboundPartitioned, seed);
          assertNoViolations(spell.simulation);
          inTheSpell += spell.cancelled;
          startedInIt += spell.started;
        }
      }
    }
    int played = LeaderFault.values().length * 2 * SEEDS;
    assertTrue(inTheSpell >= 3 * played, inTheSpell + " cancelled in the spell");
    assertTrue(startedInIt >= played, startedInIt + " started in the spell");
    assertDetected(
        Mutation.NO_INHERITED_MACHINES,
        MUTANT_SEEDS,
        "quota",
        s ->
            playPartition(LeaderFault.CRASHES, s % 2 == 0, s, Mutation.NO_INHERITED_MACHINES)
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
      // Some hold tasks where nobody can ask, some wait: what they leave is there to be taken.
      for (String job : List.of("0", "1", "acc0")) {
        simulation.userCancels("wk-" + team.substring(0, 1) + job);
        cancelled += simulation.leaders().stream().anyMatch(ControllerModel::reconciling) ? 1 : 0;
      }
      simulation.userSubmits(
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
