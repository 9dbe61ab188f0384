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
 * What a pass and a report cost at 1,000 machines and 100,000 tasks, counted as looks at a job for
 * a machine: no clock, so that the verdict is the same on any machine.
 */
class PassCostTest {
  private static final int MACHINES = 1000;
  private static final int JOBS = 100;
  private final Scheduler scheduler;
  private long nowMs = 1_000_000;

  PassCostTest() {
    DeploymentLimits facts =
        new DeploymentLimits(
            Map.of("team", new Team("team", 0, 0, 0, 0)),
            List.of(new ServiceLevelObjective("wait", "urgent", 2, 0.9, 1)),
            4,
            22,
            30,
            4,
            52,
            3);
    scheduler = new Scheduler(facts, OperatorSettings.defaults(), 7);
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

  private void sendHeartbeat(int machine, long seq, List<Heartbeat.TaskStatus> tasks) {
    scheduler.onHeartbeat(
        new Heartbeat(
            "vm-" + machine,
            "10.0.0.1:" + machine,
            "small",
            List.of("a", "b", "c", "d").get(machine % 4),
            false,
            1,
            seq,
            7,
            null,
            tasks),
        nowMs,
        nowMs);
  }

  /** A fleet that is full, with all reports in; gives what runs where. */
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
      for (Decision d : scheduler.runPass(nowMs, Long.MAX_VALUE)) {
        if (d instanceof Decision.SendCommands o) {
          int machine = Integer.parseInt(o.machineName().substring(3));
          for (Command order : o.commands()) {
            running
                .get(machine)
                .add(
                    new Heartbeat.TaskStatus(
                        order.jobId(),
                        order.index(),
                        order.attemptNumber(),
                        Heartbeat.TaskPhase.RUNNING,
                        null));
          }
          scheduler.onCommandResult(o.machineName(), false, null, nowMs, nowMs);
          sendHeartbeat(machine, 2 + pass, running.get(machine));
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
        MACHINES * 4, running.stream().mapToInt(List::size).sum(), "the fleet is not full");
    long before = scheduler.candidateChecks();
    nowMs += 250;
    scheduler.runPass(nowMs, Long.MAX_VALUE);
    assertEquals(
        0, scheduler.candidateChecks() - before, "a pass in which nothing could be placed");
    before = scheduler.candidateChecks();
    for (int i = 0; i < MACHINES; i++) {
      sendHeartbeat(i, 101, running.get(i));
    }
    assertEquals(0, scheduler.candidateChecks() - before, "reports in which nothing changed");
  }

  /** Tight work looks at each machine once and then takes the best, however much waits. */
  @Test
  void urgentJobChecksEachMachineAFewTimes() {
    fillFleet();
    addJob(JOBS, "urgent", Priority.HIGH, 50);
    long before = scheduler.candidateChecks();
    nowMs += 250;
    scheduler.runPass(nowMs, Long.MAX_VALUE);
    long looks = scheduler.candidateChecks() - before;
    assertTrue(looks >= MACHINES && looks <= 3 * MACHINES + 200, looks + " looks");
  }
}
