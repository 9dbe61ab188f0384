package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.LongFunction;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Two troubles that meet, each brought about and seen to have happened: no rule breaks, and whoever
 * asked gets an answer in the end. For each a fence is taken away, and the checker notices.
 */
class CombinedFaultsTest {
  private static final int SEEDS = 20;

  /** Which machines the other controllers reach once the leader is refused. */
  private enum Heard {
    ALL,
    SOME,
    NONE
  }

  /** What the new leader does just after it has confirmed a cancellation, or has won. */
  private enum Fate {
    STAYS,
    CRASHES,
    BACK_AT_ONCE,
    HANDS_OVER
  }

  /** When the state service is down for all. */
  private enum Down {
    AS_ANOTHER_WINS,
    AFTER_A_CONFIRMATION,
    AS_THE_NEXT_WINS,
    BEFORE_ANYBODY_WINS
  }

  private record Gap(Heard heard, Fate fate, Down down) {}

  static Simulation busy(long seed, int machines, Mutation... mutants) {
    Simulation w = new Simulation(seed, Setup.of(3, machines));
    w.mutants.addAll(List.of(mutants));
    w.runTo(4);
    w.submit(SimulationTest.job("wk-1", JobKind.SERVICE, machines), null);
    for (int i = 10; i < 16; i++) {
      w.userSubmits(SimulationTest.job("wk-" + i, JobKind.ARRAY, 3), 300_000L, () -> {});
    }
    w.runTo(20);
    assertEquals(1, w.leaders().size(), w.story());
    return w;
  }

  static boolean leadsBeside(Simulation w, ControllerModel old) {
    return w.leaders().stream().anyMatch(n -> n != old);
  }

  static void assertSound(Simulation w) {
    assertEquals(List.of(), w.checker.broken, w.wholeStory());
  }

  /**
   * The state service refuses the leader alone; another one confirms cancellations; then it is down
   * for all, for three times as long as a cancelled task may live, while workers go on reporting to
   * the old leader. And all that once more, with whoever leads then.
   */
  @Test
  void theGap() {
    int confirmedBefore = 0;
    int answeredByOld = 0;
    for (Heard heard : Heard.values()) {
      for (Fate fate : Fate.values()) {
        for (Down down : Down.values()) {
          for (long seed = 1; seed <= 6; seed++) {
            Played p = gap(new Gap(heard, fate, down), seed);
            assertSound(p.world);
            confirmedBefore += p.confirmed;
            answeredByOld += p.answered;
            for (int i = 10; i < 14; i++) {
              assertNotNull(p.world.checker.confirmedMs("wk-" + i), p.world.wholeStory());
            }
          }
        }
      }
    }
    assertTrue(confirmedBefore > 100, confirmedBefore + " confirmed before the outage");
    assertTrue(answeredByOld > 1000, answeredByOld + " reports answered by the old leader in it");
  }

  /**
   * {@code confirmed}: by another, before the outage; {@code answered}: by the old leader in it.
   */
  private record Played(Simulation world, int confirmed, int answered) {}

