package org.astershift.simulation;

import static org.astershift.simulation.CombinedFaultsTest.assertMissed;
import static org.astershift.simulation.CombinedFaultsTest.assertSound;
import static org.astershift.simulation.CombinedFaultsTest.busy;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.astershift.controller.LoopTiming;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * What users ask, repeat and cancel meets other troubles, each time seen to have happened. For each
 * a fence is taken away, and the checker notices.
 */
class UserCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final long LONG_MS = 300_000;

  /** How one controller's work comes to another. */
  private enum Change {
    NONE,
    HANDS_OVER,
    CRASHES,
    /** It hands over and ends within milliseconds. */
    BOTH
  }

  private static void change(Simulation w, Change change) {
    for (ControllerModel n : w.leaders()) {
      if (change == Change.HANDS_OVER || change == Change.BOTH) {
        n.handOver();
      }
      if (change == Change.CRASHES || change == Change.BOTH) {
        w.after(change == Change.BOTH ? w.random.nextLong(20) : 0, n::crash);
        w.after(300 + w.random.nextLong(5000), n::start);
      }
    }
  }

  /** Each is served in the end: over, and told so by each node. */
  private static void assertOver(Simulation w, int from, int jobs) {
    for (int i = from; i < from + jobs; i++) {
      for (ControllerModel n : w.nodes) {
        String said = w.checker.lastTold("wk-" + i, n.name);
        assertTrue("done".equals(said) || "withdrawn".equals(said), i + ": " + said + w.story());
      }
    }
  }

  private static void submit(Simulation w, int from, int jobs, long withinMs, long runMs) {
    for (int i = from; i < from + jobs; i++) {
      String job = "wk-" + i;
      int tasks = 1 + i % 3;
      w.after(
          w.random.nextLong(withinMs),
          () -> w.userSubmits(SimulationTest.job(job, JobKind.ARRAY, tasks), runMs, () -> {}));
    }
  }

  /**
   * Users ask all nodes within milliseconds of an acceptance, an end or a confirmation told by any
   * node, again and again, and repeat the submission; some cancel at once. Threads are slow in
   * every other seed, and the leader changes in the middle, or not.
   */
  @Test
  void allNodesAreAskedWithinMilliseconds() {
    int looks = 0;
    int repeats = 0;
    int cancelled = 0;
    for (Change change : Change.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation w = closeLooks(seed, change);
        assertSound(w);
        assertOver(w, 100, 24);
        looks += w.users.looksAnswered;
        repeats += w.users.repeatsAnswered;
        cancelled += w.users.cancelledAtOnce;
      }
    }
    assertTrue(looks > 10_000 && repeats > 2000, looks + " looks, " + repeats + " repeats");
    assertTrue(cancelled > 100, cancelled + " cancelled at once");
    for (Mutation m : List.of(Mutation.SHARES_THE_ROUND_IN_WORK, Mutation.TOLD_FROM_THE_MIRROR)) {
      assertMissed(m, seed -> closeLooks(seed, Change.NONE, m));
    }
  }

  private static Simulation closeLooks(long seed, Change change, Mutation... mutants) {
    Simulation w = busy(seed, 12, mutants);
    w.stuckMs = seed % 2 == 0 ? 1500 : 0;
    w.users.closeLooks = 1;
    w.users.cancelsAtOnce = 0.3;
    w.askAll();
    submit(w, 100, 24, 20_000, 3000);
    w.after(10_000, () -> change(w, change));
    w.runTo(75);
    return w;
  }

  /**
   * Transactions are carried out at once and only their answer is lost, while the other nodes read
   * what they wrote: acceptances, ends, cancellations and notes; one does not reach the leader and
   * reads the state service itself; the leader changes, or not.
   */
  @Test
  void onlyTheAnswerIsLost() {
    for (Change change : Change.values()) {
      int live = 0;
      int ends = 0;
      int notes = 0;
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation w = unheard(seed, change);
        assertSound(w);
        assertOver(w, 100, 16);
        live += w.store.unheardRead.getOrDefault("j/", 0);
        ends += w.store.unheardRead.getOrDefault("d/", 0);
        notes += w.store.unheardRead.getOrDefault("o/", 0);
      }
      assertTrue(live > 10 && ends > 10 && notes > 10, live + " " + ends + " " + notes);
    }
    assertMissed(
        Mutation.TOLD_WHILE_ENDING, seed -> unheard(seed, Change.NONE, Mutation.TOLD_WHILE_ENDING));
  }

  private static Simulation unheard(long seed, Change change, Mutation... mutants) {
    Simulation w = busy(seed, 12, mutants);
    w.users.closeLooks = 1;
    w.users.cancelsAtOnce = 0.2;
    w.askAll();
    w.store.unheardShare = 0.4;
    ControllerModel leader = w.leaders().get(0);
    ControllerModel apart = w.nodes.get(w.nodes.indexOf(leader) == 0 ? 1 : 0);
    w.cutBoth(leader.name, apart.name);
    submit(w, 100, 16, 15_000, 3000);
    w.after(8000, () -> change(w, change));
    w.runTo(50);
    w.store.unheardShare = 0;
    w.healAll();
    w.runTo(80);
    return w;
  }

  /**
   * Jobs are called off, many within a fifth of a second, in the moment in which one controller's
   * work changes hands: some run for long, of others the starts are on their way.
   */
  @Test
  void cancelledAsTheWorkChangesHands() {
    int byTheNext = 0;
    int starting = 0;
    for (Change change : List.of(Change.HANDS_OVER, Change.CRASHES, Change.BOTH)) {
      for (int afterMs : List.of(0, 5, 100, 400)) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation w = changesHands(seed, change, afterMs);
          assertSound(w);
          for (int i = 0; i < 18; i++) {
            String job = "wk-" + (i < 6 ? 10 + i : 94 + i);
            assertNotNull(w.checker.confirmedMs(job), job + w.wholeStory());
            byTheNext += w.checker.confirmedMs(job) > 20_000 + 1000 + afterMs ? 1 : 0;
          }
          starting += w.checker.leftAtConfirmation;
        }
      }
    }
    assertTrue(byTheNext > 300, byTheNext + " confirmed after the change");
    assertTrue(starting > 100, starting + " tasks left as their job was confirmed");
    Mutation m = Mutation.CONFIRMS_WHILE_STARTING;
    assertMissed(m, seed -> changesHands(seed, Change.HANDS_OVER, 25 * (int) seed, m));
  }

  private static Simulation changesHands(
      long seed, Change change, int afterMs, Mutation... mutants) {
    Simulation w = busy(seed, 16, mutants);
    w.store.slowMs = seed % 2 == 0 ? 1500 : 0; // the next leader's mirror lags
    // Half of these are accepted within the last moments before it.
    for (int i = 0; i < 12; i++) {
      String job = "wk-" + (100 + i);
      long atMs = i < 6 ? 0 : 600 + w.random.nextLong(300);
      w.after(
          atMs, () -> w.userSubmits(SimulationTest.job(job, JobKind.ARRAY, 2), LONG_MS, () -> {}));
    }
    w.after(
        1000,
        () -> {
          for (int i = 0; i < 18; i++) {
            String job = "wk-" + (i < 6 ? 10 + i : 94 + i);
            w.after(w.random.nextLong(200), () -> w.userCancels(job));
          }
        });
    w.after(1000 + afterMs, () -> change(w, change));
    w.runTo(30);
    w.store.slowMs = 0;
    w.runTo(80);
    return w;
  }

  /**
   * Cancellations, questions and repeated submissions meet the end of a job's last task: within ten
   * milliseconds of it, and within the time in which that gets around; nothing else is wrong.
   */
  @Test
  void cancelledAsTheLastTaskEnds() {
    int asked = 0;
    int confirmed = 0;
    int looks = 0;
    for (long seed = 1; seed <= 2 * SEEDS; seed++) {
      Simulation w = atTheEnd(seed);
      assertSound(w);
      assertOver(w, 100, 40);
      asked += w.users.cancelledAtEnd;
      confirmed += w.checker.confirmed();
      looks += w.users.looksAnswered + w.users.repeatsAnswered;
    }
    assertTrue(asked > 200, asked + " cancelled around their end");
    assertTrue(confirmed > 20 && confirmed < asked - 20, confirmed + " of " + asked);
    assertTrue(looks > 5000, looks + " looks");
    assertMissed(Mutation.ENDS_REPLACE_ENDS, seed -> atTheEnd(seed, Mutation.ENDS_REPLACE_ENDS));
  }

  private static Simulation atTheEnd(long seed, Mutation... mutants) {
    Simulation w = busy(seed, 16, mutants);
    w.users.closeLooks = 1;
    w.users.cancelsAtEnd = 1;
    w.askAll();
    submit(w, 100, 40, 20_000, 2000);
    w.runTo(60);
    return w;
  }

  /**
   * Jobs are cancelled at the very moment at which the state service refuses the leader alone, some
   * milliseconds before, and after; a second later it is down for all, for longer than a cancelled
   * task may live, and workers go on reporting to the old leader.
   */
  @Test
  void cancelledAtTheMomentOfARefusal() {
    int onRecord = 0;
    int not = 0;
    int inDoubt = 0;
    for (int afterMs : List.of(2, 6, 12, 60, 250)) {
      for (boolean hands : List.of(false, true)) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Refused p = refused(seed, afterMs, hands);
          assertSound(p.world);
          onRecord += p.onRecord;
          not += 6 - p.onRecord;
          inDoubt += p.inDoubt;
          for (int i = 10; i < 16; i++) {
            assertNotNull(p.world.checker.confirmedMs("wk-" + i), p.world.wholeStory());
          }
        }
      }
    }
    assertTrue(onRecord > 30 && not > 30, onRecord + " on record before the outage, not " + not);
    assertTrue(inDoubt > 500, inDoubt + " reports answered in doubt");
    assertMissed(
        Mutation.IN_DOUBT_STOPS_NOTHING,
        seed -> refused(seed, 4 + (int) seed % 12, true, Mutation.IN_DOUBT_STOPS_NOTHING).world);
  }

  private record Refused(Simulation world, int onRecord, int inDoubt) {}

  private static Refused refused(long seed, int afterMs, boolean hands, Mutation... mutants) {
    Simulation w = busy(seed, 12, mutants);
    ControllerModel old = w.leaders().get(0);
    for (int i = 10; i < 16; i++) {
      w.userCancels("wk-" + i);
    }
    w.runTo((w.now() + afterMs) / 1000.0);
    if (hands) {
      old.handOver();
      for (ControllerModel n : w.nodes) {
        if (n != old) {
          w.cutBoth(n.name, "zone b"); // which the next leader hears when it is in doubt itself
          w.after(6000, () -> w.healBoth(n.name, "zone b"));
        }
      }
      w.runTo((w.now() + 10) / 1000.0);
    }
    w.store.refuse(old.name, true);
    w.runTo(w.now() / 1000.0 + 1);
    int onRecord = 0;
    for (int i = 10; i < 16; i++) {
      onRecord += w.store.get("d/wk-" + i) == null ? 0 : 1;
    }
    w.store.down(true);
    int before = old.answeredInDoubt();
    w.runTo((w.now() + InvariantChecker.CANCEL_MS) / 1000.0 + 10);
    int inDoubt = old.answeredInDoubt() - before;
    w.store.refuse(old.name, false);
    w.store.down(false);
    w.runTo(w.now() / 1000.0 + 40);
    return new Refused(w, onRecord, inDoubt);
  }

  /**
   * One-task jobs come four a second for two minutes, and a quarter is cancelled; the leader ends
   * in the middle, or not.
   */
  @Test
  void oneTaskJobsFourASecond() {
    List<Long> quietMs = new ArrayList<>();
    for (Change change : List.of(Change.NONE, Change.CRASHES, Change.HANDS_OVER)) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation w = stream(seed, change);
        assertSound(w);
        assertEquals(480, w.users.accepted().size() - 1, w.story());
        int confirmed = w.checker.confirmed();
        assertTrue(confirmed > 40, confirmed + " confirmed\n" + w.story());
        assertEquals(480, w.checker.ended(), w.story());
        if (change == Change.NONE) {
          quietMs.addAll(w.checker.confirmedAfterMs);
        }
      }
    }
    // What nothing starts after is waited for; yet on a quiet day hardly anybody has to ask again.
    Collections.sort(quietMs);
    long most = quietMs.get(quietMs.size() * 98 / 100);
    assertTrue(most < LoopTiming.CANCEL_WAIT_MS, quietMs.toString());
    assertMissed(
        Mutation.CONFIRMS_WHILE_STARTING,
        seed -> stream(seed, Change.NONE, Mutation.CONFIRMS_WHILE_STARTING));
  }

  private static Simulation stream(long seed, Change change, Mutation... mutants) {
    Simulation w = new Simulation(seed, Setup.of(3, 20));
    w.mutants.addAll(List.of(mutants));
    w.runTo(4);
    w.submit(SimulationTest.job("wk-1", JobKind.SERVICE, 20), null);
    w.runTo(15);
    w.users.stream(1000, 480, 4000);
    w.after(60_000, () -> change(w, change));
    w.runTo(165);
    return w;
  }

  /** The leader changes ten times in two minutes, half of that inside an outage, or without one. */
  @Test
  void tenLeadersInTwoMinutes() {
    int confirmed = 0;
    for (boolean outage : List.of(false, true)) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation w = tenLeaders(seed, outage);
        assertSound(w);
        assertTrue(w.checker.leaders.size() >= 10, w.checker.leaders + w.story());
        assertOver(w, 100, 30);
        confirmed += w.checker.confirmed();
      }
    }
    assertTrue(confirmed > 100, confirmed + " confirmed");
    assertMissed(Mutation.NO_ROSTER, seed -> tenLeaders(seed, true, Mutation.NO_ROSTER));
  }

  private static Simulation tenLeaders(long seed, boolean outage, Mutation... mutants) {
    Simulation w = busy(seed, 12, mutants);
    w.users.closeLooks = 0.5;
    w.users.cancelsAtOnce = 0.2;
    w.askAll();
    submit(w, 100, 30, 110_000, 4000);
    for (int i = 0; i < 10; i++) {
      w.after(i * 2000, () -> w.users.cancelNow(1));
      List<Change> all = new ArrayList<>(List.of(Change.values()));
      all.remove(Change.NONE);
      Change change = all.get(w.random.nextInt(all.size()));
      w.after(1000 + i * 12_000 + w.random.nextLong(6000), () -> change(w, change));
      if (outage) {
        // Each change falls into an outage of some seconds, or just before or after it.
        w.after(2000 + i * 12_000, () -> w.store.down(true));
        w.after(6000 + i * 12_000, () -> w.store.down(false));
      }
    }
    w.runTo(190);
    return w;
  }
}
