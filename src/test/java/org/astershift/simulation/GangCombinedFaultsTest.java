package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Priority;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.scheduler.Team;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Gangs, whose tasks gather, run, save and complete together, as the leader changes and machines
 * cannot be reached. Each case counts that its troubles met.
 */
class GangCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final List<String> GANGS = List.of("wk-g0", "wk-g1", "wk-g2", "wk-g3");

  /** What becomes of the leader. */
  private enum Fate {
    CRASHES,
    HANDS_OVER,
    STANDS_STILL
  }

  /** What becomes of machines that hold tasks of the gangs. */
  private enum Trouble {
    CUT_OFF,
    DEAF,
    HANG
  }

  private static Simulation world(long seed) {
    Simulation w = new Simulation(seed, Setup.of(3, 12));
    w.runTo(4);
    w.submit(JobDraft.array("wk-all", 6).kind(JobKind.SERVICE).spec(), null);
    w.runTo(20);
    assertEquals(1, w.leaders().size(), w.story());
    return w;
  }

  private static void suffer(Simulation w, ControllerModel old, Fate fate) {
    switch (fate) {
      case CRASHES -> {
        old.crash();
        w.after(300 + w.random.nextLong(4000), old::start);
      }
      case HANDS_OVER -> old.handOver();
      default -> old.freeze(4000 + w.random.nextLong(6000));
    }
  }

  private static void trouble(Simulation w, Trouble trouble, String machine, long forMs) {
    if (trouble == Trouble.HANG) {
      w.workers.get(machine).hang(forMs);
      return;
    }
    for (ControllerModel n : w.nodes) {
      w.cut(n.name, machine);
      if (trouble == Trouble.CUT_OFF) {
        w.cut(machine, n.name);
      }
      w.after(forMs, () -> w.healBoth(n.name, machine));
    }
  }

  /** One gang anywhere, one in one zone, one in zone a, and one half of which is in one zone. */
  private static List<JobSpec> gangs() {
    return List.of(
        JobDraft.gang(GANGS.get(0), 6).saves(1).spec(),
        JobDraft.gang(GANGS.get(1), 6).oneZone().spec(),
        JobDraft.gang(GANGS.get(2), 4).zone("a").saves(1).spec(),
        JobDraft.gang(GANGS.get(3), 5).spread().spec());
  }

  /** Machines that hold tasks of the jobs. */
  private static List<String> machinesOf(Simulation w, List<String> jobs) {
    Set<String> on = new HashSet<>();
    w.checker.eachOnMachine(
        (task, machine) -> {
          if (jobs.contains(task.substring(0, task.indexOf('/')))) {
            on.add(machine);
          }
        });
    return on.stream().sorted().toList();
  }

  /** Machines that hold tasks of gangs that gather; where none does, of any of the gangs. */
  private static List<String> machinesThatGather(Simulation w) {
    List<String> gathering = GANGS.stream().filter(w.gangs::gathers).toList();
    return machinesOf(w, gathering.isEmpty() ? GANGS : gathering);
  }

  private static List<String> some(Simulation w, List<String> machines, int most) {
    List<String> left = new ArrayList<>(machines);
    List<String> out = new ArrayList<>();
    while (!left.isEmpty() && out.size() < most) {
      out.add(left.remove(w.random.nextInt(left.size())));
    }
    return out;
  }

  private static long count(Simulation w, Predicate<String> what) {
    return w.users.accepted().stream().filter(what).count();
  }

  /** The troubles are over: so long later all is done, and no rule was broken. */
  private static void assertSound(Simulation w, double afterS) {
    w.healAll();
    w.lateReports.release();
    w.leftWaiting.troublesAreOver();
    w.runTo(w.now() / 1000.0 + afterS);
    assertEquals(List.of(), w.checker.broken, () -> "seed " + w.seed + "\n" + w.wholeStory());
    for (String job : w.users.accepted()) {
      boolean ends = w.users.runMsOf(job, 0) != null;
      String message = "seed " + w.seed + ": " + job + " is left\n";
      assertTrue(!ends || w.checker.isOver(job), () -> message + w.wholeStory());
    }
  }

  /**
   * Gangs gather, since some machines do not hear of their start, and the leader ends; in half of
   * the seeds one of the machines on which a task waits for the others is lost, too.
   */
  @Test
  void gangsGatherAsTheLeaderEnds() {
    long gathered = 0;
    int lost = 0;
    int replaced = 0;
    int played = 0;
    for (Fate fate : Fate.values()) {
      for (Trouble trouble : Trouble.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation w = world(seed);
          ControllerModel old = w.leaders().get(0);
          long[] lasts = {6000, 12_000, 20_000, 34_000};
          for (String machine : some(w, List.copyOf(w.workers.keySet()), 3)) {
            trouble(w, trouble, machine, lasts[(int) (seed % 4)]);
          }
          gangs().forEach(g -> w.userSubmits(g, 12_000L, () -> {}));
          w.runTo(22 + 0.5 * (seed % 3));
          gathered += count(w, w.gangs::gathers);
          suffer(w, old, fate);
          if (seed % 2 == 0) {
            w.runTo(w.now() / 1000.0 + w.random.nextDouble());
            some(w, machinesThatGather(w), 1).forEach(m -> w.workers.get(m).beginAnew(500));
          }
          w.runTo(60);
          assertSound(w, 110);
          lost += w.gangs.lostWhileGathering;
          replaced += w.gangs.replaced;
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
  void tasksWaitInVainAsTheLeaderEnds() {
    int incomplete = 0;
    int played = 0;
    for (Fate fate : Fate.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation w = new Simulation(seed, Setup.of(3, 12));
        w.cloud.capacity.put(CloudModel.TYPE, 12);
        w.cloud.boots = () -> 32_000L;
        w.runTo(20);
        ControllerModel old = w.leaders().get(0);
        List<String> there =
            w.workers.values().stream().filter(m -> m.zone.equals("a")).map(m -> m.name).toList();
        String lost = some(w, there, 1).get(0);
        w.userSubmits(
            JobDraft.gang(GANGS.get(0), 4).zone("a").takes(4, 0).spec(), 12_000L, () -> {});
        w.runUntil(() -> w.gangs.gathers(GANGS.get(0)), 30);
        w.cloud.die(lost);
        w.after(26_000 + w.random.nextLong(5000), () -> suffer(w, old, fate));
        w.runTo(80);
        assertSound(w, 90);
        incomplete += w.gangs.incomplete;
        played++;
      }
    }
    assertTrue(incomplete >= 2 * played, incomplete + " tasks waited in vain, in " + played);
  }

  /** Full of gangs at which urgent work aims; so these are stopped as a whole, and save. */
  private static Simulation full(long seed) {
    Simulation w = new Simulation(seed, Setup.of(3, 12));
    w.cloud.capacity.put(CloudModel.TYPE, 12);
    w.objectives.add(new ServiceLevelObjective("wait", "u", 2, 0.9, 1));
    w.runTo(4);
    for (int i = 0; i < 4; i++) {
      JobDraft d = JobDraft.gang(GANGS.get(i), 12).in("c", Priority.LOW).saves(1 + i % 2);
      w.submit((i == 0 ? d.spread() : d).spec(), 25_000L);
    }
    w.runTo(20);
    assertEquals(1, w.leaders().size(), w.story());
    return w;
  }

  /**
   * Gangs are being stopped for urgent work, so that they save together, as the leader ends; in two
   * thirds of the seeds some machines do not hear of the stop, for less and for longer than the
   * others wait.
   */
  @Test
  void aLeaderEndsWhileGangsAreBeingStopped() {
    int saving = 0;
    int inOrder = 0;
    int failed = 0;
    int wentOn = 0;
    int tooLate = 0;
    int played = 0;
    for (Fate fate : Fate.values()) {
      for (Trouble trouble : Trouble.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation w = full(seed);
          ControllerModel old = w.leaders().get(0);
          for (String machine : some(w, machinesOf(w, GANGS), (int) (seed % 3) * 2)) {
            trouble(w, trouble, machine, seed < 3 ? 2500 : 9000);
          }
          w.submit(JobDraft.array("wk-u", 5).in("u", Priority.HIGH).spec(), 8_000L);
          boolean met = w.runUntil(() -> count(w, w.gangs::saves) > 0, 30);
          w.runTo(w.now() / 1000.0 + 0.3 * (seed % 4));
          saving += met ? 1 : 0;
          suffer(w, old, fate);
          w.runTo(45);
          assertSound(w, 150);
          inOrder += w.gangs.stoppedInOrder;
          failed += w.gangs.saveFailed;
          wentOn += w.gangs.wentOn;
          tooLate += w.gangs.startedTooLate;
          played++;
        }
      }
    }
    assertTrue(saving >= played * 3 / 4, saving + " saved as the leader ended, of " + played);
    assertTrue(inOrder >= played / 4, inOrder + " saved");
    assertTrue(failed >= played / 4, failed + " saved in vain");
    assertTrue(wentOn >= played / 2, wentOn + " went on from what was saved");
    assertEquals(0, tooLate, "tasks started of an attempt that had begun");
  }

  /** Gangs are called off within 0.2 s whose machines hang or are cut off; the leader changes. */
  @Test
  void gangsAreCancelledAsTheLeaderChanges() {
    int onTroubled = 0;
    int confirmed = 0;
    int gathered = 0;
    int played = 0;
    for (Fate fate : Fate.values()) {
      for (Trouble trouble : Trouble.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation w = world(seed);
          ControllerModel old = w.leaders().get(0);
          List<Long> whenMs = List.of(-1500L, 100L, 1500L);
          boolean early = seed % 2 == 0; // so that they are still gathering
          long forMs = 4000 + 4000 * seed;
          if (!early) {
            gangs().forEach(g -> w.userSubmits(g, 300_000L, () -> {}));
            w.runTo(26);
          }
          List<String> all = early ? List.copyOf(w.workers.keySet()) : machinesOf(w, GANGS);
          List<String> machines = some(w, all, 4);
          machines.forEach(m -> trouble(w, trouble, m, forMs));
          if (early) {
            gangs().forEach(g -> w.userSubmits(g, 300_000L, () -> {}));
          }
          w.after(2000 + whenMs.get((int) (seed % 3)), () -> suffer(w, old, fate));
          GANGS.forEach(g -> w.after(2000 + w.random.nextLong(200), () -> w.userCancels(g)));
          w.runTo(w.now() / 1000.0 + 2);
          gathered += count(w, w.gangs::gathers);
          int[] on = new int[1];
          w.checker.eachOnMachine((task, m) -> on[0] += machines.contains(m) ? 1 : 0);
          onTroubled += on[0];
          w.askAll();
          w.runTo(w.now() / 1000.0 + 45);
          assertSound(w, 30);
          confirmed += w.checker.confirmed();
          played++;
        }
      }
    }
    assertEquals(4 * played, confirmed, "gangs confirmed as cancelled in " + played);
    assertTrue(onTroubled >= 3 * played, onTroubled + " tasks on machines in trouble");
    assertTrue(gathered >= played / 2, gathered + " of the gangs gathered then");
  }

  /**
   * Gangs complete as the leader ends: reports of some machines from before come late, copies of
   * others are kept for the next leader, and one machine is lost before it tells.
   */
  @Test
  void gangsCompleteWhileReportsAreLateAndTheLeaderEnds() {
    int told = 0;
    int copies = 0;
    int heldBack = 0;
    int lost = 0;
    int played = 0;
    for (Fate fate : Fate.values()) {
      for (long seed = 1; seed <= 2 * SEEDS; seed++) {
        Simulation w = world(seed);
        ControllerModel old = w.leaders().get(0);
        w.lateReports.kept = 0.4;
        w.lateReports.heldBack = 0.3;
        gangs().forEach(g -> w.userSubmits(g, 8_000L, () -> {}));
        boolean runs = w.runUntil(() -> count(w, w.gangs::done) > 0, 60);
        assertTrue(runs, w.wholeStory());
        told += old.keeps(GANGS.get(0)) || old.keeps(GANGS.get(1)) ? 1 : 0;
        List<String> there = some(w, machinesOfDone(w), 1);
        there.forEach(m -> w.workers.get(m).beginAnew(300 + w.random.nextLong(2000)));
        lost += there.size();
        w.runTo(w.now() / 1000.0 + w.random.nextDouble());
        suffer(w, old, fate);
        w.askAll();
        w.runTo(w.now() / 1000.0 + 20);
        copies += w.lateReports.ofEndedTasks;
        heldBack += w.lateReports.heldBackAtLeader;
        assertSound(w, 60);
        played++;
      }
    }
    assertTrue(told >= played * 3 / 4, told + " were not known to be done, of " + played);
    assertTrue(copies >= played, copies + " copies with tasks that had ended");
    assertTrue(heldBack >= played / 4, heldBack + " reports held back until the next had acted");
    assertTrue(lost >= played * 3 / 4, lost + " machines lost before they told");
  }

  /** Machines with tasks that have just completed. */
  private static List<String> machinesOfDone(Simulation w) {
    return w.workers.values().stream()
        .filter(m -> m.tasks().stream().anyMatch(t -> w.gangs.done(t.job)))
        .map(m -> m.name)
        .toList();
  }

  /**
   * A team is at its limit by gangs, of processors and of accelerators, and more of them wait;
   * machines with its tasks are lost or cannot be reached, and the leader ends.
   */
  @Test
  void aTeamIsAtItsLimitByGangs() {
    int atLimit = 0;
    int onTroubled = 0;
    int played = 0;
    for (Fate fate : Fate.values()) {
      for (Trouble trouble : Trouble.values()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation w = limited(seed);
          ControllerModel old = w.leaders().get(0);
          double[] use = w.checker.use("red");
          atLimit += use[0] > 12 - 3 && use[1] > 3 - 2 ? 1 : 0;
          List<String> machines = some(w, machinesOf(w, List.copyOf(w.users.accepted())), 4);
          onTroubled += machines.size();
          long forMs = 5000 + 4000 * seed;
          machines.forEach(m -> trouble(w, trouble, m, forMs));
          if (seed % 2 == 0) {
            machines.stream().limit(2).forEach(w.cloud::die);
          }
          w.runTo(w.now() / 1000.0 + 1);
          if (seed % 3 == 0) {
            w.userCancels("wk-r0");
          }
          suffer(w, old, fate);
          w.runTo(w.now() / 1000.0 + 45);
          assertSound(w, 150);
          played++;
        }
      }
    }
    assertEquals(played, atLimit, "times at the limit");
    assertTrue(onTroubled >= 3 * played, onTroubled + " machines in trouble");
  }

  private static Simulation limited(long seed) {
    Simulation w = new Simulation(seed, Setup.of(3, 12));
    w.cloud.offer(new MachineType("accel", 4, 2, 16, 50, 0.5, 3, 1, 10, w.setup.zones()));
    for (int i = 0; i < 6; i++) {
      String zone = w.setup.zones().get(i % 3);
      w.cloud.add("vm-acc" + i, new CloudModel.Kind("accel", zone, false), true);
    }
    w.teams.put("red", new Team("red", 4, 12, 1, 3));
    w.teams.put("team", new Team("team", 0, 0, 0, 0));
    w.runTo(4);
    for (int i = 0; i < 4; i++) {
      JobDraft acc = JobDraft.gang("wk-ra" + i, 2).of("red").takes(1, 1);
      w.submit((i % 2 == 0 ? acc.oneZone() : acc).spec(), 15_000L);
    }
    w.runTo(6);
    for (int i = 0; i < 6; i++) {
      JobDraft d = JobDraft.gang("wk-r" + i, 2 + i % 3).of("red").saves(i % 2);
      w.submit((i % 3 == 0 ? d.oneZone() : d).spec(), 15_000L);
    }
    w.runTo(17);
    assertEquals(1, w.leaders().size(), w.story());
    return w;
  }

  /**
   * The starts of half a gang are held on their way, the others gather; the leader ends, and the
   * starts arrive later, from before the next leader is heard there until after it. In a third of
   * the seeds the gangs are called off meanwhile.
   */
  @Test
  void startsOfHalfAGangAreHeldOnTheirWay() {
    int held = 0;
    long gathered = 0;
    int startedLate = 0;
    int played = 0;
    for (Fate fate : Fate.values()) {
      for (boolean mute : new boolean[] {false, true}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation w = world(seed);
          ControllerModel old = w.leaders().get(0);
          List<String> machines = some(w, List.copyOf(w.workers.keySet()), 6);
          long forMs = List.of(1500L, 3000L, 6000L, 13_000L).get((int) (seed % 4));
          machines.forEach(m -> w.cut(old.name, m));
          if (mute) {
            machines.forEach(m -> w.workers.get(m).mute(forMs + 2000));
          }
          gangs().forEach(g -> w.userSubmits(g, 12_000L, () -> {}));
          w.runTo(21.5);
          gathered += count(w, w.gangs::gathers);
          suffer(w, old, fate);
          if (seed % 3 == 0) {
            GANGS.forEach(w::userCancels);
          }
          w.runTo(20 + forMs / 1000.0);
          held += w.held();
          int before = w.checker.started;
          machines.forEach(m -> w.heal(old.name, m));
          w.runTo(w.now() / 1000.0 + 0.05);
          startedLate += w.checker.started - before;
          w.askAll();
          w.runTo(w.now() / 1000.0 + 40);
          assertSound(w, 60);
          played++;
        }
      }
    }
    assertTrue(held >= 4 * played, held + " messages held in " + played);
    assertTrue(gathered >= played, gathered + " gathered as the leader ended");
    assertTrue(startedLate >= played / 2, startedLate + " started late");
  }
}
