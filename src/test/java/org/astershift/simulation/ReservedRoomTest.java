package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.Priority;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Guards against small jobs that wait for as long as a long task runs, as they did in earlier
 * versions. There is more work than room for minutes, without any fault: long tasks that leave a
 * part of each machine free, large tasks and gangs that fit on none of the machines, for which room
 * is reserved once they have waited for long, and small jobs that arrive all the time. No job waits
 * for 90 s while there is room for it, which is the bound that the operators ask for, and room was
 * reserved.
 */
class ReservedRoomTest {
  private static final int SEEDS = 6;
  private static final int MACHINES = 12;
  private static final double END_S = 420;
  private static final long LONG_MS = 300_000;
  private static final long SMALL_MS = 10_000;

  @Test
  void smallJobsDoNotStarveBesideReservedRoom() {
    long longestMs = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = playOverload(seed);
      assertEquals(List.of(), simulation.checker.violations, simulation.fullLog());
      longestMs = Math.max(longestMs, simulation.starvationCheck.longestWaitMs());
    }
    assertTrue(longestMs > 30_000, "longest wait while there was room: " + longestMs + " ms");
  }

  private static Simulation playOverload(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, MACHINES));
    simulation.cloud.capacity.put(CloudModel.TYPE, MACHINES);
    simulation.runTo(6);
    // Takes up to three of the four processors of each machine, some of them for minutes.
    for (int i = 0; i < MACHINES; i++) {
      long runMs = LONG_MS - simulation.random.nextLong(LONG_MS / 2);
      JobDraft draft = JobDraft.array("wk-long" + i, 1).classAndPriority("long", Priority.NORMAL);
      simulation.submit(draft.takes(2 + i % 2, 0).estimate(LONG_MS / 1000.0).spec(), runMs);
    }
    simulation.runTo(12);
    for (int i = 0; i < 4; i++) {
      JobDraft large = JobDraft.array("wk-large" + i, 2).classAndPriority("large", Priority.NORMAL);
      simulation.submit(large.takes(4, 0).spec(), SMALL_MS);
      JobDraft gang = JobDraft.array("wk-gang" + i, 6).kind(JobKind.GANG);
      simulation.submit(
          gang.classAndPriority("gang", Priority.NORMAL).takes(3, 0).spec(), SMALL_MS);
    }
    simulation.starvationCheck.onFaultsHealed();
    for (int i = 0; i < 130; i++) {
      int id = i;
      simulation.after(3000L * i, () -> submitSmallJob(simulation, id));
    }
    simulation.runTo(END_S);
    return simulation;
  }

  private static void submitSmallJob(Simulation simulation, int id) {
    Priority priority = id % 3 == 0 ? Priority.LOW : Priority.NORMAL;
    JobDraft draft = JobDraft.array("wk-s" + id, 2).classAndPriority("small" + id % 2, priority);
    simulation.submit(draft.takes(1 + id % 2, 0).spec(), SMALL_MS);
  }
}
