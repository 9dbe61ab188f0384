package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.MachineType;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Machines that the cloud takes back, told of or not, and machines that are drained, as the leader
 * changes: replicas find another place, gangs and arrays end. Each case counts that its troubles
 * met.
 */
class SpotCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final String SPOT = "brief";
  private static final int MACHINES = 9;
  private static final int REPLICAS = 12;
  private static final long NOTICE_MS = 12_000;

  /** What becomes of the leader. */
  private enum Fate {
    CRASHES,
    HANDS_OVER,
    STANDS_STILL
  }

  /** How long before they are taken machines are told, against what they are told. */
  private enum Notice {
    NONE(0),
    HALF(0.5),
    AS_TOLD(1),
    HALF_AS_LONG_AGAIN(1.5);

    final double times;

    Notice(double times) {
      this.times = times;
    }
  }

  private static Simulation world(long seed) {
    Simulation w = new Simulation(seed, Setup.of(3, 6));
    w.cloud.offer(new MachineType(SPOT, 4, 0, 16, 50, 0.5, 2, 0.1, 10, w.setup.zones()));
    for (int i = 0; i < MACHINES; i++) {
      String zone = w.setup.zones().get(i % 3);
      w.cloud.add("vm-spot" + i, new CloudModel.Kind(SPOT, zone, true), true);
    }
    w.runTo(4);
    JobDraft replicas = JobDraft.array("wk-s", REPLICAS).kind(JobKind.SERVICE).spread();
    w.submit(replicas.spot().only(SPOT).spec(), null);
    w.submit(JobDraft.gang("wk-g0", 4).spot().only(SPOT).oneZone().saves(1).spec(), 25_000L);
    w.submit(JobDraft.gang("wk-g1", 4).spot().spread().saves(1).spec(), 25_000L);
    w.submit(JobDraft.array("wk-a", 6).spot().spec(), 25_000L);
    w.runTo(18);
    w.onlyLeader();
    assertEquals(REPLICAS, w.checker.on("wk-s"), w.story());
    return w;
  }

  private static void suffer(Simulation w, Fate fate) {
    ControllerModel old = w.onlyLeader();
    switch (fate) {
      case CRASHES -> {
        old.crash();
        w.after(300 + w.random.nextLong(4000), old::start);
      }
      case HANDS_OVER -> old.handOver();
      default -> old.freeze(4000 + w.random.nextLong(6000));
    }
  }

  /** So long later all replicas run, all else is done, and no rule was broken. */
  private static void assertServed(Simulation w, double afterS) {
    w.healAll();
    w.leftWaiting.troublesAreOver();
    w.runTo(w.now() / 1000.0 + afterS);
    assertEquals(List.of(), w.checker.broken, () -> "seed " + w.seed + "\n" + w.wholeStory());
    for (String job : w.users.accepted()) {
      String message = "seed " + w.seed + ": " + job + " is left\n";
      boolean ends = w.users.runMsOf(job, 0) != null;
      assertTrue(!ends || w.checker.isOver(job), () -> message + w.wholeStory());
    }
  }

  /**
   * Most spot machines are taken back within seconds, and the leader ends as they are told, as they
   * go, or in between; in half of the seeds one cannot be reached from the notice on.
   */
  @Test
  void spotMachinesAreTakenBackAsTheLeaderChanges() {
    int taken = 0;
    int moved = 0;
    int broken = 0;
    int played = 0;
    for (Notice notice : Notice.values()) {
      for (Fate fate : Fate.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation w = world(seed);
          List<String> spot = new ArrayList<>();
          for (int i = (int) (seed % 3); i < MACHINES; i++) {
            spot.add("vm-spot" + i);
          }
          for (String machine : spot) {
            w.after(w.random.nextLong(1500), () -> takeBack(w, machine, notice));
          }
          if (seed % 2 == 0) {
            String machine = spot.get(w.random.nextInt(spot.size()));
            w.nodes.forEach(n -> w.cutBoth(n.name, machine));
          }
          long goMs = Math.round(NOTICE_MS * notice.times);
          w.after(
              List.of(500L, goMs / 2, goMs + 1000).get((int) (seed % 3)), () -> suffer(w, fate));
          w.runTo(20 + goMs / 1000.0);
          moved += REPLICAS - w.checker.on("wk-s");
          boolean back = w.runUntil(() -> w.checker.on("wk-s") == REPLICAS, 90);
          assertTrue(back, w.wholeStory());
          assertServed(w, 100);
          taken += w.cloud.takenWithTasks;
          broken += w.gangs.broken;
          played++;
        }
      }
    }
    assertTrue(taken >= 4 * played, taken + " machines taken with tasks, in " + played);
    assertTrue(moved >= 4 * played, moved + " replicas had to find another place");
    assertTrue(broken >= played / 2, broken + " gangs lost a task");
  }

  private static void takeBack(Simulation w, String machine, Notice notice) {
    if (notice == Notice.NONE) {
      w.cloud.take(machine);
    } else {
      w.cloud.recall(machine, NOTICE_MS, notice.times);
    }
  }

  /**
   * What is started on two machines from now on fails, and tasks of a gang run there from before;
   * they are drained as the leader changes, and given back.
   */
  @Test
  void faultyMachinesAreDrainedAsTheLeaderChanges() {
    int drained = 0;
    int halted = 0;
    int saved = 0;
    int played = 0;
    for (Fate fate : Fate.values()) {
      for (long seed = 1; seed <= 2 * SEEDS; seed++) {
        Simulation w = world(seed);
        String type = CloudModel.TYPE;
        w.submit(JobDraft.gang("wk-gang", 6).only(type).takes(3, 0).saves(1).spec(), 60_000L);
        w.runTo(24);
        List<String> faulty = List.of("vm-" + seed % 6, "vm-" + (seed + 2) % 6);
        faulty.forEach(machine -> w.workers.get(machine).faulty = true);
        for (int i = 0; i < 20; i++) {
          JobDraft d = i % 4 == 0 ? JobDraft.gang("wk-f" + i, 2) : JobDraft.array("wk-f" + i, 1);
          w.after(300L * i, () -> w.userSubmits(d.only(type).spec(), 4_000L, () -> {}));
        }
        w.after(1000 + 500 * seed, () -> suffer(w, fate));
        w.runTo(70);
        halted += w.checker.halted;
        saved += w.gangs.stoppedInOrder;
        for (String machine : faulty) {
          WorkerModel m = w.workers.get(machine);
          drained += m.alive() ? 0 : 1;
          m.faulty = false;
        }
        assertServed(w, 120);
        played++;
      }
    }
    assertTrue(drained >= played / 2, drained + " machines drained, in " + played);
    assertTrue(halted >= played / 2, halted + " tasks stopped");
    assertTrue(saved >= played / 6, saved + " gangs saved");
  }
}
