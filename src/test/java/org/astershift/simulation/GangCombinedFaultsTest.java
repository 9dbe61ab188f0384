package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.LeaderFault;
import static org.astershift.simulation.CombinedFaults.addAcceleratorMachines;
import static org.astershift.simulation.CombinedFaults.apply;
import static org.astershift.simulation.CombinedFaults.assertServed;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Priority;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.scheduler.Team;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Gangs, whose tasks gather, run, save and complete together, as the leader changes and machines
 * cannot be reached. Each case counts that its troubles met.
 */
class GangCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final List<String> GANGS = List.of("wk-g0", "wk-g1", "wk-g2", "wk-g3");

  /** What becomes of machines that hold tasks of the gangs. */
  private enum Trouble {
    CUT_OFF,
    INBOUND_PARTITIONED,
    PAUSED
  }

  private static Simulation loadedSimulation(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 12));
    simulation.runTo(4);
    simulation.submit(JobDraft.array("wk-all", 6).kind(JobKind.SERVICE).spec(), null);
    simulation.runTo(20);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    return simulation;
  }

  private static void applyToMachines(
      Simulation simulation, Trouble trouble, String machine, long forMs) {
    if (trouble == Trouble.PAUSED) {
      simulation.workers.get(machine).pause(forMs);
      return;
    }
    for (ControllerModel controller : simulation.controllers) {
      simulation.cut(controller.name, machine);
      if (trouble == Trouble.CUT_OFF) {
        simulation.cut(machine, controller.name);
      }
      simulation.after(forMs, () -> simulation.healBoth(controller.name, machine));
    }
  }

  /** One gang anywhere, one in one zone, one in zone a, and one half of which is in one zone. */
  private static List<JobSpec> gangs() {
    return List.of(
        JobDraft.gang(GANGS.get(0), 6).saves(1).spec(),
        JobDraft.gang(GANGS.get(1), 6).oneZone().spec(),
        JobDraft.gang(GANGS.get(2), 4).zone("a").saves(1).spec(),
        JobDraft.gang(GANGS.get(3), 5).spread().spec());
  }

  /** Machines that hold tasks of the jobs. */
  private static List<String> machinesOf(Simulation simulation, List<String> jobs) {
    Set<String> tasks = new HashSet<>();
    simulation.checker.eachOnMachine(
        (task, machine) -> {
          if (jobs.contains(task.substring(0, task.indexOf('/')))) {
            tasks.add(machine);
          }
        });
    return tasks.stream().sorted().toList();
  }

  /** Machines that hold tasks of gangs that gather; where none does, of any of the gangs. */
  private static List<String> gatheringMachines(Simulation simulation) {
    List<String> gathering = GANGS.stream().filter(simulation.gangs::isGathering).toList();
    return machinesOf(simulation, gathering.isEmpty() ? GANGS : gathering);
  }

  private static List<String> randomMachines(
      Simulation simulation, List<String> machines, int most) {
    List<String> left = new ArrayList<>(machines);
    List<String> out = new ArrayList<>();
    while (!left.isEmpty() && out.size() < most) {
      out.add(left.remove(simulation.random.nextInt(left.size())));
    }
    return out;
  }

  private static long count(Simulation simulation, Predicate<String> what) {
    return simulation.users.accepted().stream().filter(what).count();
  }

  /**
   * Gangs gather, since some machines do not hear of their start, and the leader ends; in half of
   * the seeds one of the machines on which a task waits for the others is lost, too.
   */
  @Test
  void failoverWhileGangsGather() {
    long gathered = 0;
    int lost = 0;
    int replaced = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (Trouble trouble : Trouble.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = loadedSimulation(seed);
          ControllerModel old = simulation.leaders().get(0);
          long[] lasts = {6000, 12_000, 20_000, 34_000};
          for (String machine :
              randomMachines(simulation, List.copyOf(simulation.workers.keySet()), 3)) {
            applyToMachines(simulation, trouble, machine, lasts[(int) (seed % 4)]);
          }
          gangs().forEach(gang -> simulation.userSubmits(gang, 12_000L, () -> {}));
          simulation.runTo(22 + 0.5 * (seed % 3));
          gathered += count(simulation, simulation.gangs::isGathering);
          apply(simulation, old, fault);
          if (seed % 2 == 0) {
            runForS(simulation, simulation.random.nextDouble());
            randomMachines(simulation, gatheringMachines(simulation), 1)
                .forEach(m -> simulation.workers.get(m).restart(500));
          }
          simulation.runTo(60);
          assertServed(simulation, 110);
          lost += simulation.gangs.lostWhileGathering;
          replaced += simulation.gangs.startedAfterReplacement;
          played++;
        }
      }
    }
    assertTrue(gathered >= played, gathered + " gathered as the leader ended, in " + played);
    assertTrue(lost >= played / 3, lost + " lost a task while they gathered");
    assertTrue(replaced >= played / 4, replaced + " of these began all the same");
  }

  /**
   * A machine dies while a gang gathers that takes all there are in its zone, and another comes too
   * late: the tasks give up waiting as the leader ends, or soon before or after.
   */
  @Test
  void failoverWhileGangTasksTimeOut() {
    int incomplete = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = new Simulation(seed, Setup.of(3, 12));
        simulation.cloud.capacity.put(CloudModel.TYPE, 12);
        simulation.cloud.bootMs = () -> 32_000L;
        simulation.runTo(20);
        ControllerModel old = simulation.leaders().get(0);
        List<String> there =
            simulation.workers.values().stream()
                .filter(machine -> machine.zone.equals("a"))
                .map(machine -> machine.name)
                .toList();
        String lost = randomMachines(simulation, there, 1).get(0);
        simulation.userSubmits(
            JobDraft.gang(GANGS.get(0), 4).zone("a").takes(4, 0).spec(), 12_000L, () -> {});
        simulation.runUntil(() -> simulation.gangs.isGathering(GANGS.get(0)), 30);
        simulation.cloud.die(lost);
        simulation.after(
            26_000 + simulation.random.nextLong(5000), () -> apply(simulation, old, fault));
        simulation.runTo(80);
        assertServed(simulation, 90);
        incomplete += simulation.gangs.gatherTimeouts;
        played++;
      }
    }
    assertTrue(incomplete >= 2 * played, incomplete + " tasks waited in vain, in " + played);
  }

  /** Full of gangs at which urgent work aims; so these are stopped as a whole, and save. */
  private static Simulation fullCluster(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 12));
    simulation.cloud.capacity.put(CloudModel.TYPE, 12);
    simulation.objectives.add(new ServiceLevelObjective("wait", "u", 2, 0.9, 1));
    simulation.runTo(4);
    for (int i = 0; i < 4; i++) {
      JobDraft draft = JobDraft.gang(GANGS.get(i), 12).in("c", Priority.LOW).saves(1 + i % 2);
      simulation.submit((i == 0 ? draft.spread() : draft).spec(), 25_000L);
    }
    simulation.runTo(20);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    return simulation;
  }

  /**
   * Gangs are being stopped for urgent work, so that they save together, as the leader ends; in two
   * thirds of the seeds some machines do not hear of the stop, for less and for longer than the
   * others wait.
   */
  @Test
  void failoverWhileGangsAreStopped() {
    int saving = 0;
    int inOrder = 0;
    int failed = 0;
    int wentOn = 0;
    int tooLate = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (Trouble trouble : Trouble.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = fullCluster(seed);
          ControllerModel old = simulation.leaders().get(0);
          for (String machine :
              randomMachines(simulation, machinesOf(simulation, GANGS), (int) (seed % 3) * 2)) {
            applyToMachines(simulation, trouble, machine, seed < 3 ? 2500 : 9000);
          }
          simulation.submit(JobDraft.array("wk-u", 5).in("u", Priority.HIGH).spec(), 8_000L);
          boolean met =
              simulation.runUntil(() -> count(simulation, simulation.gangs::isSaving) > 0, 30);
          runForS(simulation, 0.3 * (seed % 4));
          saving += met ? 1 : 0;
          apply(simulation, old, fault);
          simulation.runTo(45);
          assertServed(simulation, 150);
          inOrder += simulation.gangs.stoppedInOrder;
          failed += simulation.gangs.saveFailed;
          wentOn += simulation.gangs.resumed;
          tooLate += simulation.gangs.startedAfterGangStart;
          played++;
        }
      }
    }
    assertTrue(saving >= played * 3 / 4, saving + " saved as the leader ended, of " + played);
    assertTrue(inOrder >= played / 4, inOrder + " saved");
    assertTrue(failed >= played / 4, failed + " saved in vain");
    assertTrue(wentOn >= played / 2, wentOn + " went on from what was saved");
    assertEquals(0, tooLate, "tasks started of an attempt that had begun");
  }

  /** Gangs are called off within 0.2 s whose machines hang or are cut off; the leader changes. */
  @Test
  void gangsCancelledDuringFailover() {
    int onTroubled = 0;
    int confirmed = 0;
    int gathered = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (Trouble trouble : Trouble.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = loadedSimulation(seed);
          ControllerModel old = simulation.leaders().get(0);
          List<Long> whenMs = List.of(-1500L, 100L, 1500L);
          boolean early = seed % 2 == 0; // so that they are still gathering
          long forMs = 4000 + 4000 * seed;
          if (!early) {
            gangs().forEach(gang -> simulation.userSubmits(gang, 300_000L, () -> {}));
            simulation.runTo(26);
          }
          List<String> all =
              early ? List.copyOf(simulation.workers.keySet()) : machinesOf(simulation, GANGS);
          List<String> machines = randomMachines(simulation, all, 4);
          machines.forEach(m -> applyToMachines(simulation, trouble, m, forMs));
          if (early) {
            gangs().forEach(gang -> simulation.userSubmits(gang, 300_000L, () -> {}));
          }
          simulation.after(
              2000 + whenMs.get((int) (seed % 3)), () -> apply(simulation, old, fault));
          GANGS.forEach(
              gang ->
                  simulation.after(
                      2000 + simulation.random.nextLong(200), () -> simulation.userCancels(gang)));
          runForS(simulation, 2);
          gathered += count(simulation, simulation.gangs::isGathering);
          int[] counts = new int[1];
          simulation.checker.eachOnMachine((task, m) -> counts[0] += machines.contains(m) ? 1 : 0);
          onTroubled += counts[0];
          simulation.pollAllJobs();
          runForS(simulation, 45);
          assertServed(simulation, 30);
          confirmed += simulation.checker.cancelsConfirmed();
          played++;
        }
      }
    }
    assertEquals(4 * played, confirmed, "gangs confirmed as cancelled in " + played);
    assertTrue(onTroubled >= 3 * played, onTroubled + " tasks on machines in trouble");
    assertTrue(gathered >= played / 2, gathered + " of the gangs gathered then");
  }

  /**
   * Gangs complete as the leader ends: reports of some machines from before come late, copies of
   * others are kept for the next leader, and one machine is lost before it tells.
   */
  @Test
  void gangsCompleteWithDelayedHeartbeatsDuringFailover() {
    int confirmed = 0;
    int copies = 0;
    int heldBack = 0;
    int lost = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (long seed = 1; seed <= 2 * SEEDS; seed++) {
        Simulation simulation = loadedSimulation(seed);
        ControllerModel old = simulation.leaders().get(0);
        simulation.delayedHeartbeats.keepShare = 0.4;
        simulation.delayedHeartbeats.holdShare = 0.3;
        gangs().forEach(gang -> simulation.userSubmits(gang, 8_000L, () -> {}));
        boolean runs =
            simulation.runUntil(() -> count(simulation, simulation.gangs::isDone) > 0, 60);
        assertTrue(runs, simulation.fullLog());
        confirmed += old.manages(GANGS.get(0)) || old.manages(GANGS.get(1)) ? 1 : 0;
        List<String> there = randomMachines(simulation, machinesOfDone(simulation), 1);
        there.forEach(
            m -> simulation.workers.get(m).restart(300 + simulation.random.nextLong(2000)));
        lost += there.size();
        runForS(simulation, simulation.random.nextDouble());
        apply(simulation, old, fault);
        simulation.pollAllJobs();
        runForS(simulation, 20);
        copies += simulation.delayedHeartbeats.withEndedTasks;
        heldBack += simulation.delayedHeartbeats.heldAtLeader;
        assertServed(simulation, 60);
        played++;
      }
    }
    assertTrue(confirmed >= played * 3 / 4, confirmed + " were not known to be done, of " + played);
    assertTrue(copies >= played, copies + " copies with tasks that had ended");
    assertTrue(heldBack >= played / 4, heldBack + " reports held back until the next had acted");
    assertTrue(lost >= played * 3 / 4, lost + " machines lost before they told");
  }

  /** Machines with tasks that have just completed. */
  private static List<String> machinesOfDone(Simulation simulation) {
    return simulation.workers.values().stream()
        .filter(
            machine ->
                machine.tasks().all().stream().anyMatch(task -> simulation.gangs.isDone(task.job)))
        .map(machine -> machine.name)
        .toList();
  }

  /**
   * A team is at its limit by gangs, of processors and of accelerators, and more of them wait;
   * machines with its tasks are lost or cannot be reached, and the leader ends.
   */
  @Test
  void teamAtLimitByGangs() {
    int atLimit = 0;
    int onTroubled = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (Trouble trouble : Trouble.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = limitedSimulation(seed);
          ControllerModel old = simulation.leaders().get(0);
          double[] use = simulation.checker.usage("red");
          atLimit += use[0] > 12 - 3 && use[1] > 3 - 2 ? 1 : 0;
          List<String> machines =
              randomMachines(
                  simulation, machinesOf(simulation, List.copyOf(simulation.users.accepted())), 4);
          onTroubled += machines.size();
          long forMs = 5000 + 4000 * seed;
          machines.forEach(m -> applyToMachines(simulation, trouble, m, forMs));
          if (seed % 2 == 0) {
            machines.stream().limit(2).forEach(simulation.cloud::die);
          }
          runForS(simulation, 1);
          if (seed % 3 == 0) {
            simulation.userCancels("wk-r0");
          }
          apply(simulation, old, fault);
          runForS(simulation, 45);
          assertServed(simulation, 150);
          played++;
        }
      }
    }
    assertEquals(played, atLimit, "times at the limit");
    assertTrue(onTroubled >= 3 * played, onTroubled + " machines in trouble");
  }

  private static Simulation limitedSimulation(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 12));
    addAcceleratorMachines(simulation);
    simulation.teams.put("red", new Team("red", 4, 12, 1, 3));
    simulation.teams.put("team", new Team("team", 0, 0, 0, 0));
    simulation.runTo(4);
    for (int i = 0; i < 4; i++) {
      JobDraft acc = JobDraft.gang("wk-ra" + i, 2).of("red").takes(1, 1);
      simulation.submit((i % 2 == 0 ? acc.oneZone() : acc).spec(), 15_000L);
    }
    simulation.runTo(6);
    for (int i = 0; i < 6; i++) {
      JobDraft draft = JobDraft.gang("wk-r" + i, 2 + i % 3).of("red").saves(i % 2);
      simulation.submit((i % 3 == 0 ? draft.oneZone() : draft).spec(), 15_000L);
    }
    simulation.runTo(17);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    return simulation;
  }

  /**
   * The starts of half a gang are held on their way, the others gather; the leader ends, and the
   * starts arrive later, from before the next leader is heard there until after it. In a third of
   * the seeds the gangs are called off meanwhile.
   */
  @Test
  void startCommandsOfHalfAGangAreDelayed() {
    int held = 0;
    long gathered = 0;
    int startedLate = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (boolean partitioned : new boolean[] {false, true}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = loadedSimulation(seed);
          ControllerModel old = simulation.leaders().get(0);
          List<String> machines =
              randomMachines(simulation, List.copyOf(simulation.workers.keySet()), 6);
          long forMs = List.of(1500L, 3000L, 6000L, 13_000L).get((int) (seed % 4));
          machines.forEach(m -> simulation.cut(old.name, m));
          if (partitioned) {
            machines.forEach(m -> simulation.workers.get(m).partitionOutbound(forMs + 2000));
          }
          gangs().forEach(gang -> simulation.userSubmits(gang, 12_000L, () -> {}));
          simulation.runTo(21.5);
          gathered += count(simulation, simulation.gangs::isGathering);
          apply(simulation, old, fault);
          if (seed % 3 == 0) {
            GANGS.forEach(simulation::userCancels);
          }
          simulation.runTo(20 + forMs / 1000.0);
          held += simulation.heldMessageCount();
          int before = simulation.checker.started;
          machines.forEach(m -> simulation.heal(old.name, m));
          runForS(simulation, 0.05);
          startedLate += simulation.checker.started - before;
          simulation.pollAllJobs();
          runForS(simulation, 40);
          assertServed(simulation, 60);
          played++;
        }
      }
    }
    assertTrue(held >= 4 * played, held + " messages held in " + played);
    assertTrue(gathered >= played, gathered + " gathered as the leader ended");
    assertTrue(startedLate >= played / 2, startedLate + " started late");
  }
}
