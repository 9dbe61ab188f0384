package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.DelayedHeartbeats.Moment;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Old reports and orders that meet a new leader, and leaders that meet machines which went on
 * without one for long. Each case brings its meeting about and counts it.
 */
class HeartbeatCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MACHINES = 12;

  /** Until all machines of the leader before are heard: measured up to 4.0 s with these copies. */
  private static final long HEARD_MS = 6000;

  /** How the leader ends. */
  private enum End {
    CRASHES,
    BACK_AT_ONCE,
    HANDS_OVER,
    /** It loses the state service and the others, and workers and users still reach it. */
    CUT_OFF,
    /** The state service is down for all, and it crashes meanwhile. */
    IN_AN_OUTAGE
  }

  /**
   * Arrays that end ({@code wk-10..15}), that are cancelled before the leader ends (20..23), and
   * that run on (30..32), beside a service and under a limit.
   */
  private static Simulation busy(long seed, double kept, Mutation... mutants) {
    Simulation w = new Simulation(seed, Setup.of(3, MACHINES));
    w.mutants.addAll(List.of(mutants));
    w.teamLimit = seed % 2 == 0 ? 44 : 0;
    w.runTo(4);
    w.lateReports.kept = kept;
    w.submit(SimulationTest.job("wk-1", JobKind.SERVICE, MACHINES), null);
    for (int i = 10; i < 16; i++) {
      w.userSubmits(SimulationTest.job("wk-" + i, JobKind.ARRAY, 2), 6_000L, () -> {});
    }
    for (int i = 20; i < 24; i++) {
      w.userSubmits(SimulationTest.job("wk-" + i, JobKind.ARRAY, 2), 300_000L, () -> {});
    }
    for (int i = 30; i < 33; i++) {
      w.userSubmits(SimulationTest.job("wk-" + i, JobKind.ARRAY, 3), 25_000L, () -> {});
    }
    w.runTo(9);
    assertNotNull(leader(w), w.story());
    return w;
  }

  /** Whoever leads with the highest token; null: nobody. */
  private static ControllerModel leader(Simulation w) {
    return w.leaders().stream().max(Comparator.comparingLong(ControllerModel::token)).orElse(null);
  }

  private static boolean leadsAnew(Simulation w, long token) {
    return leader(w) != null && leader(w).token() > token;
  }

  private static double nowS(Simulation w) {
    return w.now() / 1000.0;
  }

  private static void assertSound(Simulation w) {
    assertEquals(List.of(), w.checker.broken, w.wholeStory());
  }

  private static void assertDone(Simulation w, int first, int last) {
    for (int i = first; i <= last; i++) {
      for (ControllerModel n : w.nodes) {
        assertEquals("done", w.checker.lastTold("wk-" + i, n.name), w.wholeStory());
      }
    }
  }

  private static void assertServes(Simulation w) {
    assertSound(w);
    assertDone(w, 10, 15);
    assertDone(w, 30, 32);
    for (int i = 20; i < 24; i++) {
      assertNotNull(w.checker.confirmedMs("wk-" + i), w.wholeStory());
      assertEquals(0, w.checker.on("wk-" + i), w.wholeStory());
    }
    assertEquals(MACHINES, w.checker.on("wk-1"), w.wholeStory());
    assertEquals(1, w.nodes.stream().filter(ControllerModel::leads).count(), w.story());
  }

  private static void assertMissed(Mutation mutant, LongFunction<Simulation> play) {
    for (long seed = 1; seed <= 60; seed++) {
      if (!play.apply(seed).checker.broken.isEmpty()) {
        return;
      }
    }
    assertEquals("missed", "not missed", mutant + " taken away");
  }

  /** Ends the leader; who leads next is another one, or the same process begun anew. */
  private static void end(Simulation w, ControllerModel old, End how) {
    switch (how) {
      case BACK_AT_ONCE -> {
        old.crash();
        w.after(100 + w.random.nextLong(400), old::start);
      }
      case HANDS_OVER -> old.handOver();
      case CUT_OFF -> {
        List<String> lost = new ArrayList<>(List.of("state"));
        w.nodes.stream().filter(n -> n != old).forEach(n -> lost.add(n.name));
        lost.forEach(other -> w.cutBoth(old.name, other));
        w.after(20_000, () -> lost.forEach(other -> w.healBoth(old.name, other)));
      }
      default -> {
        if (how == End.IN_AN_OUTAGE) {
          w.store.down(true);
          w.after(3000, () -> w.store.down(false));
        }
        w.after(how == End.CRASHES ? 0 : 1500, old::crash);
        w.after(6000, old::start);
      }
    }
  }

  /** The cancelled arrays' users ask within the next seconds. */
  private static void cancel(Simulation w, int first, int last, long withinMs) {
    for (int i = first; i <= last; i++) {
      String job = "wk-" + i;
      w.after(w.random.nextLong(withinMs), () -> w.userCancels(job));
    }
  }

  // ---- old reports ----

  /**
   * Copies of what machines said before, of tasks that have ended, moved or been cancelled since
   * and of earlier lives, reach all controllers at once: just before one wins, as it wins, as it
   * catches up, as it begins, and after it has acted; twice in a row. No rule breaks, and what was
   * opened before does not wait longer for machines to be heard.
   */
  @Test
  void oldReportsReachEveryControllerAsOneBegins() {
    Map<Moment, Integer> at = new EnumMap<>(Moment.class);
    int ended = 0;
    int lives = 0;
    int gone = 0;
    for (End how : End.values()) {
      for (long seed = 1; seed <= 2 * SEEDS; seed++) {
        Took t = oldReports(how, seed);
        assertServes(t.world);
        assertTrue(t.heardMs <= HEARD_MS, t.heardMs + " ms\n" + t.world.wholeStory());
        DelayedHeartbeats late = t.world.lateReports;
        late.atLeader.forEach((moment, n) -> at.merge(moment, n, Integer::sum));
        ended += late.ofEndedTasks;
        lives += late.ofEarlierLives;
        gone += late.ofGoneMachines;
      }
    }
    for (Moment m : Moment.values()) {
      assertTrue(at.getOrDefault(m, 0) >= 20, at + " copies came at a leader");
    }
    assertTrue(ended > 100, ended + " showed a task that was there no more");
    assertTrue(lives > 10 && gone > 10, lives + " of earlier lives, " + gone + " of what is gone");
    for (Mutation m : List.of(Mutation.COPIES_ARE_NEWS, Mutation.COPIES_SHOW_THE_TOKEN)) {
      assertMissed(m, seed -> oldReports(End.values()[(int) seed % 5], seed, m).world);
    }
  }

  /** {@code heardMs}: until the first new leader had heard all machines of the one before. */
  private record Took(Simulation world, long heardMs) {}

  private static Took oldReports(End how, long seed, Mutation... mutants) {
    Simulation w = busy(seed, seed % 2 == 0 ? 0.4 : 0.1, mutants);
    w.askAll();
    // One is not reached and given back, some begin anew, and users cancel.
    String cut = "vm-" + seed % MACHINES;
    w.nodes.forEach(n -> w.cut(n.name, cut));
    w.after(14_500, () -> w.nodes.forEach(n -> w.heal(n.name, cut)));
    w.runTo(20);
    for (int i = 1; i < 6; i++) {
      WorkerModel anew = w.workers.get("vm-" + (seed + i) % MACHINES);
      w.after(w.random.nextLong(4000), () -> anew.beginAnew(100));
    }
    cancel(w, 20, 23, 4000);
    w.runTo(24 + w.random.nextInt(2000) / 1000.0);
    ControllerModel old = leader(w);
    long token = old.token();
    end(w, old, how);
    assertTrue(w.runUntil(() -> leadsAnew(w, token), 60), w.story());
    long wonMs = w.now();
    w.runUntil(() -> leader(w) != null && !leader(w).starting(), 100);
    long heardMs = w.now() - wonMs;
    w.runTo(nowS(w) + w.random.nextInt(5000) / 1000.0);
    if (leader(w) != null) {
      end(w, leader(w), End.values()[w.random.nextInt(3)]);
    }
    w.runTo(100);
    return new Took(w, heardMs);
  }

  /**
   * Reports are held back on their way until a new leader has acted, and then arrive there, while
   * their machines went on to other controllers, some of them in a new life.
   */
  @Test
  void reportsHeldBackUntilANewLeaderHasActed() {
    int arrived = 0;
    for (End how : End.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation w = heldBack(how, seed);
        assertServes(w);
        arrived += w.lateReports.heldBackAtLeader;
      }
    }
    assertTrue(arrived > 100, arrived + " reports arrived at the new leader");
    Mutation m = Mutation.COPIES_ARE_NEWS;
    assertMissed(m, seed -> heldBack(End.values()[(int) seed % 5], seed, m));
  }

  private static Simulation heldBack(End how, long seed, Mutation... mutants) {
    Simulation w = busy(seed, 0, mutants);
    w.askAll();
    w.runTo(15);
    w.lateReports.heldBack = 0.6;
    ControllerModel old = leader(w);
    long token = old.token();
    old.full(6000); // so machines try the others, where they are held back, too
    w.runTo(19 + w.random.nextInt(1500) / 1000.0);
    cancel(w, 20, 21, 500);
    w.after(600 + w.random.nextLong(300), () -> end(w, old, how));
    for (int i = 0; i < 2; i++) {
      WorkerModel anew = w.workers.get("vm-" + (seed + 5 * i) % MACHINES);
      w.after(w.random.nextLong(6000), () -> anew.beginAnew(100));
    }
    assertTrue(w.runUntil(() -> leadsAnew(w, token), 60), w.story());
    w.lateReports.heldBack = 0;
    cancel(w, 22, 23, 4000);
    w.runTo(nowS(w) + 8);
    if (how == End.HANDS_OVER) {
      leader(w).handOver(); // and back, maybe
    }
    w.runTo(40);
    w.lateReports.release();
    w.runTo(100);
    return w;
  }

  // ---- all away ----

  /** Who returns after all controllers were away. */
  private enum Back {
    ONE,
    ALL_AT_ONCE,
    STAGGERED
  }

  /**
   * All controllers are away for longer than a lease, with machines that worked on until theirs ran
   * out, died or began anew; jobs were cancelled just before, told and not told; orders from before
   * are still on their way; and copies of old reports wait for whoever leads next. Then one, or all
   * return, at once or one by one, with the state service down as they do, or not.
   */
  @Test
  void allControllersAreAwayForLongerThanALease() {
    int killed = 0;
    int held = 0;
    int started = 0;
    int told = 0;
    int untold = 0;
    int sessions = 0;
    for (Back back : Back.values()) {
      for (long seed = 1; seed <= 2 * SEEDS; seed++) {
        Away a = allAway(back, seed);
        assertServes(a.world);
        killed += a.world.checker.killedByLease;
        held += a.held;
        started += a.started;
        told += a.told;
        untold += 4 - a.told;
        sessions += a.world.lateReports.ofEarlierSessions;
      }
    }
    assertTrue(killed > 200, killed + " tasks were killed by their machines' leases");
    assertTrue(held > 50, held + " messages from before were on their way");
    assertTrue(started > 5, started + " tasks started by orders from before, with nobody there");
    assertTrue(told > 20 && untold > 20, told + " told before, and " + untold + " were not");
    assertTrue(sessions > 50, sessions + " copies of earlier sessions came at a leader");
    Mutation m = Mutation.NO_ROSTER;
    assertMissed(m, seed -> allAway(Back.values()[(int) seed % 3], seed, m).world);
  }

  /**
   * {@code told}: cancellations before all were away; {@code held}: messages on their way; {@code
   * started}: tasks that started with nobody there, by orders from before.
   */
  private record Away(Simulation world, int told, int held, int started) {}

  private static Away allAway(Back back, long seed, Mutation... mutants) {
    Simulation w = busy(seed, 0.3, mutants);
    w.askAll();
    ControllerModel old = leader(w);
    for (int i = 0; i < 4; i++) {
      w.cut(old.name, "vm-" + (seed + 3 * i) % MACHINES);
    }
    for (int i = 40; i < 43; i++) {
      w.userSubmits(SimulationTest.job("wk-" + i, JobKind.ARRAY, 2), 25_000L, () -> {});
    }
    w.runTo(10);
    cancel(w, 20, 21, 300);
    w.runTo(11.5);
    cancel(w, 22, 23, 1000); // some are told, some wait, and some begin to wait with all away
    w.runTo(12);
    int told = w.checker.confirmed();
    int held = w.held();
    w.nodes.forEach(n -> w.after(w.random.nextLong(300), n::crash));
    w.runTo(12.4);
    long awayMs = w.setup.leaseMs() + 1000 + w.random.nextLong(12_000);
    for (int i = 0; i < 4; i++) {
      // What was on its way when all ended arrives in a new life, or in the old one's next session.
      String machine = "vm-" + (seed + 3 * i) % MACHINES;
      long anewMs = awayMs - 500 - w.random.nextLong(w.setup.leaseMs());
      if (w.random.nextInt(4) > 0) {
        w.after(anewMs, () -> w.workers.get(machine).beginAnew(200));
      }
      w.after(anewMs + 250 + w.random.nextLong(3000), () -> w.heal(old.name, machine));
      String dies = "vm-" + (seed + 3 * i + 1) % MACHINES;
      if (w.random.nextInt(3) == 0) {
        w.after(w.random.nextLong(20_000), () -> w.cloud.die(dies));
      }
    }
    if (seed % 2 == 0) {
      w.after(awayMs - 1000, () -> w.store.down(true));
      w.after(awayMs + 2000 + w.random.nextLong(5000), () -> w.store.down(false));
    }
    int first = w.random.nextInt(3);
    for (int i = 0; i < 3; i++) {
      long after =
          switch (back) {
            case ONE -> i * 15_000L;
            case ALL_AT_ONCE -> w.random.nextLong(50);
            default -> i * 700L + w.random.nextLong(3000);
          };
      w.after(awayMs + after, w.nodes.get((first + i) % 3)::start);
    }
    int started = w.checker.started;
    w.runUntil(() -> leader(w) != null, 80);
    started = w.checker.started - started;
    w.runTo(130);
    assertDone(w, 40, 42);
    return new Away(w, told, held, started);
  }

  // ---- a zone away ----

  /**
   * A zone with its workers and a controller, the leader or another, is cut off for longer than a
   * lease; users are told that jobs are cancelled on both sides of it, just before by the old
   * leader and meanwhile by the next one; it is healed as the leader changes once more. Machines
   * that nobody reaches are given back, or, with the cloud away as well, live on to the end of it.
   */
  @Test
  void aZoneWithAControllerIsCutOffForLongerThanALease() {
    int before = 0;
    int meanwhile = 0;
    int inDoubt = 0;
    int lived = 0;
    for (boolean withLeader : new boolean[] {true, false}) {
      for (boolean cloud : new boolean[] {true, false}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Zone z = zoneAway(withLeader, cloud, seed);
          assertServes(z.world);
          before += z.before;
          meanwhile += z.meanwhile;
          inDoubt += z.inDoubt;
          lived += z.lived;
        }
      }
    }
    assertTrue(before > 20 && meanwhile > 20, before + " told before, " + meanwhile + " meanwhile");
    assertTrue(inDoubt > 100, inDoubt + " reports answered by the leader that was cut off");
    assertTrue(lived > 20, lived + " machines of the zone lived on");
    Mutation m = Mutation.CANCELS_UNHEARD;
    assertMissed(m, seed -> zoneAway(true, false, seed, m).world);
  }

  private record Zone(Simulation world, int before, int meanwhile, int inDoubt, int lived) {}

  private static Zone zoneAway(boolean withLeader, boolean cloud, long seed, Mutation... mutants) {
    Simulation w = busy(seed, 0.2, mutants);
    w.askAll();
    w.runTo(15);
    ControllerModel old = leader(w);
    long token = old.token();
    ControllerModel inZone =
        withLeader ? old : w.nodes.stream().filter(n -> n != old).findFirst().orElseThrow();
    cancel(w, 20, 21, 100);
    w.runTo(15.05 + w.random.nextInt(150) / 1000.0); // stops may not have gone out yet
    final int before = w.checker.confirmed();
    List<String> lost = new ArrayList<>(List.of("state", "zone b", "zone c"));
    for (ControllerModel n : w.nodes) {
      if (n != inZone) {
        lost.add(n.name);
        w.cutBoth(n.name, "zone a");
      }
    }
    lost.forEach(other -> w.cutBoth(inZone.name, other));
    if (!cloud) {
      w.nodes.forEach(n -> w.cutBoth(n.name, "cloud"));
    }
    cancel(w, 22, 23, 8000);
    int answered = old.answeredInDoubt();
    w.runTo(15 + (w.setup.leaseMs() + 1500 + w.random.nextInt(25_000)) / 1000.0);
    assertTrue(!withLeader || leadsAnew(w, token), w.story());
    int meanwhile = w.checker.confirmed() - before;
    long lived = w.workers.values().stream().filter(m -> m.alive() && m.zone.equals("a")).count();
    ControllerModel next = leader(w);
    w.after(w.random.nextLong(1000), () -> end(w, next, End.values()[w.random.nextInt(3)]));
    w.runTo(nowS(w) + w.random.nextInt(1000) / 1000.0);
    w.healAll();
    w.runTo(130);
    return new Zone(w, before, meanwhile, old.answeredInDoubt() - answered, (int) lived);
  }

  // ---- machines not reached ----

  /**
   * The leader ends while machines with long tasks cannot be reached, or hear nothing of what the
   * next one says, and copies of what they and others said before come at all controllers.
   */
  @Test
  void copiesComeOfMachinesThatTheNextLeaderDoesNotReach() {
    int copies = 0;
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation w = unreached(seed);
      assertServes(w);
      copies += w.lateReports.atLeader.values().stream().mapToInt(n -> n).sum();
      for (int i = 20; i < 24; i++) {
        assertTrue(w.checker.confirmedMs("wk-" + i) < 60_000, w.wholeStory());
      }
    }
    assertTrue(copies > 100, copies + " copies came at a leader");
    assertMissed(Mutation.NO_ROSTER, seed -> unreached(seed, Mutation.NO_ROSTER));
  }

  private static Simulation unreached(long seed, Mutation... mutants) {
    Simulation w = busy(seed, 0.4, mutants);
    w.askAll();
    w.runTo(20);
    ControllerModel old = leader(w);
    old.crash();
    for (ControllerModel n : w.nodes) {
      w.cut(n.name, "zone b");
      if (seed % 2 == 0) {
        w.cut("zone b", n.name);
      }
      w.after(20_000 + seed * 1000, () -> w.healBoth(n.name, "zone b"));
    }
    w.after(3000, old::start);
    w.runTo(22);
    cancel(w, 20, 23, 3000);
    w.runTo(130);
    return w;
  }

  // ---- a start under an earlier token ----

  /**
   * A direct start is held on its way, its leader hands over, the next one makes the machine show
   * its token and starts the task elsewhere; the machine begins anew, and the start arrives. No
   * rule breaks unless it does so before the new life has had an answer, in its first session: then
   * nothing tells it from any other (docs/design.md, "A start under an earlier token").
   */
  @Test
  void aStartUnderAnEarlierTokenMeetsANewLife() {
    int[] refused = new int[2];
    int open = 0;
    int twice = 0;
    for (long seed = 1; seed <= 20 * SEEDS; seed++) {
      Late l = lateStart(seed, false);
      boolean broken = !l.world.checker.broken.isEmpty();
      if (!l.open) {
        assertSound(l.world);
        refused[l.anew ? 1 : 0] += l.elsewhere ? 1 : 0;
      } else {
        open++;
        twice += broken ? 1 : 0;
        assertTrue(l.sinceAnewMs <= l.world.setup.leaseMs(), l.world.wholeStory());
      }
    }
    assertTrue(refused[0] > 10 && refused[1] > 10, "refused before and after: " + refused[0]);
    assertTrue(twice > 0, "of " + open + " none ran twice: docs/design.md says that some do");
  }

  /**
   * {@code open}: as it arrived the machine had no token and its first session; {@code anew}: it
   * had begun anew before; {@code elsewhere}: its task was on another machine.
   */
  private record Late(
      Simulation world, boolean open, boolean anew, boolean elsewhere, long sinceAnewMs) {}

  private static Late lateStart(long seed, boolean connections) {
    Simulation w = busy(seed, 0);
    w.connections = connections;
    w.runTo(20);
    ControllerModel old = leader(w);
    final long token = old.token();
    List<WorkerModel> cut = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      WorkerModel m = w.workers.get("vm-" + (seed + 3 * i) % MACHINES);
      cut.add(m);
      w.cut(old.name, m.name);
    }
    w.submit(SimulationTest.job("wk-50", JobKind.ARRAY, 12), 300_000L);
    w.runTo(20.4 + w.random.nextInt(600) / 1000.0);
    old.handOver();
    assertTrue(w.runUntil(() -> leadsAnew(w, token), 40), w.story());
    w.runUntil(() -> !leader(w).starting() && w.checker.on("wk-50") == 12, 60);
    WorkerModel anew = cut.get(0);
    long beginsMs = 1000 + w.random.nextLong(2000);
    long healsMs = beginsMs + 100 - 1000 + w.random.nextLong(4000);
    w.after(beginsMs, () -> anew.beginAnew(100));
    final long anewMs = w.now() + beginsMs + 100;
    boolean elsewhere = w.checker.on("wk-50") == 12;
    w.runTo((w.now() + healsMs) / 1000.0);
    boolean begun = w.now() >= anewMs;
    boolean open = begun && anew.token() == 0 && anew.session() == 1;
    // What is on its way for a few milliseconds may arrive on the other side of that moment.
    open |= Math.abs(w.now() - anewMs) <= 10;
    long sinceMs = w.now() - anewMs;
    w.heal(old.name, anew.name);
    w.runTo(60);
    return new Late(w, open, begun, elsewhere, sinceMs);
  }

  /**
   * The same over connections, each of which belongs to the life of the machine that has accepted
   * it: the leader hands over with its connection attempt held on its way, or it stands still while
   * the attempt is, its successor starts the task elsewhere, the machine begins anew, and that life
   * accepts the connection; then the old leader goes on. No task runs twice, whenever that is: what
   * to send is decided over the connection, and by then another may lead.
   */
  @Test
  void overConnectionsAStartUnderAnEarlierTokenMeetsNoNewLife() {
    int withheld = 0;
    int elsewhere = 0;
    for (long seed = 1; seed <= 5 * SEEDS; seed++) {
      assertSound(lateStart(seed, true).world);
      Still still = standsStill(seed);
      assertSound(still.world);
      withheld += still.withheld;
      elsewhere += still.elsewhere ? 1 : 0;
    }
    assertTrue(withheld > 20, withheld + " starts were left out over such a connection");
    assertTrue(elsewhere > 20, elsewhere + " times their tasks were all started elsewhere");
    assertMissed(
        Mutation.STARTS_WHOEVER_LEADS,
        seed -> standsStill(seed, Mutation.STARTS_WHOEVER_LEADS).world);
  }

  /** {@code withheld}: starts left out as the old leader went on. */
  private record Still(Simulation world, int withheld, boolean elsewhere) {}

  private static Still standsStill(long seed, Mutation... mutants) {
    Simulation w = busy(seed, 0, mutants);
    w.connections = true;
    w.runTo(20);
    ControllerModel old = leader(w);
    final long token = old.token();
    List<WorkerModel> cut = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      WorkerModel m = w.workers.get("vm-" + (seed + 3 * i) % MACHINES);
      cut.add(m);
      w.cut(old.name, m.name);
    }
    w.submit(SimulationTest.job("wk-50", JobKind.ARRAY, 12), 300_000L);
    w.runTo(20.4 + w.random.nextInt(600) / 1000.0);
    final int before = old.withheld();
    long stillMs = 9000 + w.random.nextLong(3000);
    old.freeze(stillMs);
    for (WorkerModel m : cut) {
      long anewMs = stillMs - 100 - w.random.nextLong(1500);
      w.after(anewMs, () -> m.beginAnew(50));
      w.after(anewMs + 60 + w.random.nextLong(500), () -> w.heal(old.name, m.name));
    }
    w.runTo((w.now() + stillMs - 1700) / 1000.0);
    final boolean elsewhere = leadsAnew(w, token) && w.checker.on("wk-50") == 12;
    w.runTo(60);
    return new Still(w, old.withheld() - before, elsewhere);
  }
}
