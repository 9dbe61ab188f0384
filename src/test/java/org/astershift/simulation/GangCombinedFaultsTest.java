package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.LeaderFault;
import static org.astershift.simulation.CombinedFaults.apply;
import static org.astershift.simulation.CombinedFaults.healAndAssertServed;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.astershift.simulation.GangFaults.GANGS;
import static org.astershift.simulation.GangFaults.MachineFault;
import static org.astershift.simulation.GangFaults.applyToMachine;
import static org.astershift.simulation.GangFaults.countJobs;
import static org.astershift.simulation.GangFaults.createGangs;
import static org.astershift.simulation.GangFaults.createLoadedSimulation;
import static org.astershift.simulation.GangFaults.machinesRunning;
import static org.astershift.simulation.GangFaults.pickRandomMachines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.Priority;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Gangs, whose tasks gather, run, save and complete together, as the leader changes and machines
 * cannot be reached. Each case counts that its faults met.
 */
class GangCombinedFaultsTest {
  private static final int SEEDS = 6;

  /** Machines that hold tasks of gangs that gather; where none does, of any of the gangs. */
  private static List<String> gatheringMachines(Simulation simulation) {
    List<String> gathering = GANGS.stream().filter(simulation.gangs::isGathering).toList();
    return machinesRunning(simulation, gathering.isEmpty() ? GANGS : gathering);
  }

  /**
   * Gangs gather, since some machines do not get their start commands, and the leader ends; in half
   * of the seeds one of the machines on which a task waits for the others is lost, too.
   */
  @Test
  void gangsCompleteAfterFailoverWhileGathering() {
    long gathered = 0;
    int lost = 0;
    int replaced = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (MachineFault machineFault : MachineFault.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = createLoadedSimulation(seed);
          ControllerModel old = simulation.leaders().get(0);
          long[] lasts = {6000, 12_000, 20_000, 34_000};
          for (String machine :
              pickRandomMachines(simulation, List.copyOf(simulation.workers.keySet()), 3)) {
            applyToMachine(simulation, machineFault, machine, lasts[(int) (seed % 4)]);
          }
          createGangs().forEach(gang -> simulation.userSubmits(gang, 12_000L, () -> {}));
          simulation.runTo(22 + 0.5 * (seed % 3));
          gathered += countJobs(simulation, simulation.gangs::isGathering);
          apply(simulation, old, fault);
          if (seed % 2 == 0) {
            runForS(simulation, simulation.random.nextDouble());
            pickRandomMachines(simulation, gatheringMachines(simulation), 1)
                .forEach(machine -> simulation.workers.get(machine).restart(500));
          }
          simulation.runTo(60);
          healAndAssertServed(simulation, 110);
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
  void gangsCompleteAfterFailoverDuringGatherTimeout() {
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
        String lost = pickRandomMachines(simulation, there, 1).get(0);
        simulation.userSubmits(
            JobDraft.gang(GANGS.get(0), 4).zone("a").takes(4, 0).spec(), 12_000L, () -> {});
        simulation.runUntil(() -> simulation.gangs.isGathering(GANGS.get(0)), 30);
        simulation.cloud.die(lost);
        simulation.after(
            26_000 + simulation.random.nextLong(5000), () -> apply(simulation, old, fault));
        simulation.runTo(80);
        healAndAssertServed(simulation, 90);
        incomplete += simulation.gangs.gatherTimeouts;
        played++;
      }
    }
    assertTrue(
        incomplete >= 2 * played, incomplete + " tasks waited without success, in " + played);
  }

