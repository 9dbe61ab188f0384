package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.Priority;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/** Several controllers together, under cuts and deaths: nobody gives away what somebody hears. */
class SimulationTest {
  private static final int SEEDS = 25;
  private static final int MUTANT_SEEDS = 300;

  static JobSpec job(String id, JobKind kind, int tasks) {
    return job(id, kind, tasks, null, false, false);
  }

  static JobSpec job(
      String id, JobKind kind, int tasks, String zone, boolean oneZone, boolean spread) {
    return new JobSpec(
        id,
        "c",
        "team",
        kind,
        Priority.NORMAL,
        tasks,
        1,
        0,
        1,
        "i",
        1,
        null,
        zone,
        oneZone,
        spread,
        false,
        20,
        0,
        0,
        null);
  }

  /** A world with replicas on it that has come to rest. */
  private static Simulation rested(long seed, Setup setup) {
    Simulation w = new Simulation(seed, setup);
    w.runTo(4);
    // Something is on each machine to the end, so that none is ever idle: each return is for
    // silence.
    w.submit(job("wk-1", JobKind.SERVICE, 3 * setup.machines()), null);
    w.submit(job("wk-2", JobKind.ARRAY, setup.machines()), 40_000L);
    w.runTo(20);
    assertEquals(1, w.leaders().size(), w.story());
    assertTrue(running(w) >= 4 * setup.machines(), running(w) + " run\n" + w.story());
    return w;
  }

  private static int running(Simulation w) {
    return w.workers.values().stream().mapToInt(WorkerModel::running).sum();
  }

  private static void sound(Simulation w) {
    assertEquals(List.of(), w.checker.broken, w.story());
    assertEquals(List.of(), w.checker.healthyReturned, w.story());
  }

  private static ControllerModel follower(Simulation w, int which) {
    return w.nodes.stream().filter(n -> !n.leads()).toList().get(which);
  }

