package org.astershift.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.astershift.config.OperatorSettings;
import org.junit.jupiter.api.Test;

/** Outstanding decisions are dropped with the job or machine that they refer to. */
class OutstandingDecisionsTest {
  private static final int JOBS = 100;
  private final Team team = new Team("team", 0, 0, 0, 0);
  private final MachineType small =
      new MachineType("small", 4, 0, 16, 50, 0.5, 1, 0.3, 20, List.of("a"));
  private final Scheduler scheduler =
      new Scheduler(
          new DeploymentLimits(Map.of("team", team), List.of(), 2, 14, 30, 4, 40, 3),
          OperatorSettings.defaults(),
          7);

  private static JobSpec job(String id) {
    return new JobSpec(
        id,
        "c",
        "team",
        JobKind.ARRAY,
        Priority.NORMAL,
        1,
        0.01,
        0,
        0.01,
        "i",
        1,
        null,
        null,
        false,
        false,
        false,
        20,
        0,
        0,
        null);
  }

  /** Jobs are cancelled while the write that opens them is in flight, and machines are released. */
  @Test
  void decisionsOfEndedJobsAndReleasedMachinesAreDropped() {
    scheduler.updateMachineTypes(Map.of("small", small));
    Decision.ProvisionMachines request = new Decision.ProvisionMachines("small", "a", false, 1);
    scheduler.onMachinesProvisioned("r", List.of("vm-1"), request, 0);
    scheduler.onMachineRegistered("vm-1");
    scheduler.onMachinesProvisioned("s", List.of("vm-2"), request, 0);
    for (String machine : List.of("vm-1", "vm-2")) {
      scheduler.onHeartbeat(
          new Heartbeat(machine, "x", "small", "a", false, 1, 1, 7, null, List.of()), 0, 0);
    }
    for (int i = 0; i < JOBS; i++) {
      scheduler.addJob(job("wk-" + i), false, new BitSet(), 0);
    }
    for (int pass = 1;
        pass <= 4;
        pass++) { // the number of starts per pass on one machine is limited
      scheduler.runPass(pass, Long.MAX_VALUE);
    }
    assertEquals(
        JOBS + 1,
        scheduler.outstandingDecisionCount(),
        "one outstanding decision for each job, and one for an unregistered machine");
    for (int i = 0; i < JOBS; i++) {
      scheduler.onJobEnded("wk-" + i, true, 5);
    }
    scheduler.onMachinesReleased(List.of("vm-1", "vm-2"), 5);
    scheduler.runPass(6, Long.MAX_VALUE);
    assertEquals(0, scheduler.outstandingDecisionCount());
  }
}
