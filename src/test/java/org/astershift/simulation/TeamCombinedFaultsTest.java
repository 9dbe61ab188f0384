package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Priority;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.scheduler.Team;
import org.astershift.simulation.Simulation.Setup;
import org.junit.jupiter.api.Test;

/**
 * Teams at their limits, and work that waits: limits hold to the millisecond whatever meets, and
 * once the troubles are over nothing is left waiting beside room. Each case counts that its
 * troubles met.
 */
class TeamCombinedFaultsTest {
  private static final int SEEDS = 6;
  private static final int MUTANT_SEEDS = 40;
  private static final List<String> TEAMS = List.of("red", "green", "blue");

  /** What becomes of the leader. */
  private enum Fate {
    CRASHES,
    HANDS_OVER,
    STANDS_STILL
  }

  /** When that happens, counted from the cancellations. */
  private enum When {
    BEFORE(-1500),
    AT_ONCE(100),
    AFTER(1500);

    final long ms;

    When(long ms) {
      this.ms = ms;
    }
  }

  /** What becomes of machines that hold tasks of the cancelled jobs. */
  private enum Trouble {
    CUT_OFF,
    HANG
  }

  private record Meeting(Fate fate, When when, Trouble trouble) {}

  /** What a played meeting brought about. */
  private static final class Played {
    final Simulation world;

    /** Teams that were at their limit when the cancellations came. */
    int atLimit;

    /** Tasks of cancelled jobs that were then on machines in trouble. */
    int onTroubled;

    /** Tasks started between the cancellations and the end of the trouble. */
    int startedMeanwhile;

    boolean changed;

    Played(Simulation world) {
      this.world = world;
    }
  }

  private static void assertSound(Simulation w) {
    assertEquals(List.of(), w.checker.broken, () -> "seed " + w.seed + "\n" + w.wholeStory());
  }

  /** Three teams with limits far below what there is; more of each waits than its limit allows. */
  private static Simulation limited(long seed, Mutation... mutants) {
    Simulation w = new Simulation(seed, Setup.of(3, 12));
    w.mutants.addAll(List.of(mutants));
    w.cloud.offer(new MachineType("accel", 4, 2, 16, 50, 0.5, 3, 1, 10, w.setup.zones()));
    for (int i = 0; i < 6; i++) {
      String zone = w.setup.zones().get(i % 3);
      w.cloud.add("vm-acc" + i, new CloudModel.Kind("accel", zone, false), true);
    }
    for (String team : TEAMS) {
      w.teams.put(team, new Team(team, 4, 10, 1, 3));
    }
    w.runTo(4);
    for (String team : TEAMS) {
      String t = team.substring(0, 1);
      for (int i = 0; i < 4; i++) {
        w.userSubmits(
            JobDraft.array("wk-" + t + "acc" + i, 1).of(team).takes(1, 1).spec(),
            300_000L,
            () -> {});
      }
    }
    w.runTo(8);
    for (String team : TEAMS) {
      String t = team.substring(0, 1);
      for (int i = 0; i < 5; i++) {
        String id = "wk-" + t + i;
        boolean saves = i % 2 == 0;
        w.userSubmits(
            JobDraft.array(id, 3).of(team).takes(1 + i % 2, 0).saves(saves ? 3 : 0).spec(),
            300_000L,
            () -> {});
      }
    }
    w.runTo(24);
    assertEquals(1, w.leaders().size(), w.story());
    return w;
  }

  /** Something of the team waits, and its limit allows no more of what does. */
  private static boolean atLimit(Simulation w, String team) {
    double[] use = w.checker.use(team);
    Team t = w.teams.get(team);
    boolean any = false;
    for (String job : w.users.accepted()) {
      JobSpec s = w.users.spec(job);
      if (s.team().equals(team) && !w.checker.waiting(s).isEmpty()) {
        any = true;
        if (t.allows(use[0] + s.cpus(), use[1] + s.gpus())) {
          return false;
        }
      }
    }
    return any && use[1] >= t.maxGpus();
  }

  private static String machineOf(Simulation w, String job) {
    List<String> on = new ArrayList<>();
    w.checker.eachOnMachine(
        (task, machine) -> {
          if (task.startsWith(job + "/")) {
            on.add(machine);
          }
        });
    return on.isEmpty() ? null : on.get(w.random.nextInt(on.size()));
  }

  private static int cancelledOn(Simulation w, List<String> jobs, List<String> machines) {
    int[] n = new int[1];
    w.checker.eachOnMachine(
        (task, machine) -> {
          boolean cancelled = jobs.contains(task.substring(0, task.indexOf('/')));
          n[0] += cancelled && machines.contains(machine) ? 1 : 0;
        });
    return n[0];
  }

