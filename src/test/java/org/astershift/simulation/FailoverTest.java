package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.LongFunction;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/** What a leader wrote last, and the one that follows it. */
class FailoverTest {
  private static final int SEEDS = 10;
  private static final int MUTANT_SEEDS = 40;

  private static Simulation busy(long seed, Mutation... mutants) {
    Simulation w = new Simulation(seed, Setup.of(3, 12));
    w.mutants.addAll(List.of(mutants));
    w.runTo(4);
    w.submit(SimulationTest.job("wk-1", JobKind.SERVICE, 12), null);
    for (int i = 10; i < 16; i++) {
      w.userSubmits(SimulationTest.job("wk-" + i, JobKind.ARRAY, 2), 300_000L, () -> {});
    }
    w.runTo(20);
    assertEquals(1, w.leaders().size(), w.story());
    return w;
  }

  private static void assertSound(Simulation w) {
    assertEquals(List.of(), w.checker.broken, () -> "seed " + w.seed + "\n" + w.wholeStory());
  }

  private static void assertMissed(Mutation mutant, LongFunction<Simulation> played) {
    for (long seed = 1; seed <= MUTANT_SEEDS; seed++) {
      if (!played.apply(seed).checker.broken.isEmpty()) {
        return;
      }
    }
    assertEquals("missed", "not missed", mutant + " taken away");
  }

  /**
   * A leader's cancellations get no answer, it ends, and they would be carried out when the next
   * one leads, which runs these jobs; a third reads what is on record and does not reach it.
   */
  @Test
  void theEndsThatALeaderWroteLastComeAfterItsTerm() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = lateEnds(seed);
      assertSound(w);
      for (int i = 10; i < 16; i++) {
        assertTrue(w.checker.confirmedMs("wk-" + i) != null, w.wholeStory());
      }
    }
    assertMissed(
        Mutation.WRITES_WITHOUT_THE_KEY, seed -> lateEnds(seed, Mutation.WRITES_WITHOUT_THE_KEY));
  }

  private static Simulation lateEnds(long seed, Mutation... mutants) {
    Simulation w = busy(seed, mutants);
    ControllerModel old = w.leaders().get(0);
    List<ControllerModel> others = w.nodes.stream().filter(n -> n != old).toList();
    w.store.lateShare = 1;
    for (int i = 10; i < 16; i++) {
      w.userCancels("wk-" + i);
    }
    w.runTo(20.4);
    old.crash();
    w.store.lateShare = 0;
    w.cutBoth(others.get(0).name, others.get(1).name);
    w.askAll();
    assertTrue(w.runUntil(() -> !w.leaders().isEmpty(), 30), w.story());
    w.runTo(45);
    w.healAll();
    old.start();
    w.runTo(80);
    return w;
  }

  /** What was accepted just before a leader began is known to it, however slow its mirror is. */
  @Test
  void theMirrorLagsAsALeaderEnds() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertSound(laggingMirror(seed));
    }
    assertMissed(Mutation.NO_CATCHING_UP, seed -> laggingMirror(seed, Mutation.NO_CATCHING_UP));
  }

  private static Simulation laggingMirror(long seed, Mutation... mutants) {
    Simulation w = busy(seed, mutants);
    ControllerModel old = w.leaders().get(0);
    w.store.slowMs = 2500;
    for (int i = 20; i < 50; i++) {
      int id = i;
      w.after(
          w.random.nextLong(6000),
          () -> w.userSubmits(SimulationTest.job("wk-" + id, JobKind.ARRAY, 1), 20_000L, () -> {}));
    }
    w.after(3000, old::handOver);
    w.runTo(23.1);
    assertEquals(List.of(), w.leaders(), "the work is handed over");
    w.runTo(26);
    assertTrue(w.runUntil(() -> !w.leaders().isEmpty(), 60), w.story());
    w.store.slowMs = 0;
    w.runTo(w.now() / 1000.0 + 10);
    w.leftWaiting.troublesAreOver();
    w.runTo(w.now() / 1000.0 + 98);
    return w;
  }

  /**
   * A leader crashes while every transaction is carried out and none is answered: another leads.
   */
  @Test
  void aClaimIsCarriedOutAndItsAnswerIsLost() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation w = busy(seed);
      ControllerModel old = w.leaders().get(0);
      w.store.unheardShare = 1;
      old.crash();
      boolean led = w.runUntil(() -> w.leaders().stream().anyMatch(n -> n != old), 30);
      int claims = w.store.unheard.getOrDefault(StoreModel.LEADER.substring(0, 2), 0);
      assertTrue(led && claims > 0, claims + " claims unanswered\n" + w.story());
      w.store.unheardShare = 0;
      old.start();
      w.runTo(80);
      assertSound(w);
    }
  }
}