  private static Played gap(Gap g, long seed, Mutation... mutants) {
    Simulation w = busy(seed, 12, mutants);
    ControllerModel old = w.leaders().get(0);
    List<ControllerModel> others = w.nodes.stream().filter(n -> n != old).toList();
    w.store.refuse(old.name, true);
    if (seed % 2 == 0) {
      others.forEach(n -> w.cutBoth(old.name, n.name)); // nobody tells it who leads
    }
    if (g.heard != Heard.ALL) {
      String who = g.heard == Heard.SOME ? "zone a" : "workers";
      others.forEach(n -> w.cutBoth(n.name, who));
    }
    w.store.slowMs = seed % 3 == 0 ? 2500 : 0; // wins, and may be too late to catch up
    for (int i = 10; i < 14; i++) {
      String job = "wk-" + i;
      w.after(w.random.nextLong(1500), () -> w.userCancels(job));
    }
    for (int i = 20; i < 24; i++) {
      String job = "wk-" + i;
      Runnable then = () -> w.after(w.random.nextLong(400), () -> w.userCancels(job));
      w.userSubmits(SimulationTest.job(job, JobKind.ARRAY, 2), 300_000L, then);
    }
    if (g.down != Down.BEFORE_ANYBODY_WINS) {
      w.runUntil(() -> leadsBeside(w, old), 30);
    }
    if (g.down == Down.AFTER_A_CONFIRMATION || g.fate != Fate.STAYS) {
      w.runUntil(() -> w.checker.anyConfirmed(), 30);
    }
    ControllerModel winner =
        w.leaders().stream().filter(n -> n != old).findFirst().orElse(others.get(0));
    suffer(w, winner, g.fate, others);
    if (g.down == Down.AS_THE_NEXT_WINS) {
      w.runUntil(() -> leadsBeside(w, old) && !winner.leads(), 35);
    }
    w.runTo((w.now() + seed * 7) / 1000.0);
    int confirmed = w.checker.confirmed();
    int answered = old.answeredInDoubt();
    w.note("state", "is down");
    w.store.down(true);
    w.store.slowMs = 0;
    w.after(12_000, () -> w.store.refuse(old.name, false));
    double outageS = 3 * InvariantChecker.CANCEL_MS / 1000.0;
    w.runTo(w.now() / 1000.0 + outageS);
    answered = old.answeredInDoubt() - answered;
    w.healAll();
    w.store.down(false);
    w.runTo(w.now() / 1000.0 + 15);
    // The second meeting, as on the operators' day: refused 1.5 s before all are.
    if (winner.crashed()) {
      winner.start();
    }
    w.runUntil(() -> !w.leaders().isEmpty(), w.now() / 1000.0 + 10);
    ControllerModel next = w.leaders().get(0);
    w.store.refuse(next.name, true);
    w.userCancels("wk-14");
    w.runTo(w.now() / 1000.0 + 1.5);
    w.store.down(true);
    w.runTo(w.now() / 1000.0 + outageS);
    w.store.refuse(next.name, false);
    w.store.down(false);
    w.runTo(w.now() / 1000.0 + 50);
    return new Played(w, confirmed, answered);
  }

  private static void suffer(
      Simulation w, ControllerModel winner, Fate fate, List<ControllerModel> others) {
    switch (fate) {
      case CRASHES -> {
        winner.crash();
        for (ControllerModel n : others) {
          w.cutBoth(n.name, "zone b"); // which the next leader hears when it is in doubt itself
          w.after(6000, () -> w.healBoth(n.name, "zone b"));
        }
      }
      case BACK_AT_ONCE -> {
        winner.crash();
        w.after(300, winner::start);
      }
      case HANDS_OVER -> winner.handOver();
      default -> {}
    }
  }

  static void assertMissed(Mutation mutant, LongFunction<Simulation> played) {
    for (long seed = 1; seed <= 4 * SEEDS; seed++) {
      if (!played.apply(seed).checker.broken.isEmpty()) {
        return;
      }
    }
    assertEquals("missed", "not missed", mutant + " taken away");
  }

  /** A cancellation that does not wait for unheard machines is outlived at the old leader. */
  @Test
  void theGapWithoutWaitingForTheUnheard() {
    Gap g = new Gap(Heard.NONE, Fate.STAYS, Down.AFTER_A_CONFIRMATION);
    assertMissed(Mutation.CANCELS_UNHEARD, seed -> gap(g, seed, Mutation.CANCELS_UNHEARD).world);
  }