  /**
   * Jobs of each team, which hold two thirds of its limit, are called off within 0.2 s; machines on
   * which they run are cut off or hang, for less than the lease, just as long, and longer; and the
   * leader changes. What waits takes what the cancellations free.
   */
  private static Played cancelled(Meeting m, long seed, Mutation... mutants) {
    Simulation w = limited(seed, mutants);
    Played p = new Played(w);
    for (String team : TEAMS) {
      p.atLimit += atLimit(w, team) ? 1 : 0;
    }
    List<String> jobs = new ArrayList<>();
    List<String> machines = new ArrayList<>();
    for (String team : TEAMS) {
      for (String job : List.of("0", "1", "acc0", "acc1")) {
        String id = "wk-" + team.substring(0, 1) + job;
        String machine = machineOf(w, id);
        if (machine != null) {
          jobs.add(id);
          machines.add(machine);
        }
      }
    }
    long cancelMs = w.now() + 3000;
    long troubleMs = cancelMs - w.random.nextLong(1000);
    long leaseMs = w.setup.leaseMs();
    long[] lasts = {leaseMs / 2, leaseMs - 500, leaseMs + 500, 2 * leaseMs};
    long forMs = lasts[(int) (seed % 4)];
    ControllerModel old = w.leaders().get(0);
    w.after(troubleMs - w.now(), () -> machines.forEach(machine -> trouble(w, m, machine, forMs)));
    w.after(cancelMs + m.when.ms - w.now(), () -> suffer(w, old, m.fate));
    for (String job : jobs) {
      w.after(cancelMs + w.random.nextLong(200) - w.now(), () -> w.userCancels(job));
    }
    w.runTo(cancelMs / 1000.0);
    p.onTroubled = cancelledOn(w, jobs, machines);
    int before = w.checker.started;
    w.runTo((troubleMs + forMs) / 1000.0);
    p.startedMeanwhile = w.checker.started - before;
    w.runTo((troubleMs + forMs) / 1000.0 + 10);
    p.changed = w.checker.leaders.stream().distinct().count() > 1 || w.checker.leaders.size() > 1;
    w.healAll();
    w.nodes.forEach(n -> machines.forEach(machine -> w.slow(n.name, machine, 0)));
    w.leftWaiting.troublesAreOver();
    w.runTo(w.now() / 1000.0 + 25);
    return p;
  }

  private static void trouble(Simulation w, Meeting m, String machine, long forMs) {
    if (m.trouble == Trouble.HANG) {
      w.workers.get(machine).hang(forMs);
    } else {
      w.nodes.forEach(
          n -> {
            w.cutBoth(n.name, machine);
            w.slow(n.name, machine, 1500); // and what is said to it then comes late
            w.after(forMs, () -> w.healBoth(n.name, machine));
          });
    }
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

  /** Every team is at its limit while jobs are called off whose machines do not answer. */
  @Test
  void everyTeamAtItsLimitWhileJobsAreCancelled() {
    int played = 0;
    int atLimit = 0;
    int onTroubled = 0;
    int started = 0;
    for (Fate fate : Fate.values()) {
      for (When when : When.values()) {
        for (Trouble trouble : Trouble.values()) {
          for (long seed = 1; seed <= SEEDS; seed++) {
            Played p = cancelled(new Meeting(fate, when, trouble), seed);
            assertSound(p.world);
            assertTrue(p.changed, p.world.wholeStory());
            played++;
            atLimit += p.atLimit;
            onTroubled += p.onTroubled;
            started += p.startedMeanwhile;
          }
        }
      }
    }
    assertEquals(3 * played, atLimit, "teams at their limits in " + played + " cases");
    assertTrue(onTroubled >= 6 * played, onTroubled + " tasks on machines in trouble");
    assertTrue(started >= 3 * played, started + " started meanwhile");
    Meeting m = new Meeting(Fate.CRASHES, When.BEFORE, Trouble.CUT_OFF);
    assertMissed(Mutation.NO_ROSTER, s -> cancelled(m, s, Mutation.NO_ROSTER).world);
  }

  /** Without the fence a limit is broken. */
  private static void assertMissed(Mutation mutant, LongFunction<Simulation> played) {
    for (long seed = 1; seed <= MUTANT_SEEDS; seed++) {
      List<String> broken = played.apply(seed).checker.broken;
      if (broken.stream().anyMatch(b -> b.startsWith("quota"))) {
        return;
      }
    }
    assertEquals("missed", "not missed", mutant + " taken away");
  }

  /**
   * The leader changes, the next one cannot ask a zone's machines, or they hear nothing of what it
   * says, and jobs are called off while it waits for them; all teams are at their limits.
   */
  @Test
  void aCancellationFallsIntoTheSpellInWhichMachinesCannotBeAsked() {
    int inTheSpell = 0;
    int startedInIt = 0;
    for (Fate fate : Fate.values()) {
      for (boolean deaf : new boolean[] {false, true}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Spell spell = spell(fate, deaf, seed);
          assertSound(spell.world);
          inTheSpell += spell.cancelled;
          startedInIt += spell.started;
        }
      }
    }
    int played = Fate.values().length * 2 * SEEDS;
    assertTrue(inTheSpell >= 3 * played, inTheSpell + " called off in the spell");
    assertTrue(startedInIt >= played, startedInIt + " started in the spell");
    assertMissed(
        Mutation.NO_ROSTER, s -> spell(Fate.CRASHES, s % 2 == 0, s, Mutation.NO_ROSTER).world);
  }

