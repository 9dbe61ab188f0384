package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.astershift.config.OperatorSettings;
import org.junit.jupiter.api.Test;

/**
 * Bounds the cost of a scheduling pass and of a heartbeat at 1,000 machines and 100,000 tasks. The
 * cost is counted in candidate checks (a job considered for a machine) instead of measured time, so
 * the result is the same on any computer.
 */
class PassCostTest {
  private static final int MACHINES = 1000;
  private static final int JOBS = 100;
  private final Scheduler scheduler;
  private long nowMs = 1_000_000;

  PassCostTest() {
    DeploymentLimits limits =
        new DeploymentLimits(
            Map.of("team", new Team("team", 0, 0, 0, 0)),
            List.of(new ServiceLevelObjective("wait", "urgent", 2, 0.9, 1)),
            4,
            22,
            30,
            4,
            52,
            3);
    scheduler = new Scheduler(limits, OperatorSettings.defaults(), 7);
    MachineType type =
        new MachineType("small", 4, 0, 16, 50, 1, 0.2, 0.1, 15, List.of("a", "b", "c", "d"));
    scheduler.updateMachineTypes(Map.of("small", type));
  }

  private void addJob(int number, String jobClass, Priority priority, int tasks) {
    JobSpec spec =
        new JobSpec(
            String.format("wk-%06d", number),
            jobClass,
            "team",
            JobKind.ARRAY,
            priority,
            tasks,
            1,
            0,
            1,
            "image-" + number % 7,
            1,
            null,
            null,
            false,
            false,
            true,
            60,
            0,
            0,
            null);
    scheduler.addJob(spec, true, new BitSet(), nowMs);
  }

  private HeartbeatResponse sendHeartbeat(
      int machine, long sequence, List<Heartbeat.TaskStatus> tasks) {
    return scheduler.onHeartbeat(
        new Heartbeat(
            "vm-" + machine,
            "10.0.0.1:" + machine,
            "small",
            List.of("a", "b", "c", "d").get(machine % 4),
            false,
            1,
            sequence,
            7,
            null,
            tasks),
        nowMs,
        nowMs);
  }

  /**
   * Fills the fleet and handles a heartbeat of every machine that shows its tasks.
   *
   * @return the statuses of the running tasks, by machine number
   */
  private List<List<Heartbeat.TaskStatus>> fillFleet() {
    for (int i = 0; i < MACHINES; i++) {
      scheduler.addInheritedMachine(
          "vm-" + i, "10.0.0.1:" + i, "small", "abcd".charAt(i % 4) + "", false, nowMs);
    }
    for (int i = 0; i < JOBS; i++) {
      addJob(i, "bulk", Priority.LOW, 1000);
    }
    for (int i = 0; i < MACHINES; i++) {
      sendHeartbeat(i, 1, List.of());
    }
    List<List<Heartbeat.TaskStatus>> running = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      running.add(new ArrayList<>());
    }
    for (int pass = 0; pass < 40; pass++) {
      nowMs += 250;
      scheduler.runPass(nowMs, Long.MAX_VALUE);
      for (int machine = 0; machine < MACHINES; machine++) {
        HeartbeatResponse response = sendHeartbeat(machine, 2 + pass, running.get(machine));
        for (Command command : response.commands()) {
          running
              .get(machine)
              .add(
                  new Heartbeat.TaskStatus(
                      command.jobId(),
                      command.index(),
                      command.attemptNumber(),
                      Heartbeat.TaskPhase.RUNNING,
                      null));
        }
      }
    }
    for (int i = 0; i < MACHINES; i++) {
      sendHeartbeat(i, 100, running.get(i));
    }
    nowMs += 250;
    scheduler.runPass(nowMs, Long.MAX_VALUE);
    return running;
  }

  @Test
  void fullMachinesCauseNoCandidateChecks() {
    List<List<Heartbeat.TaskStatus>> running = fillFleet();
    assertEquals(
        MACHINES * 4,
        running.stream().mapToInt(List::size).sum(),
        "the fleet should be full: four tasks on each machine");
    long before = scheduler.candidateChecks();
    nowMs += 250;
    scheduler.runPass(nowMs, Long.MAX_VALUE);
    assertEquals(
        0,
        scheduler.candidateChecks() - before,
        "a pass in which nothing can be placed should need no candidate checks");
    before = scheduler.candidateChecks();
    for (int i = 0; i < MACHINES; i++) {
      sendHeartbeat(i, 101, running.get(i));
    }
    assertEquals(
        0,
        scheduler.candidateChecks() - before,
        "heartbeats without changes should need no candidate checks");
  }

  /**
   * An urgent job with a tight objective checks each machine once and then takes the best one,
   * however many tasks wait.
   */
  @Test
  void urgentJobChecksEachMachineAFewTimes() {
    fillFleet();
    addJob(JOBS, "urgent", Priority.HIGH, 50);
    long before = scheduler.candidateChecks();
    nowMs += 250;
    scheduler.runPass(nowMs, Long.MAX_VALUE);
    long candidateChecks = scheduler.candidateChecks() - before;
    assertTrue(
        candidateChecks >= MACHINES && candidateChecks <= 3 * MACHINES + 200,
        candidateChecks + " candidate checks");
  }
}