  @Test
  void whateverHappensNoRuleBreaksAndInTheEndAllIsServed() {
    int seeds = Integer.getInteger("world.seeds", 150);
    int gangs = 0;
    int taken = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      RandomizedScenario s = RandomizedScenario.play(seed);
      sound(s.world);
      assertEquals("", s.unserved(), s.world.story());
      gangs += s.world.gangs.began;
      taken += s.world.cloud.takenWithTasks;
    }
    assertTrue(gangs >= seeds / 2, gangs + " gangs ran");
    assertTrue(taken >= seeds / 2, taken + " machines with tasks were taken back");
  }

  /** The checker can fail: each of these fences taken away is missed within so many seeds. */
  @Test
  void eachFenceTakenAwayIsMissed() {
    StringBuilder found = new StringBuilder();
    for (Mutation mutant :
        List.of(
            Mutation.DEAF_WITNESSES,
            Mutation.NO_ROSTER,
            Mutation.ONE_JOB_IS_FORGOTTEN,
            Mutation.CANCELS_UNWRITTEN,
            Mutation.ENDS_REPLACE_ENDS)) {
      long seed = 1;
      while (seed <= MUTANT_SEEDS && !RandomizedScenario.play(seed, mutant).failed()) {
        seed++;
      }
      found.append(mutant).append(" by seed ").append(seed).append('\n');
    }
    assertFalse(found.toString().contains("by seed " + (MUTANT_SEEDS + 1)), found.toString());
  }

  /**
   * Two that both believe: the old leader, in doubt, hears zones b and c and nothing of zone a, the
   * new one hears zone a only. That a lease has run out it must not take for a proof.
   */
  @Test
  void aLeaderInDoubtProvesNothingByLeases() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = twoLeaders(seed);
      assertEquals(2, w.leaders().size(), w.story());
      sound(w);
    }
  }

  /** With fences taken away once all are at rest. */
  static Simulation twoLeaders(long seed, Mutation... mutants) {
    Simulation w = rested(seed, Setup.of(3, 60));
    w.mutants.addAll(List.of(mutants));
    ControllerModel old = w.leaders().get(0);
    ControllerModel later = follower(w, 0);
    for (String host : List.of("state", "cloud", "zone a", later.name, follower(w, 1).name)) {
      w.cutBoth(old.name, host);
    }
    w.cutBoth(later.name, "zone b");
    w.cutBoth(later.name, "zone c");
    w.cutBoth(follower(w, 1).name, "workers");
    w.runTo(60);
    return w;
  }

  /** Without handing over the deaf leader stays, and the leases run out. */
  @Test
  void withoutHandingOverTheLeasesRunOut() {
    Simulation w = rested(1, Setup.of(3, 60));
    w.mutants.add(Mutation.NO_HANDING_OVER);
    w.cutBoth(w.leaders().get(0).name, "workers");
    w.runTo(60);
    assertNotEquals(0, w.checker.killedByLease, "a fence was taken away");
  }

  @Test
  void theSecondHolderIsCutFromTheWorkersAsTheFirst() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      ControllerModel first = w.leaders().get(0);
      ControllerModel second = follower(w, 0);
      ControllerModel third = follower(w, 1);
      w.cutBoth(first.name, "workers");
      w.cutBoth(second.name, "workers");
      w.runTo(35);
      assertEquals(List.of(third), w.leaders(), w.story());
      w.runTo(95);
      assertEquals(0, w.checker.killedByLease, w.story());
      w.healBoth(first.name, "workers");
      w.healBoth(second.name, "workers");
      w.runTo(120);
      sound(w);
      assertEquals(List.of(), w.checker.returned, w.story());
    }
  }

  @Test
  void allAreCutAtOnceAndComeBackOneByOne() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      w.nodes.forEach(n -> w.cutBoth(n.name, "workers"));
      int before = w.checker.leaders.size();
      w.runTo(90);
      assertEquals(
          before, w.checker.leaders.size(), "nobody reaches them: one stays\n" + w.story());
      ControllerModel back = follower(w, 1);
      w.healBoth(back.name, "workers");
      w.runTo(110);
      assertEquals(List.of(back), w.leaders(), w.story());
      w.nodes.forEach(n -> w.healBoth(n.name, "workers"));
      w.runTo(150);
      sound(w);
      assertEquals(before + 1, w.checker.leaders.size(), w.story());
      assertEquals(List.of(), w.checker.returned, w.story());
      assertTrue(running(w) >= 180, running(w) + " run\n" + w.story());
    }
  }

  @Test
  void requestsOfWorkersArriveAndAnswersDoNot() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      ControllerModel first = w.leaders().get(0);
      w.cut(first.name, "workers");
      w.runTo(80);
      sound(w);
      assertEquals(List.of(), w.checker.returned, w.story());
      w.heal(first.name, "workers");
      w.runTo(110);
      sound(w);
    }
  }

  /**
   * Reports find no place for longer than a lease and direct orders pass: sessions end, and what
   * the leader starts in the next ones lives by their own beginning, not by the last report.
   */
  @Test
  void reportsAreLostAndOrdersAreNot() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      w.nodes.forEach(n -> n.full(40_000));
      w.runTo(100);
      sound(w);
      assertNotEquals(0, w.checker.killedByLease, w.story());
      assertTrue(running(w) >= 180, running(w) + " run\n" + w.story());
    }
  }

  @Test
  void aLeaderIsCutOffInTheMiddleOfReturning() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      ControllerModel first = w.leaders().get(0);
      for (int i = 0; i < 12; i++) {
        w.cloud.die("vm-" + i);
      }
      w.runTo(23.5 + seed % 25 * 0.1);
      w.cutBoth(first.name, "workers");
      w.runTo(60);
      sound(w);
      assertNotEquals(List.of(first), w.leaders(), w.story());
      assertEquals(12, w.checker.returned.size(), w.story());
      w.healBoth(first.name, "workers");
      w.runTo(100);
      sound(w);
    }
  }

  @Test
  void manyAreDeadAtTheMomentOfATakeover() {
    Simulation w = rested(1, Setup.of(3, 600));
    ControllerModel first = w.leaders().get(0);
    for (int i = 0; i < 180; i++) {
      w.cloud.die("vm-" + i);
    }
    first.crash();
    w.runTo(60);
    sound(w);
    assertEquals(180, w.checker.returned.size(), w.story());
    assertTrue(running(w) >= 1800, running(w) + " run\n" + w.story());
  }

  /**
   * A team at its limit whose work also waits, a change of leaders, and a zone that says nothing:
   * what its machines may hold counts until they are gone.
   */
  @Test
  void aLimitHoldsThroughAChangeOfLeaders() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = atItsLimit(seed);
      loseLeaderAndZone(w);
      w.runTo(90);
      sound(w);
      assertEquals(120, running(w), w.story());
    }
  }

  /** Reports of a zone arrive and nothing that is said to it, while leaders change. */
  @Test
  void whatIsSaidToAZoneDoesNotArrive() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      w.nodes.forEach(n -> w.cut(n.name, "zone a"));
      w.runTo(21 + seed % 10);
      w.leaders().get(0).crash();
      w.runTo(40);
      w.submit(job("wk-3", JobKind.ARRAY, 60), 5_000L);
      w.runTo(100);
      sound(w);
      // What was opened before waits for none of them for ever: they are given up, and replaced.
      assertTrue(running(w) >= 180, running(w) + " run\n" + w.story());
      assertTrue(
          w.checker.returned.stream().allMatch(m -> w.workers.get(m).zone.equals("a")), w.story());
      w.nodes.forEach(n -> w.heal(n.name, "zone a"));
      w.runTo(130);
      sound(w);
    }
  }

  /** A few such machines under a leader that stays: they get nothing new, and are used again. */
  @Test
  void whatIsSaidToAFewDoesNotArriveForAWhile() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      w.nodes.forEach(n -> w.cut(n.name, "vm-7"));
      w.submit(job("wk-3", JobKind.SERVICE, 30), null);
      w.runTo(32);
      assertTrue(running(w) >= 210, running(w) + " run\n" + w.story());
      w.nodes.forEach(n -> w.heal(n.name, "vm-7"));
      w.runTo(80);
      sound(w);
      assertTrue(running(w) >= 210, running(w) + " run\n" + w.story());
    }
  }

  /**
   * The next leader cannot make one machine listen, though the other controller reaches it: for a
   * while it is kept, but not for as long as the cut lasts, since all jobs opened before wait for
   * it.
   */
  @Test
  void oneMachineDoesNotHoldUpAllForEver() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      w.leaders().get(0).crash();
      w.nodes.stream().filter(n -> !n.crashed()).forEach(n -> w.cut(n.name, "vm-3"));
      w.runTo(24);
      ControllerModel next = w.leaders().get(0);
      w.nodes.stream().filter(n -> n != next).forEach(n -> w.heal(n.name, "vm-3"));
      w.submit(job("wk-3", JobKind.ARRAY, 60), 5_000L);
      w.runTo(70);
      sound(w);
      assertFalse(next.starting(), w.story());
      assertTrue(running(w) >= 180, running(w) + " run\n" + w.story());
    }
  }

  /** Of each report a copy comes up to three leases later, at any node, also after a takeover. */
  @Test
  void copiesOfReportsComeLate() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = copied(seed);
      sound(w);
      assertEquals(List.of(), w.checker.returned, w.story());
      assertTrue(running(w) >= 180, running(w) + " run\n" + w.story());
    }
    Simulation w = copied(1, Mutation.COPIES_ARE_NEWS);
    assertFalse(w.checker.broken.isEmpty(), "a fence was taken away");
  }

  private static Simulation copied(long seed, Mutation... mutants) {
    Simulation w = rested(seed, Setup.of(3, 60));
    w.mutants.addAll(List.of(mutants));
    w.copied = 1;
    for (int i = 0; i < 30; i++) {
      int id = i;
      w.after(i * 2000L, () -> w.submit(job("wk-1" + id, JobKind.ARRAY, 20), 8_000L));
    }
    w.runTo(40);
    w.leaders().get(0).crash();
    w.runTo(60);
    w.leaders().get(0).crash();
    w.nodes.stream().filter(n -> n.crashed()).findFirst().orElseThrow().start();
    w.runTo(140);
    return w;
  }

  /** Machines are back within a second, under their names, in the middle of an election. */
  @Test
  void machinesBeginAnewInTheMiddleOfAnElection() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      w.copied = 0.2;
      w.leaders().get(0).crash();
      for (int i = 0; i < 12; i++) {
        WorkerModel machine = w.workers.get("vm-" + (seed + 5 * i) % 60);
        w.after(w.random.nextLong(4000), () -> machine.beginAnew(50 + w.random.nextLong(900)));
      }
      w.runTo(80);
      sound(w);
      assertTrue(running(w) >= 180, running(w) + " run\n" + w.story());
    }
  }

  /** Alone with its workers the old leader goes on for as long as none has heard of another. */
  @Test
  void aControllerLosesTheStateServiceAndTheOthersAndNotItsWorkers() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      ControllerModel old = w.leaders().get(0);
      for (String host : List.of("state", follower(w, 0).name, follower(w, 1).name)) {
        w.cutBoth(old.name, host);
      }
      w.runTo(30);
      if (seed % 2 == 0) {
        w.leaders().stream()
            .filter(n -> n != old)
            .forEach(ControllerModel::crash); // in the election
      }
      w.submit(job("wk-3", JobKind.ARRAY, 60), 5_000L);
      w.runTo(70);
      sound(w);
      assertEquals(0, w.checker.killedByLease, w.story());
      assertEquals(List.of(), w.checker.returned, w.story());
      assertTrue(running(w) >= 180, running(w) + " run\n" + w.story());
      assertEquals(1, w.leaders().stream().filter(n -> n != old).count(), w.story());
    }
  }

  private static void loseLeaderAndZone(Simulation w) {
    w.nodes.forEach(n -> w.cutBoth(n.name, "zone a"));
    w.leaders().get(0).crash();
  }

  private static Simulation atItsLimit(long seed) {
    Simulation w = new Simulation(seed, Setup.of(3, 60));
    w.teamLimit = 120;
    w.runTo(4);
    w.submit(job("wk-1", JobKind.SERVICE, 110), null);
    w.runTo(20);
    w.submit(job("wk-2", JobKind.SERVICE, 40), null);
    w.runTo(25);
    assertEquals(120, running(w), w.story());
    return w;
  }

  @Test
  void aZoneIsCutOffWithTheLeaderInIt() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      ControllerModel first = w.leaders().get(0);
      for (String host :
          List.of("state", "cloud", "zone b", "zone c", follower(w, 0).name, follower(w, 1).name)) {
        w.cutBoth(first.name, host);
      }
      for (ControllerModel n : w.nodes) {
        if (n != first) {
          w.cutBoth(n.name, "zone a");
        }
      }
      w.runTo(50);
      assertEquals(List.of(), w.checker.broken, w.story());
      // The zone's machines are reached by nobody who could use them: given up, and replaced.
      assertTrue(w.checker.returned.size() >= 20, w.story()); // and what was rented there before
      assertTrue(
          w.checker.returned.stream().allMatch(m -> w.workers.get(m).zone.equals("a")), w.story());
      assertTrue(w.nodes.stream().anyMatch(n -> n != first && n.leads()), w.story());
    }
  }

  @Test
  void aLoneControllerStillGivesUpTheDead() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      follower(w, 0).crash();
      follower(w, 1).crash();
      for (int i = 0; i < 10; i++) {
        w.cloud.die("vm-" + i);
      }
      w.runTo(45); // before the cloud says that they failed
      sound(w);
      assertEquals(10, w.checker.returned.size(), w.story());
    }
  }

  /**
   * A leader is cut off from a zone while the others are starting: it keeps the zone until they can
   * tell. Where they stay away, and nobody reaches the zone, it goes all the same.
   */
  @Test
  void aLeaderAloneKeepsAZoneUntilTheOthersAreBack() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, Setup.of(3, 60));
      ControllerModel leader = w.leaders().get(0);
      List<ControllerModel> others = w.nodes.stream().filter(n -> n != leader).toList();
      others.forEach(ControllerModel::crash);
      w.cutBoth(leader.name, "zone a");
      others.forEach(n -> w.after(7000 + w.random.nextLong(3000), n::start));
      w.runTo(60);
      sound(w);
      int few = w.checker.returned.size(); // by its own ears, before most of the zone was overdue
      assertTrue(few <= 4, w.story());
      w.nodes.forEach(n -> w.cutBoth(n.name, "zone a"));
      w.nodes.stream().filter(n -> !n.leads()).forEach(ControllerModel::crash);
      w.runTo(85);
      sound(w);
      assertTrue(w.checker.returned.size() - few >= 16, w.story());
    }
  }

  @Test
  void twoHalvesOfControllersReachHalfOfTheWorkersEach() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = rested(seed, new Setup(5, 60, List.of("a", "b"), 2000, 14_000));
      for (int i = 0; i < 5; i++) {
        w.cutBoth("n" + i, i < 3 ? "zone a" : "zone b");
      }
      w.runTo(100);
      sound(w);
      assertTrue(w.checker.leaders.size() <= 4, w.checker.leaders + "\n" + w.story());
    }
  }
}