  private record Spell(Simulation world, int cancelled, int started) {}

  private static Spell spell(Fate fate, boolean deaf, long seed, Mutation... mutants) {
    Simulation w = limited(seed, mutants);
    ControllerModel old = w.leaders().get(0);
    String zone = "zone " + w.setup.zones().get((int) (seed % 3));
    long forMs = 4000 + seed * 3000;
    for (ControllerModel n : w.nodes) {
      w.cut(n.name, zone);
      if (!deaf) {
        w.cut(zone, n.name);
      }
      w.after(forMs, () -> w.healBoth(n.name, zone));
    }
    suffer(w, old, fate);
    boolean began =
        w.runUntil(() -> w.leaders().stream().anyMatch(n -> n != old), w.now() / 1000.0 + 20);
    assertTrue(began, w.wholeStory());
    w.runTo(w.now() / 1000.0 + 0.2 * (seed % 3));
    int cancelled = 0;
    int before = w.checker.started;
    for (String team : TEAMS) {
      // Some hold tasks where nobody can ask, some wait: what they leave is there to be taken.
      for (String job : List.of("0", "1", "acc0")) {
        w.userCancels("wk-" + team.substring(0, 1) + job);
        cancelled += w.leaders().stream().anyMatch(ControllerModel::starting) ? 1 : 0;
      }
      w.userSubmits(JobDraft.array("wk-late-" + team, 2).of(team).spec(), 300_000L, () -> {});
    }
    w.runTo(w.now() / 1000.0 + 6);
    int started = w.checker.started - before;
    w.runTo((w.now() + forMs) / 1000.0 + 5);
    w.healAll();
    w.leftWaiting.troublesAreOver();
    w.runTo(w.now() / 1000.0 + 25);
    return new Spell(w, cancelled, started);
  }

  /** How machines of a zone are lost. */
  private enum Loss {
    DIE,
    TAKEN,
    ZONE_CUT
  }