  /** Full of gangs at which urgent work aims; so these are stopped as a whole, and save. */
  private static Simulation createFullCluster(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 12));
    simulation.cloud.capacity.put(CloudModel.TYPE, 12);
    simulation.objectives.add(new ServiceLevelObjective("wait", "u", 2, 0.9, 1));
    simulation.runTo(4);
    for (int i = 0; i < 4; i++) {
      JobDraft draft =
          JobDraft.gang(GANGS.get(i), 12).classAndPriority("c", Priority.LOW).saves(1 + i % 2);
      simulation.submit((i == 0 ? draft.spread() : draft).spec(), 25_000L);
    }
    simulation.runTo(20);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    return simulation;
  }

  /**
   * Gangs are being stopped for urgent work, so that they save together, as the leader ends; in two
   * thirds of the seeds some machines do not get the stop command, for less and for longer than the
   * others wait.
   */
  @Test
  void gangsCompleteAfterFailoverWhileBeingStopped() {
    int saving = 0;
    int inOrder = 0;
    int failed = 0;
    int resumed = 0;
    int tooLate = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (MachineFault machineFault : MachineFault.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = createFullCluster(seed);
          ControllerModel old = simulation.leaders().get(0);
          for (String machine :
              pickRandomMachines(
                  simulation, machinesRunning(simulation, GANGS), (int) (seed % 3) * 2)) {
            applyToMachine(simulation, machineFault, machine, seed < 3 ? 2500 : 9000);
          }
          simulation.submit(
              JobDraft.array("wk-u", 5).classAndPriority("u", Priority.HIGH).spec(), 8_000L);
          boolean met =
              simulation.runUntil(() -> countJobs(simulation, simulation.gangs::isSaving) > 0, 30);
          runForS(simulation, 0.3 * (seed % 4));
          saving += met ? 1 : 0;
          apply(simulation, old, fault);
          simulation.runTo(45);
          healAndAssertServed(simulation, 150);
          inOrder += simulation.gangs.stoppedInOrder;
          failed += simulation.gangs.saveFailed;
          resumed += simulation.gangs.resumed;
          tooLate += simulation.gangs.startedAfterGangStart;
          played++;
        }
      }
    }
    assertTrue(saving >= played * 3 / 4, saving + " saved as the leader ended, of " + played);
    assertTrue(inOrder >= played / 4, inOrder + " saved");
    assertTrue(failed >= played / 4, failed + " saved without success");
    assertTrue(resumed >= played / 2, resumed + " went on from what was saved");
    assertEquals(0, tooLate, "tasks started of an attempt that had begun");
  }

  /**
   * Gangs are cancelled within 0.2 s whose machines pause or are partitioned; the leader changes.
   */
  @Test
  void gangCancellationsAreConfirmedDuringFailover() {
    int onFaultyMachines = 0;
    int confirmed = 0;
    int gathered = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (MachineFault machineFault : MachineFault.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = createLoadedSimulation(seed);
          ControllerModel old = simulation.leaders().get(0);
          List<Long> whenMs = List.of(-1500L, 100L, 1500L);
          boolean early = seed % 2 == 0; // so that they are still gathering
          long forMs = 4000 + 4000 * seed;
          if (!early) {
            createGangs().forEach(gang -> simulation.userSubmits(gang, 300_000L, () -> {}));
            simulation.runTo(26);
          }
          List<String> all =
              early ? List.copyOf(simulation.workers.keySet()) : machinesRunning(simulation, GANGS);
          List<String> machines = pickRandomMachines(simulation, all, 4);
          machines.forEach(machine -> applyToMachine(simulation, machineFault, machine, forMs));
          if (early) {
            createGangs().forEach(gang -> simulation.userSubmits(gang, 300_000L, () -> {}));
          }
          simulation.after(
              2000 + whenMs.get((int) (seed % 3)), () -> apply(simulation, old, fault));
          GANGS.forEach(
              gang ->
                  simulation.after(
                      2000 + simulation.random.nextLong(200), () -> simulation.userCancels(gang)));
          runForS(simulation, 2);
          gathered += countJobs(simulation, simulation.gangs::isGathering);
          int[] counts = new int[1];
          simulation.checker.eachOnMachine(
              (task, machine) -> counts[0] += machines.contains(machine) ? 1 : 0);
          onFaultyMachines += counts[0];
          simulation.pollAllJobs();
          runForS(simulation, 45);
          healAndAssertServed(simulation, 30);
          confirmed += simulation.checker.cancelsConfirmed();
          played++;
        }
      }
    }
    assertEquals(4 * played, confirmed, "gangs confirmed as cancelled in " + played);
    assertTrue(
        onFaultyMachines >= 3 * played,
        onFaultyMachines + " tasks on faulty or unreachable machines");
    assertTrue(gathered >= played / 2, gathered + " of the gangs gathered then");
  }

  /**
   * Gangs complete as the leader ends: heartbeats of some machines from before come late, copies of
   * others are kept for the next leader, and one machine is lost before it tells.
   */
  @Test
  void gangsCompleteWithDelayedHeartbeatsDuringFailover() {
    int confirmed = 0;
    int duplicates = 0;
    int heldHeartbeats = 0;
    int lost = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (long seed = 1; seed <= 2 * SEEDS; seed++) {
        Simulation simulation = createLoadedSimulation(seed);
        ControllerModel old = simulation.leaders().get(0);
        simulation.delayedHeartbeats.keepShare = 0.4;
        simulation.delayedHeartbeats.holdShare = 0.3;
        createGangs().forEach(gang -> simulation.userSubmits(gang, 8_000L, () -> {}));
        boolean runs =
            simulation.runUntil(() -> countJobs(simulation, simulation.gangs::isDone) > 0, 60);
        assertTrue(runs, simulation.fullLog());
        confirmed += old.manages(GANGS.get(0)) || old.manages(GANGS.get(1)) ? 1 : 0;
        List<String> there =
            pickRandomMachines(simulation, machinesWithCompletedGangs(simulation), 1);
        there.forEach(
            machine ->
                simulation.workers.get(machine).restart(300 + simulation.random.nextLong(2000)));
        lost += there.size();
        runForS(simulation, simulation.random.nextDouble());
        apply(simulation, old, fault);
        simulation.pollAllJobs();
        runForS(simulation, 20);
        duplicates += simulation.delayedHeartbeats.withEndedTasks;
        heldHeartbeats += simulation.delayedHeartbeats.heldAtLeader;
        healAndAssertServed(simulation, 60);
        played++;
      }
    }
    assertTrue(confirmed >= played * 3 / 4, confirmed + " were not known to be done, of " + played);
    assertTrue(duplicates >= played, duplicates + " copies with tasks that had ended");
    assertTrue(
        heldHeartbeats >= played / 4,
        heldHeartbeats + " heartbeats held back until the next had acted");
    assertTrue(lost >= played * 3 / 4, lost + " machines lost before their heartbeat");
  }

  /** Machines with tasks that have just completed. */
  private static List<String> machinesWithCompletedGangs(Simulation simulation) {
    return simulation.workers.values().stream()
        .filter(
            machine ->
                machine.tasks().all().stream().anyMatch(task -> simulation.gangs.isDone(task.job)))
        .map(machine -> machine.name)
        .toList();
  }
}
