package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaults.assertDetected;
import static org.astershift.simulation.CombinedFaults.assertNoViolations;
import static org.astershift.simulation.CombinedFaults.nowS;
import static org.astershift.simulation.CombinedFaults.runForS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Machines that pause, that reach no controller, or that boot within seconds, while other faults
 * occur. Each case counts the fault that it is about, to show that it occurred.
 */
class MachineCombinedFaultsTest {
  /** Time after which a worker drops the response to a heartbeat. */
  private static final long RESPONSE_TIMEOUT_MS = 4000;

  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 40;
  private static final int MACHINES = 12;
  private static final int STREAM_JOBS = 120;
  private static final long LEASE_MS = Setup.of(3, MACHINES).leaseMs();

  /** What happens to the leader meanwhile. */
  private enum LeaderFault {
    STAYS,
    CRASHES,
    RESTARTS_AT_ONCE,
    HANDS_OVER
  }

  private static Simulation createLoadedSimulation(
      long seed, int replicas, double limit, Mutation... mutations) {
    Simulation simulation = CombinedFaults.createSimulation(seed, MACHINES, mutations);
    simulation.teamCpuLimit = limit;
    simulation.runTo(4);
    simulation.submit(JobDraft.job("wk-1", JobKind.SERVICE, replicas), null);
    simulation.runTo(20);
    simulation.onlyLeader();
    return simulation;
  }

  private static void apply(Simulation simulation, LeaderFault fault) {
    ControllerModel controller = simulation.onlyLeader();
    switch (fault) {
      case CRASHES -> {
        controller.crash();
        simulation.after(8000, controller::start);
      }
      case RESTARTS_AT_ONCE -> {
        controller.crash();
        simulation.after(300, controller::start);
      }
      case HANDS_OVER -> controller.resign();
      default -> {}
    }
  }

  private static List<WorkerModel> pickRandomMachines(Simulation simulation, int machines) {
    List<WorkerModel> alive = new ArrayList<>(simulation.workers.values());
    alive.removeIf(machine -> !machine.isAlive());
    List<WorkerModel> picked = new ArrayList<>();
    for (int i = 0; i < machines; i++) {
      picked.add(alive.remove(simulation.random.nextInt(alive.size())));
    }
    return picked;
  }

  private static int sumOverMachines(Simulation simulation, ToIntFunction<WorkerModel> count) {
    return simulation.workers.values().stream().mapToInt(count).sum();
  }

  /**
   * Submits one-task jobs, four a second; each fourth of them is cancelled soon after it was
   * accepted.
   */
  private static void submitStream(Simulation simulation, int jobs, long runMs) {
    for (int i = 0; i < jobs; i++) {
      String job = "wk-" + (1000 + i);
      Runnable then =
          () ->
              simulation.after(
                  simulation.random.nextLong(3000), () -> simulation.cancelAsUser(job));
      boolean cancelled = i % 4 == 3;
      simulation.after(
          i * 250L,
          () ->
              simulation.submitAsUser(
                  JobDraft.job(job, JobKind.ARRAY, 1), runMs, cancelled ? then : () -> {}));
    }
  }

  /**
   * {@code lastStartMs}: time from the beginning of the partition to the last start on an
   * outbound-partitioned machine, 0 if there was none; {@code movedMs}: time until all tasks of
   * these machines ran elsewhere.
   */
  private record PartitionPlay(Simulation simulation, long lastStartMs, long movedMs) {}