  /**
   * Jobs bound to a zone, arrays too, lose all their machines there, with and without a change of
   * leaders: once the zone is back what waits for it runs after two boots and what they take.
   */
  @Test
  void jobsBoundToAZoneLoseTheirMachines() {
    long longestMs = 0;
    int emptied = 0;
    int played = 0;
    for (Loss loss : Loss.values()) {
      for (boolean changes : new boolean[] {false, true}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          Simulation w = new Simulation(seed, Setup.of(3, 24));
          emptied += zoneLost(w, loss, changes) ? 1 : 0;
          played++;
          assertSound(w);
          long since = w.now();
          assertTrue(w.runUntil(() -> bound(w) == 12, (since + 90_000) / 1000.0), w.wholeStory());
          longestMs = Math.max(longestMs, w.now() - since);
          w.runTo(w.now() / 1000.0 + 20);
          assertSound(w);
        }
      }
    }
    assertTrue(emptied >= played * 2 / 3, emptied + " times nothing was left in the zone");
    assertTrue(longestMs < 30_000, longestMs + " ms after the zone was back");
  }

  /** Tasks of the jobs bound to zone a that are on machines. */
  private static int bound(Simulation w) {
    return w.checker.on("wk-a1") + w.checker.on("wk-a2") + w.checker.on("wk-a3");
  }

  /** Says whether no live machine was left there when the trouble was over. */
  private static boolean zoneLost(Simulation w, Loss loss, boolean changes) {
    boolean spot = loss == Loss.TAKEN;
    w.cloud.offer(new MachineType("brief", 4, 0, 16, 50, 0.5, 2, 0.1, 10, w.setup.zones()));
    for (int i = 0; spot && i < 4; i++) {
      w.cloud.add("vm-spot" + i, new CloudModel.Kind("brief", "a", true), true);
    }
    w.runTo(4);
    w.submit(JobDraft.array("wk-all", 40).kind(JobKind.SERVICE).spec(), null);
    for (int i = 1; i <= 3; i++) {
      JobDraft d = JobDraft.array("wk-a" + i, 4).zone("a");
      d = i == 1 ? d.kind(JobKind.SERVICE) : i == 2 ? d.oneZone() : d;
      w.submit((spot ? d.spot().only("brief") : d).spec(), i == 1 ? null : 300_000L);
    }
    w.runTo(22);
    assertEquals(12, bound(w), w.story());
    long forMs = 20_000 + 5000 * (w.seed % 6);
    List<String> there = new ArrayList<>();
    w.workers.forEach(
        (name, worker) -> {
          if (worker.zone.equals("a") && worker.alive() && worker.kind.spot() == spot) {
            there.add(name);
          }
        });
    if (loss == Loss.ZONE_CUT) {
      w.nodes.forEach(n -> w.cutBoth(n.name, "zone a"));
    } else {
      there.forEach(loss == Loss.DIE ? w.cloud::die : w.cloud::take);
    }
    if (changes) {
      ControllerModel old = w.leaders().get(0);
      w.after(w.random.nextLong(forMs), () -> suffer(w, old, Fate.values()[(int) w.seed % 3]));
    }
    w.runTo((22_000 + forMs) / 1000.0);
    boolean empty = there.stream().noneMatch(name -> w.workers.get(name).alive());
    w.healAll();
    w.leftWaiting.troublesAreOver();
    return empty;
  }

  /**
   * More work than there is room, urgent and not, large tasks and small, over links that take up to
   * a second, and the leader changes in the middle of it. Nothing breaks, all that was called for
   * is done, and once the links are fast again nothing waits beside room, though there is still
   * more work than room.
   */
  @Test
  void moreWorkThanRoomOverSlowLinks() {
    int preempted = 0;
    int waitedAfter = 0;
    long longest = 0;
    for (Fate fate : Fate.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Simulation w = crowded(seed);
        ControllerModel old = w.leaders().get(0);
        w.after(20_000 + w.random.nextLong(5000), () -> suffer(w, old, fate));
        w.runTo(60);
        slow(w, 0);
        waitedAfter += waiting(w);
        preempted += w.checker.halted;
        w.leftWaiting.troublesAreOver();
        w.runTo(75);
        urgent(w, 40);
        w.runTo(160);
        longest = Math.max(longest, w.leftWaiting.longestMs());
        assertSound(w);
      }
    }
    int played = Fate.values().length * SEEDS;
    assertTrue(preempted >= played, preempted + " stopped for urgent work");
    assertTrue(longest > 30_000, "the longest wait beside room " + longest + " ms");
    assertTrue(waitedAfter >= 50 * played, waitedAfter + " waited when the troubles were over");
  }

  private static int waiting(Simulation w) {
    return w.users.accepted().stream()
        .mapToInt(job -> w.checker.waiting(w.users.spec(job)).size())
        .sum();
  }

  private static void slow(Simulation w, long ms) {
    for (ControllerModel n : w.nodes) {
      for (String host : List.of("workers", "state", "cloud")) {
        w.slow(n.name, host, host.equals("state") ? ms / 4 : ms);
        w.slow(host, n.name, host.equals("state") ? ms / 4 : ms);
      }
    }
  }

  private static Simulation crowded(long seed) {
    Simulation w = new Simulation(seed, Setup.of(3, 12));
    w.cloud.capacity.put(CloudModel.TYPE, 12);
    w.objectives.add(new ServiceLevelObjective("wait", "u", 2, 0.9, 1));
    w.objectives.add(new ServiceLevelObjective("wait", "n", 30, 0.9, 1));
    slow(w, 1000);
    w.runTo(6);
    for (int i = 0; i < 10; i++) {
      // Guests at whose work nobody aims, and large and small work of the others.
      JobDraft guest = JobDraft.array("wk-g" + i, 12).in("g", Priority.LOW);
      w.submit(guest.saves(i % 2 == 0 ? 2 : 0).spec(), 15_000L);
      boolean large = i % 3 == 0;
      JobDraft normal = JobDraft.array("wk-n" + i, large ? 60 : 8).in("n", Priority.NORMAL);
      w.submit(normal.takes(large ? 3 : 2, 0).spec(), 12_000L);
    }
    for (int i = 0; i < 10; i++) {
      int id = i;
      w.after(5000 * i, () -> urgent(w, id));
    }
    w.runTo(18);
    return w;
  }

  private static void urgent(Simulation w, int id) {
    JobDraft d = JobDraft.array("wk-u" + id, 6).in("u", Priority.HIGH);
    w.submit(d.takes(id % 2 == 0 ? 2 : 1, 0).spec(), 8_000L);
  }
}
