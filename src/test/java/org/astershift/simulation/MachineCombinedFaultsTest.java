package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.ToIntFunction;
import org.astershift.scheduler.JobKind;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Machines that hang, that reach no controller, or that are up at once, and what else goes wrong
 * meanwhile. Each case counts what it is about, so that it is seen to have happened.
 */
class MachineCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 40;
  private static final int MACHINES = 12;
  private static final int STREAM = 120;
  private static final long LEASE_MS = Setup.of(3, MACHINES).leaseMs();

  /** What becomes of the leader in the middle of it. */
  private enum Fate {
    STAYS,
    CRASHES,
    BACK_AT_ONCE,
    HANDS_OVER
  }

  private static Simulation busy(long seed, int replicas, double limit, Mutation... mutants) {
    Simulation w = new Simulation(seed, Setup.of(3, MACHINES));
    w.teamLimit = limit;
    w.mutants.addAll(List.of(mutants));
    w.runTo(4);
    w.submit(SimulationTest.job("wk-1", JobKind.SERVICE, replicas), null);
    w.runTo(20);
    w.onlyLeader();
    return w;
  }

  private static void suffer(Simulation w, Fate fate) {
    ControllerModel n = w.onlyLeader();
    switch (fate) {
      case CRASHES -> {
        n.crash();
        w.after(8000, n::start);
      }
      case BACK_AT_ONCE -> {
        n.crash();
        w.after(300, n::start);
      }
      case HANDS_OVER -> n.handOver();
      default -> {}
    }
  }

  private static List<WorkerModel> some(Simulation w, int machines) {
    List<WorkerModel> all = new ArrayList<>(w.workers.values());
    all.removeIf(m -> !m.alive());
    List<WorkerModel> out = new ArrayList<>();
    for (int i = 0; i < machines; i++) {
      out.add(all.remove(w.random.nextInt(all.size())));
    }
    return out;
  }

  private static int sum(Simulation w, ToIntFunction<WorkerModel> count) {
    return w.workers.values().stream().mapToInt(count).sum();
  }

  private static void assertSound(Simulation w) {
    assertEquals(List.of(), w.checker.broken, w.wholeStory());
  }

  private static void assertMissed(Mutation mutant, LongFunction<Simulation> played) {
    for (long seed = 1; seed <= MUTANT_SEEDS; seed++) {
      if (!played.apply(seed).checker.broken.isEmpty()) {
        return;
      }
    }
    assertEquals("missed", "not missed", mutant + " taken away");
  }

  /** One-task jobs, four a second, and each fourth of them is cancelled soon after. */
  private static void stream(Simulation w, int jobs, long runMs) {
    for (int i = 0; i < jobs; i++) {
      String job = "wk-" + (1000 + i);
      Runnable then = () -> w.after(w.random.nextLong(3000), () -> w.userCancels(job));
      boolean cancelled = i % 4 == 3;
      w.after(
          i * 250L,
          () ->
              w.userSubmits(
                  SimulationTest.job(job, JobKind.ARRAY, 1), runMs, cancelled ? then : () -> {}));
    }
  }

  // ---- mute ----

  /** {@code startedMs}: the last start on a mute machine after it became so; 0: there was none. */
  private record Mute(Simulation world, long startedMs, long movedMs) {}

  /**
   * Machines reach no controller for three leases, while direct orders reach them. They get nothing
   * new, what they held runs elsewhere, and what users cancel there ends in time; also where the
   * leader changes meanwhile, which hears them by their answers alone and is held up by none.
   */
  @Test
  void muteMachinesGetNothingNew() {
    int unsaid = 0;
    int killed = 0;
    for (Fate fate : Fate.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Mute m = mute(seed, seed % 2 == 0 ? 1 : 4, fate);
        assertSound(m.world);
        assertEquals(2 * MACHINES, m.world.checker.on("wk-1"), m.world.wholeStory());
        assertEquals(STREAM + 1, m.world.checker.ended(), m.world.wholeStory());
        unsaid += sum(m.world, x -> x.unsaid);
        killed += m.world.checker.killedByLease;
        // A leader that claims it gives it half a lease to report; it begins within six seconds.
        long latest = LEASE_MS / 2 + 1000 + (fate == Fate.STAYS ? 0 : 2000 + 6000 + 1500);
        assertTrue(m.startedMs <= latest, m.startedMs + "\n" + m.world.wholeStory());
        assertTrue(m.movedMs <= 2 * LEASE_MS, m.movedMs + "\n" + m.world.wholeStory());
      }
    }
    assertTrue(unsaid > 500, unsaid + " reports reached nobody");
    assertTrue(killed > 50, killed + " tasks ended with a lease");
    int late = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Mute m = mute(seed, 4, Fate.STAYS, Mutation.ANSWERS_RENEW_LEASES);
      late += m.startedMs > LEASE_MS / 2 + 1000 ? 1 : 0;
    }
    assertNotEquals(0, late, Mutation.ANSWERS_RENEW_LEASES + " not missed");
  }

  private static Mute mute(long seed, int machines, Fate fate, Mutation... mutants) {
    Simulation w = busy(seed, 2 * MACHINES, 0, mutants);
    stream(w, STREAM, 4000);
    w.userSubmits(SimulationTest.job("wk-2", JobKind.ARRAY, 8), 300_000L, () -> {});
    w.runTo(27);
    List<WorkerModel> mute = some(w, machines);
    List<String> held = new ArrayList<>();
    for (WorkerModel m : mute) {
      held.addAll(m.holds().stream().filter(t -> t.startsWith("wk-1/")).toList());
      m.mute(3 * LEASE_MS);
    }
    long fromMs = w.now();
    w.runTo(29);
    suffer(w, fate);
    w.userCancels("wk-2");
    Set<String> lost = new HashSet<>(held);
    long movedMs = 0;
    while (w.now() < fromMs + 3 * LEASE_MS - 250) {
      w.runTo((w.now() + 250) / 1000.0);
      for (WorkerModel m : w.workers.values()) {
        if (!mute.contains(m)) {
          m.holds().forEach(lost::remove);
        }
      }
      movedMs = lost.isEmpty() ? movedMs : w.now() - fromMs;
    }
    long startedMs = mute.stream().mapToLong(m -> m.startedMs).max().orElse(0) - fromMs;
    w.runTo(110);
    return new Mute(w, Math.max(0, startedMs), movedMs);
  }

  // ---- hung ----

  /**
   * Orders and answers are held up by machines that hang, for less than a lease, exactly one, and
   * longer; starts and stops in all orders, and the leader changes or not.
   */
  @Test
  void hungMachinesGoOn() {
    int executed = 0;
    int answered = 0;
    int wentOn = 0;
    for (Fate fate : Fate.values()) {
      for (long ms : hangs()) {
        for (long seed = 1; seed <= 2 * SEEDS; seed++) {
          Simulation w = hung(seed, ms, fate);
          assertSound(w);
          assertEquals(12, w.checker.ended(), w.wholeStory());
          assertEquals(2 * MACHINES, w.checker.on("wk-1"), w.wholeStory());
          executed += sum(w, m -> m.executedLate);
          answered += sum(w, m -> m.answeredLate);
          wentOn += sum(w, m -> m.wentOn);
        }
      }
    }
    assertTrue(executed > 40, executed + " orders were executed when a machine went on");
    assertTrue(answered > 15, answered + " answers were heard when a machine went on");
    assertTrue(wentOn > 200, wentOn + " tasks went on");
    assertMissed(Mutation.NO_ROSTER, s -> hung(s, LEASE_MS / 2, Fate.CRASHES, Mutation.NO_ROSTER));
  }

  private static void hang(WorkerModel m, boolean reporting, long ms) {
    if (reporting) {
      m.hangNext(ms);
    } else {
      m.hang(ms);
    }
  }

  private static long[] hangs() {
    return new long[] {3000, LEASE_MS / 2, LEASE_MS - 1000, LEASE_MS, 2 * LEASE_MS};
  }

  private static Simulation hung(long seed, long ms, Fate fate, Mutation... mutants) {
    Simulation w = busy(seed, 2 * MACHINES, 0, mutants);
    for (int i = 20; i < 32; i++) {
      String job = "wk-" + i;
      Runnable cancel = () -> w.after(w.random.nextLong(4000), () -> w.userCancels(job));
      Runnable then = i % 2 == 0 ? cancel : () -> {};
      w.after(
          w.random.nextLong(1500),
          () -> w.userSubmits(SimulationTest.job(job, JobKind.ARRAY, 2), 3000L, then));
    }
    for (WorkerModel m : some(w, 5)) {
      boolean reporting = w.random.nextBoolean();
      w.after(w.random.nextLong(1500), () -> hang(m, reporting, ms));
    }
    w.runTo(20.5 + w.random.nextInt(3000) / 1000.0);
    suffer(w, fate);
    w.askAll();
    w.runTo(100);
    return w;
  }

  /**
   * Many jobs with long to go are cancelled within a fifth of a second, and up to eight of their
   * machines hang just then; the leader stays, or ends as soon as it has confirmed one of them.
   */
  @Test
  void cancelledNowOnMachinesThatHang() {
    int wentOn = 0;
    int left = 0;
    for (Fate fate : Fate.values()) {
      for (long ms : hangs()) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation w = cancelNow(seed, ms, fate);
          assertSound(w);
          for (int i = 20; i < 34; i++) {
            assertTrue(w.checker.confirmedMs("wk-" + i) != null, w.wholeStory());
            assertEquals(0, w.checker.on("wk-" + i), w.wholeStory());
          }
          assertEquals(4, w.checker.on("wk-34") + w.checker.on("wk-35"), w.wholeStory());
          wentOn += sum(w, m -> m.wentOnCancelled);
          left += w.checker.leftAtConfirmation;
        }
      }
    }
    assertTrue(left > 100, left + " tasks were left as it was confirmed");
    assertTrue(wentOn > 50, wentOn + " cancelled tasks went on with their machine");
    assertMissed(
        Mutation.WHAT_IS_OVER_GOES_ON,
        s -> cancelNow(s, LEASE_MS / 2, Fate.CRASHES, Mutation.WHAT_IS_OVER_GOES_ON));
  }

  private static Simulation cancelNow(long seed, long ms, Fate fate, Mutation... mutants) {
    Simulation w = busy(seed, MACHINES, 0, mutants);
    for (int i = 20; i < 36; i++) {
      w.userSubmits(SimulationTest.job("wk-" + i, JobKind.ARRAY, 2), 300_000L, () -> {});
    }
    w.runTo(30);
    for (int i = 20; i < 34; i++) {
      String job = "wk-" + i;
      w.after(w.random.nextLong(200), () -> w.userCancels(job));
    }
    for (WorkerModel m : some(w, 8)) {
      boolean reporting = w.random.nextInt(4) == 0;
      w.after(w.random.nextLong(300), () -> hang(m, reporting, ms));
    }
    w.runUntil(w.checker::anyConfirmed, 32);
    suffer(w, fate);
    w.askAll();
    w.runTo(100);
    return w;
  }

  // ---- up at once ----

  /**
   * Machines are up within two seconds, some before the controller has the rental's answer, and get
   * work at once, while what the leader writes gets no answer and is carried out late; and the
   * leader ends in the middle of it, twice. Nothing runs twice, nothing is over a limit, and each
   * machine that has tasks is known in the end.
   */
  @Test
  void machinesAreUpAtOnceAndTheLeaderEnds() {
    int early = 0;
    int busyEarly = 0;
    int late = 0;
    for (Fate fate : Fate.values()) {
      for (long seed = 1; seed <= 2 * SEEDS; seed++) {
        Simulation w = upAtOnce(seed, fate);
        assertSound(w);
        assertEquals(5 * MACHINES, w.checker.on("wk-2"), w.wholeStory());
        assertEquals(10, w.checker.ended(), w.wholeStory());
        early += w.cloud.upBeforeAnswer;
        busyEarly += w.cloud.busyBeforeAnswer;
        late += w.store.lateAfterNewer;
      }
    }
    assertTrue(early > 100, early + " machines were up before their rental's answer");
    assertTrue(busyEarly > 20, busyEarly + " of them had tasks by then");
    assertNotEquals(0, late, "no write came after a newer one");
    assertMissed(
        Mutation.TASKS_BEFORE_THE_RECORD,
        s -> upAtOnce(s, Fate.CRASHES, Mutation.TASKS_BEFORE_THE_RECORD));
  }

  private static Simulation upAtOnce(long seed, Fate fate, Mutation... mutants) {
    Simulation w = busy(seed, MACHINES, seed % 2 == 0 ? 0 : 6.5 * MACHINES, mutants);
    w.cloud.boots = () -> 50 + w.random.nextLong(1950);
    w.cloud.slowMs = 4000;
    w.store.lateShare = 0.4;
    w.store.slowMs = 300;
    w.submit(SimulationTest.job("wk-2", JobKind.SERVICE, 5 * MACHINES), null);
    for (int i = 20; i < 30; i++) {
      String job = "wk-" + i;
      Runnable then = () -> w.after(w.random.nextLong(4000), () -> w.userCancels(job));
      w.userSubmits(
          SimulationTest.job(job, JobKind.ARRAY, 2), 5_000L, i % 2 == 0 ? then : () -> {});
    }
    w.runTo(22 + w.random.nextInt(6000) / 1000.0);
    suffer(w, fate);
    w.runUntil(() -> !w.leaders().isEmpty(), w.now() / 1000.0 + 15);
    w.runTo(w.now() / 1000.0 + w.random.nextInt(5000) / 1000.0);
    w.store.lateShare = 0;
    for (ControllerModel n : w.leaders()) {
      n.crash();
      w.after(1000, n::start);
    }
    w.runTo(110);
    return w;
  }
}
