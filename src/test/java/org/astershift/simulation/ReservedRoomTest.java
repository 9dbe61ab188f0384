package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.Priority;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * More work than room for minutes, without any fault: long tasks that leave a part of each machine
 * free, large tasks and gangs that fit on none of them, for which room is kept once they have
 * waited for long, and small work that comes all the time. Nothing waits for 90 s beside room,
 * which the operators' page asks for, and room was kept: on the sources before small work waited
 * for as long as a long task ran.
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
    assertTrue(longestMs > 30_000, "the longest wait beside room was " + longestMs + " ms");
  }

  private static Simulation playOverload(long seed) {
    Simulation simulation = new Simulation(seed, Setup.of(3, MACHINES));
    simulation.cloud.capacity.put(CloudModel.TYPE, MACHINES);
    simulation.runTo(6);
    // Three of four processors of each machine, in part for minutes.
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
