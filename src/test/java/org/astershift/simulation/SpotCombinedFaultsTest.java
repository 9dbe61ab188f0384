package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.LeaderFault;
import static org.astershift.simulation.CombinedFaults.apply;
import static org.astershift.simulation.CombinedFaults.healAndAssertServed;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.MachineType;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Machines that the cloud preempts, with or without a notice, and machines that are drained, while
 * the leader changes: replicas move to other machines, and gangs and arrays end. Each case asserts
 * that its faults occurred together.
 */
class SpotCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final String SPOT = "brief";
  private static final int MACHINES = 9;
  private static final int REPLICAS = 12;
  private static final long NOTICE_MS = 12_000;

  /**
   * Time from its notice to the preemption of a machine, as a multiple of the time that the notice
   * states.
   */
  private enum Notice {
    NONE(0),
    HALF(0.5),
    AS_ANNOUNCED(1),
    HALF_AS_LONG_AGAIN(1.5);

    final double factor;

    Notice(double times) {
      this.factor = times;
    }
  }

  private static Simulation createLoadedSimulation(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, 6));
    simulation.cloud.addType(
        new MachineType(SPOT, 4, 0, 16, 50, 0.5, 2, 0.1, 10, simulation.setup.zones()));
    for (int i = 0; i < MACHINES; i++) {
      String zone = simulation.setup.zones().get(i % 3);
      simulation.cloud.addMachine("vm-spot" + i, new CloudModel.Kind(SPOT, zone, true), true);
    }
    simulation.runTo(4);
    JobDraft replicas = JobDraft.array("wk-s", REPLICAS).kind(JobKind.SERVICE).spread();
    simulation.submit(replicas.spot().machineTypes(SPOT).spec(), null);
    simulation.submit(
        JobDraft.gang("wk-g0", 4).spot().machineTypes(SPOT).oneZone().saves(1).spec(), 25_000L);
    simulation.submit(JobDraft.gang("wk-g1", 4).spot().spread().saves(1).spec(), 25_000L);
    simulation.submit(JobDraft.array("wk-a", 6).spot().spec(), 25_000L);
    simulation.runTo(18);
    simulation.onlyLeader();
    assertEquals(REPLICAS, simulation.checker.tasksOnMachines("wk-s"), simulation.recentLog());
    return simulation;
  }

  /**
   * Most spot machines are preempted within seconds, and the leader is lost when they get their
   * notice, when they are preempted, or in between; in half of the seeds one machine cannot be
   * reached from the notice on.
   */
  @Test
  void replicasMoveOffPreemptedMachinesDuringFailover() {
    int preempted = 0;
    int moved = 0;
    int broken = 0;
    int played = 0;
    for (Notice notice : Notice.values()) {
      for (LeaderFault fault : LeaderFault.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = createLoadedSimulation(seed);
          List<String> spot = new ArrayList<>();
          for (int i = (int) (seed % 3); i < MACHINES; i++) {
            spot.add("vm-spot" + i);
          }
          for (String machine : spot) {
            simulation.after(
                simulation.random.nextLong(1500), () -> preempt(simulation, machine, notice));
          }
          if (seed % 2 == 0) {
            String machine = spot.get(simulation.random.nextInt(spot.size()));
            simulation.controllers.forEach(
                controller -> simulation.cutBoth(controller.name, machine));
          }
          long preemptionMs = Math.round(NOTICE_MS * notice.factor);
          simulation.after(
              List.of(500L, preemptionMs / 2, preemptionMs + 1000).get((int) (seed % 3)),
              () -> apply(simulation, simulation.onlyLeader(), fault));
          simulation.runTo(20 + preemptionMs / 1000.0);
          moved += REPLICAS - simulation.checker.tasksOnMachines("wk-s");
          boolean replaced =
              simulation.runUntil(() -> simulation.checker.tasksOnMachines("wk-s") == REPLICAS, 90);
          assertTrue(replaced, simulation.fullLog());
          healAndAssertServed(simulation, 100);
          preempted += simulation.cloud.preemptedWithTasks;
          broken += simulation.gangs.lostWhileRunning;
          played++;
        }
      }
    }
    assertTrue(
        preempted >= 4 * played,
        preempted + " machines with tasks were preempted; plays: " + played);
    assertTrue(moved >= 4 * played, moved + " replicas had to move to another machine");
    assertTrue(broken >= played / 2, broken + " gangs lost a task");
  }

  private static void preempt(Simulation simulation, String machine, Notice notice) {
    if (notice == Notice.NONE) {
      simulation.cloud.preempt(machine);
    } else {
      simulation.cloud.announcePreemption(machine, NOTICE_MS, notice.factor);
    }
  }

  /**
   * Whatever starts on two machines from now on fails, while tasks of a gang run there from before;
   * the machines are drained while the leader changes, and released.
   */
  @Test
  void faultyMachinesAreDrainedDuringFailover() {
    int drained = 0;
    int halted = 0;
    int saved = 0;
    int played = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (long seed = 1; seed <= 2 * SEEDS; seed++) {
        Simulation simulation = createLoadedSimulation(seed);
        String type = CloudModel.TYPE;
        simulation.submit(
            JobDraft.gang("wk-gang", 6).machineTypes(type).takes(3, 0).saves(1).spec(), 60_000L);
        simulation.runTo(24);
        List<String> faulty = List.of("vm-" + seed % 6, "vm-" + (seed + 2) % 6);
        faulty.forEach(machine -> simulation.workers.get(machine).faulty = true);
        for (int i = 0; i < 20; i++) {
          JobDraft draft =
              i % 4 == 0 ? JobDraft.gang("wk-f" + i, 2) : JobDraft.array("wk-f" + i, 1);
          simulation.after(
              300L * i,
              () -> simulation.submitAsUser(draft.machineTypes(type).spec(), 4_000L, () -> {}));
        }
        simulation.after(
            1000 + 500 * seed, () -> apply(simulation, simulation.onlyLeader(), fault));
        simulation.runTo(70);
        halted += simulation.checker.stopped;
        saved += simulation.gangs.stoppedInOrder;
        for (String machine : faulty) {
          WorkerModel worker = simulation.workers.get(machine);
          drained += worker.isAlive() ? 0 : 1;
          worker.faulty = false;
        }
        healAndAssertServed(simulation, 120);
        played++;
      }
    }
    assertTrue(drained >= played / 2, drained + " machines drained; plays: " + played);
    assertTrue(halted >= played / 2, halted + " tasks stopped");
    assertTrue(saved >= played / 6, saved + " gangs saved");
  }
}
