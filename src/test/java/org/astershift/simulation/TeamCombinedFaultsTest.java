package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.LeaderFault;
import static org.astershift.simulation.CombinedFaults.addAcceleratorMachines;
import static org.astershift.simulation.CombinedFaults.apply;
import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertSound;
import static org.astershift.simulation.CombinedFaults.nowS;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Priority;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.scheduler.Team;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Teams at their limits, and work that waits: limits hold to the millisecond whatever meets, and
 * once the troubles are over nothing is left waiting beside room. Each case counts that its
 * troubles met.
 */
class TeamCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 40;
  private static final List<String> TEAMS = List.of("red", "green", "blue");

  /** When that happens, counted from the cancellations. */
  private enum When {
    BEFORE(-1500),
    AT_ONCE(100),
    AFTER(1500);

    final long ms;

    When(long ms) {
      this.ms = ms;
    }
  }

  /** What becomes of machines that hold tasks of the cancelled jobs. */
  private enum Trouble {
    CUT_OFF,
    PAUSED
  }

  private record FaultCase(LeaderFault fault, When when, Trouble trouble) {}

  /** What a played meeting brought about. */
  private static final class Played {
    final Simulation simulation;

    /** Teams that were at their limit when the cancellations came. */
    int atLimit;

    /** Tasks of cancelled jobs that were then on machines in trouble. */
    int onFaultyMachines;

    /** Tasks started between the cancellations and the end of the trouble. */
    int startedMeanwhile;

    boolean leaderChanged;

    Played(Simulation simulation) {
      this.simulation = simulation;
    }
  }

  /** Three teams with limits far below what there is; more of each waits than its limit allows. */
  private static Simulation limitedSimulation(long seed, Mutation... mutations) {
    Simulation simulation = CombinedFaults.simulation(seed, 12, mutations);
    addAcceleratorMachines(simulation);
    for (String team : TEAMS) {
      simulation.teams.put(team, new Team(team, 4, 10, 1, 3));
    }
    simulation.runTo(4);
    for (String team : TEAMS) {
      String task = team.substring(0, 1);
      for (int i = 0; i < 4; i++) {
        simulation.userSubmits(
            JobDraft.array("wk-" + task + "acc" + i, 1).of(team).takes(1, 1).spec(),
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
            JobDraft.array(id, 3).of(team).takes(1 + i % 2, 0).saves(saves ? 3 : 0).spec(),
            300_000L,
            () -> {});
      }
    }
    simulation.runTo(24);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    return simulation;
  }

  /** Something of the team waits, and its limit allows no more of what does. */
  private static boolean atLimit(Simulation simulation, String team) {
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

  private static String machineOf(Simulation simulation, String job) {
    List<String> machines = new ArrayList<>();
    simulation.checker.eachOnMachine(
        (task, machine) -> {
          if (task.startsWith(job + "/")) {
            machines.add(machine);
          }
        });
    return machines.isEmpty() ? null : machines.get(simulation.random.nextInt(machines.size()));
  }

  private static int cancelledOn(Simulation simulation, List<String> jobs, List<String> machines) {
    int[] n = new int[1];
    simulation.checker.eachOnMachine(
        (task, machine) -> {
          boolean cancelled = jobs.contains(task.substring(0, task.indexOf('/')));
          n[0] += cancelled && machines.contains(machine) ? 1 : 0;
        });
    return n[0];
  }

  /**
   * Jobs of each team, which hold two thirds of its limit, are called off within 0.2 s; machines on
   * which they run are cut off or hang, for less than the lease, just as long, and longer; and the
   * leader changes. What waits takes what the cancellations free.
   */
  private static Played cancelled(FaultCase faultCase, long seed, Mutation... mutations) {
    Simulation simulation = limitedSimulation(seed, mutations);
    Played played = new Played(simulation);
    for (String team : TEAMS) {
      played.atLimit += atLimit(simulation, team) ? 1 : 0;
    }
    List<String> jobs = new ArrayList<>();
    List<String> machines = new ArrayList<>();
    for (String team : TEAMS) {
      for (String job : List.of("0", "1", "acc0", "acc1")) {
        String id = "wk-" + team.substring(0, 1) + job;
        String machine = machineOf(simulation, id);
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
        () -> machines.forEach(machine -> applyToMachines(simulation, faultCase, machine, forMs)));
    simulation.after(
        cancelMs + faultCase.when.ms - simulation.now(),
        () -> apply(simulation, old, faultCase.fault));
    for (String job : jobs) {
      simulation.after(
          cancelMs + simulation.random.nextLong(200) - simulation.now(),
          () -> simulation.userCancels(job));
    }
    simulation.runTo(cancelMs / 1000.0);
    played.onFaultyMachines = cancelledOn(simulation, jobs, machines);
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

  private static void applyToMachines(
      Simulation simulation, FaultCase faultCase, String machine, long forMs) {
    if (faultCase.trouble == Trouble.PAUSED) {
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

  /** Every team is at its limit while jobs are called off whose machines do not answer. */
  @Test
  void jobsCancelledWhileTeamsAreAtLimit() {
    int played = 0;
    int atLimit = 0;
    int onTroubled = 0;
    int started = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (When when : When.values()) {
        for (Trouble trouble : Trouble.values()) {
          for (long seed = 1; seed <= SEEDS; seed++) {
            Played play = cancelled(new FaultCase(fault, when, trouble), seed);
            assertSound(play.simulation);
            assertTrue(play.leaderChanged, play.simulation.fullLog());
            played++;
            atLimit += play.atLimit;
            onTroubled += play.onFaultyMachines;
            started += play.startedMeanwhile;
          }
        }
      }
    }
    assertEquals(3 * played, atLimit, "teams at their limits in " + played + " cases");
    assertTrue(onTroubled >= 6 * played, onTroubled + " tasks on machines in trouble");
    assertTrue(started >= 3 * played, started + " started meanwhile");
    FaultCase faultCase = new FaultCase(LeaderFault.CRASHES, When.BEFORE, Trouble.CUT_OFF);
    assertDetected(
        Mutation.NO_INHERITED_MACHINES,
        MUTANT_SEEDS,
        "quota",
        s -> cancelled(faultCase, s, Mutation.NO_INHERITED_MACHINES).simulation);
  }

  /**
   * The leader changes, the next one cannot ask a zone's machines, or they hear nothing of what it
   * says, and jobs are called off while it waits for them; all teams are at their limits.
   */
  @Test
  void jobsCancelledWhileMachinesCannotBeProbed() {
    int inTheSpell = 0;
    int startedInIt = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (boolean inboundPartitioned : new boolean[] {false, true}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          PartitionPlay spell = playPartition(fault, inboundPartitioned, seed);
          assertSound(spell.simulation);
          inTheSpell += spell.cancelled;
          startedInIt += spell.started;
        }
      }
    }
    int played = LeaderFault.values().length * 2 * SEEDS;
    assertTrue(inTheSpell >= 3 * played, inTheSpell + " called off in the spell");
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
    Simulation simulation = limitedSimulation(seed, mutations);
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
          JobDraft.array("wk-late-" + team, 2).of(team).spec(), 300_000L, () -> {});
    }
    runForS(simulation, 6);
    int started = simulation.checker.started - before;
    simulation.runTo((simulation.now() + forMs) / 1000.0 + 5);
    simulation.healAll();
    simulation.starvationCheck.onFaultsHealed();
    runForS(simulation, 25);
    return new PartitionPlay(simulation, cancelled, started);
  }

  /** How machines of a zone are lost. */
  private enum Loss {
    DIE,
    TAKEN,
    ZONE_CUT
  }

  /**
   * Jobs bound to a zone, arrays too, lose all their machines there, with and without a change of
   * leaders: once the zone is back what waits for it runs after two boots and what they take.
   */
  @Test
  void zoneBoundJobsLoseTheirMachines() {
    long longestMs = 0;
    int emptied = 0;
    int played = 0;
    for (Loss loss : Loss.values()) {
      for (boolean changes : new boolean[] {false, true}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = new Simulation(seed, Setup.of(3, 24));
          emptied += playZoneLoss(simulation, loss, changes) ? 1 : 0;
          played++;
          assertSound(simulation);
          long since = simulation.now();
          assertTrue(
              simulation.runUntil(
                  () -> zoneBoundSimulation(simulation) == 12, (since + 90_000) / 1000.0),
              simulation.fullLog());
          longestMs = Math.max(longestMs, simulation.now() - since);
          runForS(simulation, 20);
          assertSound(simulation);
        }
      }
    }
    assertTrue(emptied >= played * 2 / 3, emptied + " times nothing was left in the zone");
    assertTrue(longestMs < 30_000, longestMs + " ms after the zone was back");
  }

  /** Tasks of the jobs bound to zone a that are on machines. */
  private static int zoneBoundSimulation(Simulation simulation) {
    return simulation.checker.tasksOnMachines("wk-a1")
        + simulation.checker.tasksOnMachines("wk-a2")
        + simulation.checker.tasksOnMachines("wk-a3");
  }

  /** Says whether no live machine was left there when the trouble was over. */
  private static boolean playZoneLoss(Simulation simulation, Loss loss, boolean changes) {
    boolean spot = loss == Loss.TAKEN;
    simulation.cloud.addType(
        new MachineType("brief", 4, 0, 16, 50, 0.5, 2, 0.1, 10, simulation.setup.zones()));
    for (int i = 0; spot && i < 4; i++) {
      simulation.cloud.addMachine("vm-spot" + i, new CloudModel.Kind("brief", "a", true), true);
    }
    simulation.runTo(4);
    simulation.submit(JobDraft.array("wk-all", 40).kind(JobKind.SERVICE).spec(), null);
    for (int i = 1; i <= 3; i++) {
      JobDraft draft = JobDraft.array("wk-a" + i, 4).zone("a");
      draft = i == 1 ? draft.kind(JobKind.SERVICE) : i == 2 ? draft.oneZone() : draft;
      simulation.submit(
          (spot ? draft.spot().only("brief") : draft).spec(), i == 1 ? null : 300_000L);
    }
    simulation.runTo(22);
    assertEquals(12, zoneBoundSimulation(simulation), simulation.recentLog());
    long forMs = 20_000 + 5000 * (simulation.seed % 6);
    List<String> there = new ArrayList<>();
    simulation.workers.forEach(
        (name, worker) -> {
          if (worker.zone.equals("a") && worker.alive() && worker.kind.spot() == spot) {
            there.add(name);
          }
        });
    if (loss == Loss.ZONE_CUT) {
      simulation.controllers.forEach(controller -> simulation.cutBoth(controller.name, "zone a"));
    } else {
      there.forEach(loss == Loss.DIE ? simulation.cloud::die : simulation.cloud::preempt);
    }
    if (changes) {
      ControllerModel old = simulation.leaders().get(0);
      simulation.after(
          simulation.random.nextLong(forMs),
          () -> apply(simulation, old, LeaderFault.values()[(int) simulation.seed % 3]));
    }
    simulation.runTo((22_000 + forMs) / 1000.0);
    boolean empty = there.stream().noneMatch(name -> simulation.workers.get(name).alive());
    simulation.healAll();
    simulation.starvationCheck.onFaultsHealed();
    return empty;
  }

  /**
   * More work than there is room, urgent and not, large tasks and small, over links that take up to
   * a second, and the leader changes in the middle of it. Nothing breaks, all that was called for
   * is done, and once the links are fast again nothing waits beside room, though there is still
   * more work than room.
   */
  @Test
  void overloadOverSlowLinks() {
    int preempted = 0;
    int waitedAfter = 0;
    long longest = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = overloadedSimulation(seed);
        ControllerModel old = simulation.leaders().get(0);
        simulation.after(
            20_000 + simulation.random.nextLong(5000), () -> apply(simulation, old, fault));
        simulation.runTo(60);
        playSlowLinks(simulation, 0);
        waitedAfter += waiting(simulation);
        preempted += simulation.checker.stopped;
        simulation.starvationCheck.onFaultsHealed();
        simulation.runTo(75);
        urgent(simulation, 40);
        simulation.runTo(160);
        longest = Math.max(longest, simulation.starvationCheck.longestMs());
        assertSound(simulation);
      }
    }
    int played = LeaderFault.values().length * SEEDS;
    assertTrue(preempted >= played, preempted + " stopped for urgent work");
    assertTrue(longest > 30_000, "the longest wait beside room " + longest + " ms");
    assertTrue(waitedAfter >= 50 * played, waitedAfter + " waited when the troubles were over");
  }

  private static int waiting(Simulation simulation) {
    return simulation.users.accepted().stream()
        .mapToInt(job -> simulation.checker.waiting(simulation.users.spec(job)).size())
        .sum();
  }

  private static void playSlowLinks(Simulation simulation, long ms) {
    for (ControllerModel controller : simulation.controllers) {
      for (String host : List.of("workers", "state", "cloud")) {
        simulation.delayLink(controller.name, host, host.equals("state") ? ms / 4 : ms);
        simulation.delayLink(host, controller.name, host.equals("state") ? ms / 4 : ms);
      }
    }
  }

  private static Simulation overloadedSimulation(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 12));
    simulation.cloud.capacity.put(CloudModel.TYPE, 12);
    simulation.objectives.add(new ServiceLevelObjective("wait", "u", 2, 0.9, 1));
    simulation.objectives.add(new ServiceLevelObjective("wait", "n", 30, 0.9, 1));
    playSlowLinks(simulation, 1000);
    simulation.runTo(6);
    for (int i = 0; i < 10; i++) {
      // Guests at whose work nobody aims, and large and small work of the others.
      JobDraft guest = JobDraft.array("wk-g" + i, 12).in("g", Priority.LOW);
      simulation.submit(guest.saves(i % 2 == 0 ? 2 : 0).spec(), 15_000L);
      boolean large = i % 3 == 0;
      JobDraft normal = JobDraft.array("wk-n" + i, large ? 60 : 8).in("n", Priority.NORMAL);
      simulation.submit(normal.takes(large ? 3 : 2, 0).spec(), 12_000L);
    }
    for (int i = 0; i < 10; i++) {
      int id = i;
      simulation.after(5000 * i, () -> urgent(simulation, id));
    }
    simulation.runTo(18);
    return simulation;
  }

  private static void urgent(Simulation simulation, int id) {
    JobDraft draft = JobDraft.array("wk-u" + id, 6).in("u", Priority.HIGH);
    simulation.submit(draft.takes(id % 2 == 0 ? 2 : 1, 0).spec(), 8_000L);
  }
}
