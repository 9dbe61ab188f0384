package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * A machine restarts under its name between two leaders, of which the earlier one is cut off and
 * does not know that its lease is over. The later one has claimed the incarnation before the
 * restart, so it starts waiting tasks elsewhere; the incarnation after it has no token, comes to
 * the earlier leader, and must get nothing from it. Each case counts the starts on it, or asserts
 * that the earlier leader had heard it.
 */
class IncarnationCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MACHINES = 12;
  private static final long TASK_MS = 22_000;
  private static final long RECORD_MS = 9000;
  private static final double HEARD_S = 10;

  /** How the earlier leader knows the machine before it is cut off. */
  private enum Known {
    /** On record only: it was not heard in this term. */
    NEVER_HEARD,
    /** Heard a few times, so that the next incarnation soon has said more. */
    YOUNG,
    /** Put on record, but the thread that writes records handles the answer seconds later. */
    RECORD_ANSWERED_LATE
  }

  /** {@code heardAnew}: the earlier leader has heard the machine's new incarnation. */
  private record Restart(Simulation world, boolean heardAnew) {}

  /**
   * The earlier leader hears the machine for the first time while its lease is uncertain. What it
   * hears may be an incarnation that began after the later leader had claimed the one before.
   */
  @Test
  void aMachineIsFirstHeardWhileTheLeaseIsUncertain() {
    assertNothingRunsTwice(Known.NEVER_HEARD);
    assertMissed(Known.NEVER_HEARD);
  }

  /**
   * The earlier leader knows the machine, whose next incarnation has sent more messages than the
   * one before by the time that the earlier leader asks it.
   */
  @Test
  void aRestartGoesUnnoticedWhileTheLeaseIsUncertain() {
    assertNothingRunsTwice(Known.YOUNG);
    assertMissed(Known.YOUNG);
  }

  /**
   * The answer to the write of the machine's record is handled after the machine has restarted once
   * more and that was noticed. Six seeds on the sources before the mend broke no rule: a machine
   * that restarted in this term gets starts by direct orders of a certain leader only.
   */
  @Test
  void theAnswerToAWriteOfARecordComesAfterTheNextRestart() {
    assertNothingRunsTwice(Known.RECORD_ANSWERED_LATE);
  }

  private static void assertNothingRunsTwice(Known known) {
    int heard = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Restart r = restart(seed, known);
      assertEquals(List.of(), r.world.checker.broken, r.world.wholeStory());
      heard += r.heardAnew ? 1 : 0;
    }
    // In one seed of the third case the earlier leader gives the machine up as silent before.
    assertTrue(heard >= SEEDS - 1, "the new incarnation was heard in " + heard + " seeds");
  }

  /** Without the proof that an incarnation was there in time, a task runs twice. */
  private static void assertMissed(Known known) {
    Mutation unproven = Mutation.USES_UNPROVEN_INCARNATIONS;
    boolean missed = false;
    for (long seed = 1; seed <= SEEDS; seed++) {
      missed |= !restart(seed, known, unproven).world.checker.broken.isEmpty();
    }
    assertTrue(missed, unproven + " taken away is not missed");
  }

  private static Restart restart(long seed, Known known, Mutation... mutants) {
    Simulation w = new Simulation(seed, Setup.of(3, MACHINES));
    w.mutants.addAll(List.of(mutants));
    w.runTo(5);
    w.nodes.forEach(n -> w.cutBoth(n.name, "cloud")); // nothing is rented: some tasks have to wait
    w.submit(SimulationTest.job("wk-1", JobKind.SERVICE, MACHINES), null);
    w.submit(SimulationTest.job("wk-2", JobKind.ARRAY, 3 * MACHINES + 8), TASK_MS);
    w.runTo(19);
    final WorkerModel machine = w.workers.get("vm-" + seed % MACHINES);
    if (known == Known.YOUNG) {
      machine.beginAnew(200);
    }
    ControllerModel first = w.onlyLeader();
    List<ControllerModel> others = w.nodes.stream().filter(n -> n != first).toList();
    final ControllerModel earlier = others.get(0);
    final ControllerModel later = others.get(1);
    w.cutBoth(later.name, "state");
    if (known == Known.NEVER_HEARD) {
      machine.mute(20_000);
      w.cutBoth(earlier.name, machine.name);
    }
    first.crash();
    assertTrue(w.runUntil(earlier::leads, 40), w.story());
    runFor(w, 2500);
    if (known == Known.RECORD_ANSWERED_LATE) {
      w.slowRecordsMs = RECORD_MS;
      machine.beginAnew(100);
      runFor(w, 2000);
    }
    isolate(w, earlier);
    w.healBoth(later.name, "state");
    assertTrue(w.runUntil(later::leads, 50), w.story());
    assertTrue(w.runUntil(() -> machine.token() == later.token(), 60), w.story());
    runFor(w, 500);
    w.cutBoth(later.name, machine.name);
    machine.unmute();
    machine.beginAnew(100);
    if (known == Known.YOUNG) {
      machine.mute(8000);
      runFor(w, 8100);
    }
    w.healBoth(earlier.name, machine.name);
    boolean heardAnew =
        w.runUntil(
            () -> earlier.leads() && machine.token() == earlier.token(),
            w.now() / 1000.0 + HEARD_S);
    runFor(w, 20_000);
    return new Restart(w, heardAnew);
  }

  private static void runFor(Simulation w, long ms) {
    w.runTo((w.now() + ms) / 1000.0);
  }

  /** Nobody reaches it and it reaches nobody: it cannot know that its lease is over. */
  private static void isolate(Simulation w, ControllerModel node) {
    w.cutBoth(node.name, "state");
    w.nodes.stream().filter(n -> n != node).forEach(n -> w.cutBoth(node.name, n.name));
    w.workers.keySet().forEach(m -> w.cutBoth(node.name, m));
  }
}
