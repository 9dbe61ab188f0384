package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.LeaderFault;
import static org.astershift.simulation.CombinedFaults.addAcceleratorMachines;
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
import org.astershift.scheduler.Team;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Gangs that wait for room under their team's limit, or for the start commands of some of their
 * tasks, while the leader changes. Each case asserts that its faults occurred together.
 */
class GangStartCombinedFaultsTest {
  private static final int SEEDS = 6;

  /**
   * Gangs take up the limits of a team on processors and accelerators, and more of its gangs wait;
   * machines with its tasks are lost or cannot be reached, and the leader is lost.
   */
  @Test
  void gangsCompleteWhenTeamLimitIsReachedDuringFailover() {
    int atLimit = 0;
    int onFaultyMachines = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (MachineFault machineFault : MachineFault.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = createLimitedSimulation(seed);
          ControllerModel old = simulation.leaders().get(0);
          double[] usage = simulation.checker.usage("red");
          atLimit += usage[0] > 12 - 3 && usage[1] > 3 - 2 ? 1 : 0;
          List<String> machines =
              pickRandomMachines(
                  simulation,
                  machinesRunning(simulation, List.copyOf(simulation.users.accepted())),
                  4);
          onFaultyMachines += machines.size();
          long forMs = 5000 + 4000 * seed;
          machines.forEach(machine -> applyToMachine(simulation, machineFault, machine, forMs));
          if (seed % 2 == 0) {
            machines.stream().limit(2).forEach(simulation.cloud::killMachine);
          }
          runForS(simulation, 1);
          if (seed % 3 == 0) {
            simulation.cancelAsUser("wk-r0");
          }
          apply(simulation, old, fault);
          runForS(simulation, 45);
          healAndAssertServed(simulation, 150);
          played++;
        }
      }
    }
    assertEquals(played, atLimit, "plays in which the team was at its limit");
    assertTrue(
        onFaultyMachines >= 3 * played, onFaultyMachines + " faulty or unreachable machines");
  }

  private static Simulation createLimitedSimulation(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 12));
    addAcceleratorMachines(simulation);
    simulation.teams.put("red", new Team("red", 4, 12, 1, 3));
    simulation.teams.put("team", new Team("team", 0, 0, 0, 0));
    simulation.runTo(4);
    for (int i = 0; i < 4; i++) {
      JobDraft acceleratorGang = JobDraft.gang("wk-ra" + i, 2).forTeam("red").takes(1, 1);
      simulation.submit((i % 2 == 0 ? acceleratorGang.oneZone() : acceleratorGang).spec(), 15_000L);
    }
    simulation.runTo(6);
    for (int i = 0; i < 6; i++) {
      JobDraft draft = JobDraft.gang("wk-r" + i, 2 + i % 3).forTeam("red").saves(i % 2);
      simulation.submit((i % 3 == 0 ? draft.oneZone() : draft).spec(), 15_000L);
    }
    simulation.runTo(17);
    assertEquals(1, simulation.leaders().size(), simulation.recentLog());
    return simulation;
  }

  /**
   * The start commands of half a gang are held in flight while its other tasks gather; the leader
   * is lost, and the starts arrive later, from before the first answer of the next leader until
   * after it. In a third of the seeds the gangs are cancelled meanwhile.
   */
  @Test
  void gangsCompleteWhenHalfTheirStartsAreDelayed() {
    int held = 0;
    long gathered = 0;
    int startedLate = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (boolean partitioned : new boolean[] {false, true}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = createLoadedSimulation(seed);
          ControllerModel old = simulation.leaders().get(0);
          List<String> machines =
              pickRandomMachines(simulation, List.copyOf(simulation.workers.keySet()), 6);
          long forMs = List.of(1500L, 3000L, 6000L, 13_000L).get((int) (seed % 4));
          machines.forEach(machine -> simulation.cut(old.name, machine));
          if (partitioned) {
            machines.forEach(
                machine -> simulation.workers.get(machine).partitionOutbound(forMs + 2000));
          }
          createGangs().forEach(gang -> simulation.submitAsUser(gang, 12_000L, () -> {}));
          simulation.runTo(21.5);
          gathered += countJobs(simulation, simulation.gangs::isGathering);
          apply(simulation, old, fault);
          if (seed % 3 == 0) {
            GANGS.forEach(simulation::cancelAsUser);
          }
          simulation.runTo(20 + forMs / 1000.0);
          held += simulation.heldMessageCount();
          int before = simulation.checker.started;
          machines.forEach(machine -> simulation.heal(old.name, machine));
          runForS(simulation, 0.05);
          startedLate += simulation.checker.started - before;
          simulation.pollAllJobs();
          runForS(simulation, 40);
          healAndAssertServed(simulation, 60);
          played++;
        }
      }
    }
    assertTrue(held >= 4 * played, held + " messages held; plays: " + played);
    assertTrue(gathered >= played, gathered + " gangs were gathering when the leader was lost");
    assertTrue(startedLate >= played / 2, startedLate + " tasks started late");
  }
}