  /**
   * Who confirmed it ends before its stops go out; who leads next hears a zone only when it is in
   * doubt itself, and keeps the machines there all the same.
   */
  @Test
  void theNextLeaderStopsWhatAnotherConfirmed() {
    int left = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = confirmedAndGone(seed);
      assertSound(w);
      left += w.checker.leftAtConfirmation;
    }
    assertNotEquals(0, left, "none was left when it was confirmed");
    assertMissed(
        Mutation.IN_DOUBT_STOPS_NOTHING,
        seed -> confirmedAndGone(seed, Mutation.IN_DOUBT_STOPS_NOTHING));
  }

  private static Simulation confirmedAndGone(long seed, Mutation... mutants) {
    Simulation w = busy(seed, 12, mutants);
    ControllerModel first = w.leaders().get(0);
    for (int i = 10; i < 14; i++) {
      w.userCancels("wk-" + i);
    }
    assertTrue(w.runUntil(w.checker::anyConfirmed, 30), w.story());
    suffer(w, first, Fate.CRASHES, w.nodes.stream().filter(n -> n != first).toList());
    assertTrue(w.runUntil(() -> leadsBeside(w, first), 35), w.story());
    w.store.down(true);
    w.runTo((w.now() + 3 * InvariantChecker.CANCEL_MS) / 1000.0);
    w.store.down(false);
    w.runTo(w.now() / 1000.0 + 30);
    return w;
  }

  /**
   * A follower reads a live job for a user, or accepts it, and the thread that did stands still;
   * the job is cancelled, its leader ends, the follower leads, and the thread goes on.
   */
  @Test
  void newsOfAJobIsOlderThanTheTerm() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertSound(lateNews(seed));
    }
    assertMissed(Mutation.LATE_NEWS_OF_JOBS, seed -> lateNews(seed, Mutation.LATE_NEWS_OF_JOBS));
  }

  private static Simulation lateNews(long seed, Mutation... mutants) {
    Simulation w = busy(seed, 12, mutants);
    w.stuckMs = 8000;
    for (ControllerModel n : w.nodes) {
      for (int i = 10; i < 16; i++) {
        n.ask("wk-" + i, false, said -> {});
      }
    }
    for (int i = 10; i < 16; i++) {
      w.userCancels("wk-" + i);
    }
    ControllerModel old = w.leaders().get(0);
    w.runUntil(() -> w.checker.confirmed() >= 3, 40);
    old.crash();
    w.runTo(70);
    assertTrue(w.checker.confirmed() >= 3, w.story());
    return w;
  }

  /** Two that both believe; in the one that is in doubt no lease proves anything. */
  @Test
  void leasesProveNothingInDoubt() {
    assertMissed(
        Mutation.LEASES_PROVE_IN_DOUBT,
        seed -> SimulationTest.twoLeaders(seed, Mutation.LEASES_PROVE_IN_DOUBT));
  }

  /** A job comes, and the leader loses the state service and the others before it is opened. */
  @Test
  void aLeaderIsCutOffAsAJobComes() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertSound(cutAsAJobComes(seed));
    }
    assertMissed(
        Mutation.STARTS_BEFORE_OPENED, s -> cutAsAJobComes(s, Mutation.STARTS_BEFORE_OPENED));
  }

  private static Simulation cutAsAJobComes(long seed, Mutation... mutants) {
    Simulation w = busy(seed, 12, mutants);
    ControllerModel old = w.leaders().get(0);
    w.submit(SimulationTest.job("wk-30", JobKind.ARRAY, 6), 60_000L);
    assertTrue(w.runUntil(() -> old.keeps("wk-30"), 25), w.story());
    w.cutBoth(old.name, "state");
    for (ControllerModel n : w.nodes) {
      if (n != old) {
        w.cutBoth(old.name, n.name);
        w.cutBoth(n.name, "zone a"); // which only the old leader reaches
      }
    }
    w.runTo(60);
    assertTrue(leadsBeside(w, old), w.story());
    return w;
  }

  /**
   * A transaction gets no answer and is carried out 2 to 12 s later, after newer ones of the same
   * controller, with machines that boot meanwhile and a leader that ends just after it.
   */
  @Test
  void aWriteIsCarriedOutAfterNewerOnes() {
    int late = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = lateWrites(seed);
      assertSound(w);
      late += w.store.lateAfterNewer;
    }
    assertNotEquals(0, late, "none came after a newer one");
    assertMissed(
        Mutation.NOTES_WITHOUT_REVISIONS, s -> lateWrites(s, Mutation.NOTES_WITHOUT_REVISIONS));
  }

  private static Simulation lateWrites(long seed, Mutation... mutants) {
    Simulation w = busy(seed, 6, mutants);
    w.store.lateShare = 0.5;
    w.submit(SimulationTest.job("wk-40", JobKind.SERVICE, 40), null); // machines are rented for it
    w.runTo(24);
    w.store.lateShare = seed % 2 == 0 ? 0.3 : 0;
    for (int i = 0; i < 8; i++) {
      String job = "wk-5" + i;
      Runnable then = () -> w.after(3000, () -> w.userCancels(job));
      w.userSubmits(SimulationTest.job(job, JobKind.ARRAY, 2), 5_000L, then);
    }
    w.runTo(33 + w.random.nextInt(4));
    w.store.lateShare = 0;
    w.leaders().forEach(ControllerModel::crash);
    w.runTo(80);
    return w;
  }

  /**
   * Jobs of two and three tasks of which one ends early and the last late, and in between the
   * leader changes, twice, once with the machine that had the early task gone.
   */
  @Test
  void tasksEndFarApartAcrossAChangeOfLeaders() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = busy(seed, 12);
      w.userSubmits(SimulationTest.job("wk-60", JobKind.ARRAY, 2), 8_000L, () -> {});
      w.userSubmits(SimulationTest.job("wk-61", JobKind.ARRAY, 3), 8_000L, () -> {});
      w.users.slower.put("wk-60/1", 45_000L);
      w.users.slower.put("wk-61/2", 45_000L);
      // The early tasks are done, their record is on its way or late, and the leader ends.
      w.store.lateShare = seed % 2 == 0 ? 0.5 : 0;
      ControllerModel old = w.leaders().get(0);
      assertTrue(w.runUntil(() -> old.done("wk-60") == 1, 50), w.story());
      w.runTo((w.now() + seed * 150) / 1000.0);
      old.crash();
      w.store.lateShare = 0;
      w.askAll();
      w.runTo(45);
      old.start();
      w.leaders().forEach(ControllerModel::handOver);
      w.runTo(110);
      assertSound(w);
      for (ControllerModel n : w.nodes) {
        assertEquals("done", w.checker.lastTold("wk-60", n.name), w.wholeStory());
        assertEquals("done", w.checker.lastTold("wk-61", n.name), w.wholeStory());
      }
    }
  }

  /** Controllers hand over and back, all end, and one returns, all within a second or two. */
  @Test
  void controllersHandOverAndBackAndAllEnd() {
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation w = busy(seed, 12);
      w.askAll();
      for (int i = 10; i < 13; i++) {
        w.userCancels("wk-" + i);
      }
      for (int i = 0; i < 6; i++) {
        w.after(w.random.nextLong(4000), () -> w.leaders().forEach(ControllerModel::handOver));
      }
      w.runTo(20 + w.random.nextInt(5000) / 1000.0);
      w.nodes.forEach(ControllerModel::crash);
      ControllerModel first = w.nodes.get(w.random.nextInt(3));
      for (ControllerModel n : w.nodes) {
        w.after(50 + w.random.nextLong(n == first ? 300 : 6000), n::start);
      }
      w.runTo(100);
      assertSound(w);
      w.checker.allAnswered(25_000);
      assertSound(w);
      assertEquals(1, w.leaders().size(), w.story());
      for (int i = 10; i < 13; i++) {
        assertNotNull(w.checker.confirmedMs("wk-" + i), w.wholeStory());
      }
    }
  }

  /**
   * A leader ends while machines with long tasks cannot be reached, or hear nothing of what the
   * next one says; users cancel meanwhile. Nothing is confirmed too early, and it is not put off
   * for ever: such machines are given up. What nobody cancelled runs in the end.
   */
  @Test
  void aLeaderEndsWhileMachinesCannotBeReached() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = unreached(seed);
      assertSound(w);
      for (int i = 10; i < 13; i++) {
        Long confirmed = w.checker.confirmedMs("wk-" + i);
        assertTrue(confirmed != null && confirmed < 60_000, w.wholeStory());
      }
      for (int i = 13; i < 16; i++) {
        assertEquals(3, w.checker.on("wk-" + i), w.wholeStory());
      }
    }
    assertMissed(Mutation.NO_ROSTER, seed -> unreached(seed, Mutation.NO_ROSTER));
  }

  private static Simulation unreached(long seed, Mutation... mutants) {
    Simulation w = busy(seed, 12, mutants);
    ControllerModel old = w.leaders().get(0);
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
    for (int i = 10; i < 13; i++) {
      w.userCancels("wk-" + i);
    }
    w.runTo(110);
    return w;
  }

  /**
   * Orders are held on their way to a few machines for seconds, starts and stops in all orders, and
   * then arrive; in the middle of it the leader changes, or not.
   */
  @Test
  void ordersAreHeldAndTheMachinesGoOn() {
    int held = 0;
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation w = busy(seed, 12);
      ControllerModel old = w.leaders().get(0);
      for (int i = 0; i < 4; i++) {
        String machine = "vm-" + (seed + 3 * i) % 12;
        w.cut(old.name, machine);
        w.after(1000 + w.random.nextLong(8000), () -> w.heal(old.name, machine));
      }
      for (int i = 0; i < 8; i++) {
        String job = "wk-5" + i;
        Runnable then = () -> w.after(w.random.nextLong(6000), () -> w.userCancels(job));
        w.userSubmits(
            SimulationTest.job(job, JobKind.ARRAY, 2), 3_000L, i % 2 == 0 ? then : () -> {});
      }
      if (seed % 2 == 0) {
        w.after(w.random.nextLong(6000), old::handOver);
      }
      w.runTo(22);
      held += w.held();
      w.runTo(70);
      assertSound(w);
      for (int i = 0; i < 8; i++) {
        assertEquals(0, w.checker.on("wk-5" + i), w.wholeStory());
      }
    }
    assertTrue(held > 50, held + " messages were held");
  }
}