  /**
   * Machines reach no controller for three leases, while direct commands reach them. They get no
   * new tasks, the tasks that they held run elsewhere, and the tasks that users cancel there end in
   * time; also where the leader changes meanwhile: the new leader sees these machines only by their
   * answers, and waits for none of them.
   */
  @Test
  void outboundPartitionedMachinesGetNoNewTasks() {
    int undelivered = 0;
    int killed = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        PartitionPlay played = playOutboundPartition(seed, seed % 2 == 0 ? 1 : 4, fault);
        assertNoViolations(played.simulation);
        assertEquals(
            2 * MACHINES,
            played.simulation.checker.tasksOnMachines("wk-1"),
            played.simulation.fullLog());
        assertEquals(
            STREAM_JOBS + 1, played.simulation.checker.jobsEnded(), played.simulation.fullLog());
        undelivered += sumOverMachines(played.simulation, machine -> machine.undeliveredHeartbeats);
        killed += played.simulation.checker.killedOnLeaseExpiry;
        assertNoStartAfterResponseTimeout(played);
        assertTrue(
            played.movedMs <= 2 * LEASE_MS,
            played.movedMs + " ms until all tasks ran elsewhere\n" + played.simulation.fullLog());
      }
    }
    assertTrue(undelivered > 500, undelivered + " heartbeats reached no controller");
    assertTrue(killed > 50, killed + " tasks were killed by an expired lease");
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertNoStartAfterResponseTimeout(
          playOutboundPartition(seed, 4, LeaderFault.STAYS, Mutation.COMMAND_ANSWERS_RENEW_LEASES));
    }
  }

  /** Asserts that nothing started once no response to a heartbeat could arrive any more. */
  private static void assertNoStartAfterResponseTimeout(PartitionPlay played) {
    assertTrue(
        played.lastStartMs <= RESPONSE_TIMEOUT_MS,
        played.lastStartMs + " ms to the last start\n" + played.simulation.fullLog());
  }

  private static PartitionPlay playOutboundPartition(
      long seed, int machines, LeaderFault fault, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, 2 * MACHINES, 0, mutations);
    submitStream(simulation, STREAM_JOBS, 4000);
    simulation.submitAsUser(JobDraft.job("wk-2", JobKind.ARRAY, 8), 300_000L, () -> {});
    simulation.runTo(27);
    List<WorkerModel> partitioned = pickRandomMachines(simulation, machines);
    List<String> held = new ArrayList<>();
    for (WorkerModel machine : partitioned) {
      held.addAll(machine.liveTasks().stream().filter(task -> task.startsWith("wk-1/")).toList());
      machine.partitionOutbound(3 * LEASE_MS);
    }
    long fromMs = simulation.now();
    simulation.runTo(29);
    apply(simulation, fault);
    simulation.cancelAsUser("wk-2");
    Set<String> missing = new HashSet<>(held);
    long movedMs = 0;
    while (simulation.now() < fromMs + 3 * LEASE_MS - 250) {
      simulation.runTo((simulation.now() + 250) / 1000.0);
      for (WorkerModel machine : simulation.workers.values()) {
        if (!partitioned.contains(machine)) {
          machine.liveTasks().forEach(missing::remove);
        }
      }
      movedMs = missing.isEmpty() ? movedMs : simulation.now() - fromMs;
    }
    long startedMs =
        partitioned.stream().mapToLong(machine -> machine.lastTaskStartMs).max().orElse(0) - fromMs;
    simulation.runTo(110);
    return new PartitionPlay(simulation, Math.max(0, startedMs), movedMs);
  }

  /**
   * Machines that pause for less than a lease, for exactly one lease and for longer hold up
   * commands and answers; starts and stops come in any order, and the leader changes or not.
   */
  @Test
  void jobsEndDespitePausedMachines() {
    int executed = 0;
    int answered = 0;
    int resumed = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (long pauseMs : pauseDurationsMs()) {
        for (long seed = 1; seed <= 3 * SEEDS; seed++) {
          Simulation simulation = playPauses(seed, pauseMs, fault);
          assertNoViolations(simulation);
          assertEquals(12, simulation.checker.jobsEnded(), simulation.fullLog());
          assertEquals(
              2 * MACHINES, simulation.checker.tasksOnMachines("wk-1"), simulation.fullLog());
          executed += sumOverMachines(simulation, machine -> machine.commandsAfterPause);
          answered += sumOverMachines(simulation, machine -> machine.answersAfterPause);
          resumed += sumOverMachines(simulation, machine -> machine.tasksResumed);
        }
      }
    }
    assertTrue(executed > 40, executed + " commands were executed when a machine resumed");
    assertTrue(answered > 15, answered + " heartbeat answers were handled when a machine resumed");
    assertTrue(resumed > 200, resumed + " tasks resumed");
    assertDetected(
        Mutation.NO_INHERITED_MACHINES,
        MUTANT_SEEDS,
        seed ->
            playPauses(seed, LEASE_MS / 2, LeaderFault.CRASHES, Mutation.NO_INHERITED_MACHINES));
  }

  private static void pause(WorkerModel machine, boolean afterHeartbeat, long pauseMs) {
    if (afterHeartbeat) {
      machine.pauseAfterHeartbeat(pauseMs);
    } else {
      machine.pause(pauseMs);
    }
  }

  private static long[] pauseDurationsMs() {
    return new long[] {3000, LEASE_MS / 2, LEASE_MS - 1000, LEASE_MS, 2 * LEASE_MS};
  }

  private static Simulation playPauses(
      long seed, long pauseMs, LeaderFault fault, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, 2 * MACHINES, 0, mutations);
    for (int i = 20; i < 32; i++) {
      String job = "wk-" + i;
      Runnable cancel =
          () ->
              simulation.after(
                  simulation.random.nextLong(4000), () -> simulation.cancelAsUser(job));
      Runnable then = i % 2 == 0 ? cancel : () -> {};
      simulation.after(
          simulation.random.nextLong(1500),
          () -> simulation.submitAsUser(JobDraft.job(job, JobKind.ARRAY, 2), 3000L, then));
    }
    for (WorkerModel machine : pickRandomMachines(simulation, 5)) {
      boolean afterHeartbeat = simulation.random.nextBoolean();
      simulation.after(
          simulation.random.nextLong(1500), () -> pause(machine, afterHeartbeat, pauseMs));
    }
    simulation.runTo(20.5 + simulation.random.nextInt(3000) / 1000.0);
    apply(simulation, fault);
    simulation.pollAllJobs();
    simulation.runTo(100);
    return simulation;
  }

  /**
   * Many jobs with long tasks are cancelled within a fifth of a second, and up to eight of their
   * machines pause just then; the leader stays, or is lost as soon as it has confirmed one of the
   * cancellations.
   */
  @Test
  void cancelledJobsEndOnPausedMachines() {
    int resumed = 0;
    int left = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (long pauseMs : pauseDurationsMs()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation simulation = playCancellations(seed, pauseMs, fault);
          assertNoViolations(simulation);
          for (int i = 20; i < 34; i++) {
            assertTrue(
                simulation.checker.cancelConfirmedMs("wk-" + i) != null, simulation.fullLog());
            assertEquals(0, simulation.checker.tasksOnMachines("wk-" + i), simulation.fullLog());
          }
          assertEquals(
              4,
              simulation.checker.tasksOnMachines("wk-34")
                  + simulation.checker.tasksOnMachines("wk-35"),
              simulation.fullLog());
          resumed += sumOverMachines(simulation, machine -> machine.cancelledTasksResumed);
          left += simulation.checker.leftAtConfirmation;
        }
      }
    }
    assertTrue(left > 100, left + " tasks were left when their cancellation was confirmed");
    assertTrue(resumed > 50, resumed + " cancelled tasks resumed with their machine");
    assertDetected(
        Mutation.NO_STOPS_FOR_ENDED_JOBS,
        MUTANT_SEEDS,
        seed ->
            playCancellations(
                seed, LEASE_MS / 2, LeaderFault.CRASHES, Mutation.NO_STOPS_FOR_ENDED_JOBS));
  }

  private static Simulation playCancellations(
      long seed, long pauseMs, LeaderFault fault, Mutation... mutations) {
    Simulation simulation = createLoadedSimulation(seed, MACHINES, 0, mutations);
    for (int i = 20; i < 36; i++) {
      simulation.submitAsUser(JobDraft.job("wk-" + i, JobKind.ARRAY, 2), 300_000L, () -> {});
    }
    simulation.runTo(30);
    for (int i = 20; i < 34; i++) {
      String job = "wk-" + i;
      simulation.after(simulation.random.nextLong(200), () -> simulation.cancelAsUser(job));
    }
    for (WorkerModel machine : pickRandomMachines(simulation, 8)) {
      boolean afterHeartbeat = simulation.random.nextInt(4) == 0;
      simulation.after(
          simulation.random.nextLong(300), () -> pause(machine, afterHeartbeat, pauseMs));
    }
    simulation.runUntil(simulation.checker::hasConfirmedCancels, 32);
    apply(simulation, fault);
    simulation.pollAllJobs();
    simulation.runTo(100);
    return simulation;
  }

  /**
   * Machines boot within two seconds, some before the controller has the answer to its provisioning
   * request, and get work at once, while the leader's writes get no answer and are applied late;
   * the leader is lost meanwhile, twice. No task runs twice, no limit is exceeded, and each machine
   * that has tasks is known in the end.
   */
  @Test
  void fastBootingMachinesAreKnownAfterFailover() {
    int early = 0;
    int busyEarly = 0;
    int late = 0;
    for (LeaderFault fault : LeaderFault.values()) {
      for (long seed = 1; seed <= 2 * SEEDS; seed++) {
        Simulation simulation = playFastBoots(seed, fault);
        assertNoViolations(simulation);
        assertEquals(
            5 * MACHINES, simulation.checker.tasksOnMachines("wk-2"), simulation.fullLog());
        assertEquals(10, simulation.checker.jobsEnded(), simulation.fullLog());
        early += simulation.cloud.aliveBeforeAnswer;
        busyEarly += simulation.cloud.busyBeforeAnswer;
        late += simulation.store.appliedAfterNewer;
      }
    }
    assertTrue(
        early > 100, early + " machines were up before their provisioning request was answered");
    assertTrue(busyEarly > 20, busyEarly + " of them had tasks by then");
    assertNotEquals(0, late, "no late write was applied after a newer one");
    assertDetected(
        Mutation.TASKS_BEFORE_REGISTRATION,
        MUTANT_SEEDS,
        seed -> playFastBoots(seed, LeaderFault.CRASHES, Mutation.TASKS_BEFORE_REGISTRATION));
  }

  private static Simulation playFastBoots(long seed, LeaderFault fault, Mutation... mutations) {
    Simulation simulation =
        createLoadedSimulation(seed, MACHINES, seed % 2 == 0 ? 0 : 6.5 * MACHINES, mutations);
    simulation.cloud.bootMs = () -> 50 + simulation.random.nextLong(1950);
    simulation.cloud.answerDelayMs = 4000;
    simulation.store.lateShare = 0.4;
    simulation.store.answerDelayMs = 300;
    simulation.submit(JobDraft.job("wk-2", JobKind.SERVICE, 5 * MACHINES), null);
    for (int i = 20; i < 30; i++) {
      String job = "wk-" + i;
      Runnable then =
          () ->
              simulation.after(
                  simulation.random.nextLong(4000), () -> simulation.cancelAsUser(job));
      simulation.submitAsUser(
          JobDraft.job(job, JobKind.ARRAY, 2), 5_000L, i % 2 == 0 ? then : () -> {});
    }
    simulation.runTo(22 + simulation.random.nextInt(6000) / 1000.0);
    apply(simulation, fault);
    simulation.runUntil(() -> !simulation.leaders().isEmpty(), nowS(simulation) + 15);
    runForS(simulation, simulation.random.nextInt(5000) / 1000.0);
    simulation.store.lateShare = 0;
    for (ControllerModel controller : simulation.leaders()) {
      controller.crash();
      simulation.after(1000, controller::start);
    }
    simulation.runTo(110);
    return simulation;
  }
}
