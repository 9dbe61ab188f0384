package org.astershift.simulation;

import java.util.List;
import java.util.function.Consumer;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Priority;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.scheduler.Team;
import org.astershift.simulation.Simulation.Setup;

/**
 * One world with faults drawn from its seed: first which kinds occur, then when and to whom. All is
 * healed at the end, and then everything has to serve again.
 */
final class RandomizedScenario {
  private static final int FAULTS_FROM_S = 20;
  private static final int HEALED_S = 100;
  private static final int END_S = 195;

  /** From the middle of the troubles on; earlier would only cost time. */
  private static final int ASKED_FROM_S = 60;

  private static final int KINDS = 23;

  /** The longest that tasks run and save, and their end is written. */
  private static final long AT_WORK_MS = 40_000;

  private static final int JOBS = 40;

  /** Troubles that users make, or that meet them: {@link #users}. */
  private static final int USER_KINDS = 7;

  /** Jobs of a stream: a quarter of a minute of it. */
  private static final int STREAM = 60;

  private static final int FIRST_OF_STREAM = 100;
  private static final String SPOT_TYPE = "brief";
  private static final int SPOT_MACHINES = 9;
  private static final long NOTICE_MS = 20_000;
  final Simulation world;
  private final int kinds;
  private final int userKinds;
  private int jobs = JOBS;

  /** Shares of the reports that are kept for the next leader, and held back until it has acted. */
  private final double kept;

  private final double heldBack;

  /** Several teams at their limits, sizes, accelerators and priorities. */
  private final boolean teams;

  /** A third of the jobs are gangs. */
  private final boolean gangs;

  /**
   * Beside the others there are spot machines, which are taken back, and jobs that may use them.
   */
  private final boolean spot;

  /** What runs on some machines fails, so that they are drained and given back. */
  private final boolean faulty;

  private int replicas;

  private RandomizedScenario(long seed) {
    RandomSetup drawn = new RandomSetup(seed);
    world = new Simulation(seed, drawn.setup);
    world.teamLimit = drawn.limited ? 3 * drawn.setup.machines() : 0;
    teams = drawn.teams;
    gangs = drawn.gangs;
    spot = drawn.spot;
    faulty = drawn.faulty;
    replicas = 2 * drawn.setup.machines();
    if (spot) {
      spotMachines();
    }
    if (teams) {
      teams();
    }
    kinds = drawn.kinds;
    userKinds = drawn.userKinds;
    kept = drawn.kept;
    heldBack = drawn.heldBack;
  }

  /** Beside the replicas' team three that come to their limits, and urgent work. */
  private void teams() {
    List<String> zones = world.setup.zones();
    world.cloud.offer(new MachineType("accel", 4, 2, 16, 50, 0.5, 3, 1, 10, zones));
    world.teams.put("team", new Team("team", 0, world.teamLimit, 0, 0));
    for (int i = 0; i < 3; i++) {
      world.teams.put("t" + i, new Team("t" + i, 4, 10, 1, 3));
      String zone = zones.get(i % zones.size());
      world.cloud.add("vm-acc" + i, new CloudModel.Kind("accel", zone, i == 0), true);
    }
    world.objectives.add(new ServiceLevelObjective("wait", "u", 2, 0.9, 1));
  }

  private void spotMachines() {
    List<String> zones = world.setup.zones();
    world.cloud.offer(new MachineType(SPOT_TYPE, 4, 0, 16, 50, 0.5, 2, 0.1, 10, zones));
    for (int i = 0; i < SPOT_MACHINES; i++) {
      String zone = zones.get(i % zones.size());
      world.cloud.add("vm-spot" + i, new CloudModel.Kind(SPOT_TYPE, zone, true), true);
    }
  }

  /** The cloud takes some or all spot machines of a zone back, with a notice or without. */
  private void takeBack() {
    List<String> zones = world.setup.zones();
    String zone = zones.get(world.random.nextInt(zones.size()));
    boolean all = world.random.nextBoolean();
    for (WorkerModel m : List.copyOf(world.workers.values())) {
      boolean there = m.alive() && m.kind.spot() && (all || m.zone.equals(zone));
      if (there && world.random.nextInt(3) > 0) {
        boolean told = world.random.nextInt(4) > 0;
        long inMs = world.random.nextLong(2000);
        double times = 0.5 + world.random.nextDouble();
        world.after(
            inMs,
            () -> {
              if (told) {
                world.cloud.recall(m.name, NOTICE_MS, times);
              } else {
                world.cloud.take(m.name);
              }
            });
      }
    }
  }

  private void spoil() {
    WorkerModel m = world.workers.get(machine());
    world.note(m.name, "is faulty");
    m.faulty = true;
  }

  /** Drawn apart from the world's own numbers, so that both may change by themselves. */
  private static final class RandomSetup {
    final Setup setup;
    final int kinds;
    final boolean limited;
    final int userKinds;
    final double kept;
    final double heldBack;
    final boolean teams;
    final boolean gangs;
    final boolean spot;
    final boolean faulty;

    RandomSetup(long seed) {
      java.util.SplittableRandom r = new java.util.SplittableRandom(seed);
      int nodes = r.nextBoolean() ? 3 : 5;
      List<String> zones = r.nextBoolean() ? List.of("a", "b", "c") : List.of("a", "b");
      setup = new Setup(nodes, 20 + r.nextInt(20), zones, 2000, 14_000);
      kinds = 1 + r.nextInt((1 << KINDS) - 1);
      limited = r.nextInt(3) == 0;
      int likelyKinds = r.nextInt(1 << USER_KINDS);
      userKinds = likelyKinds & r.nextInt(1 << USER_KINDS); // each kind in a quarter of the seeds
      kept = r.nextInt(3) == 0 ? 0.2 : 0;
      heldBack = r.nextInt(3) == 0 ? 0.02 + 0.2 * r.nextDouble() : 0;
      teams = r.nextInt(3) == 0;
      gangs = r.nextBoolean();
      spot = r.nextInt(3) == 0;
      faulty = r.nextInt(4) == 0;
    }
  }

  /** Plays a seed to its end; what went wrong is in the checker and in {@link #unserved}. */
  static RandomizedScenario play(long seed, Mutation... mutants) {
    RandomizedScenario s = new RandomizedScenario(seed);
    Simulation w = s.world;
    w.mutants.addAll(List.of(mutants));
    w.runTo(4);
    w.submit(SimulationTest.job("wk-0", JobKind.SERVICE, s.replicas), null);
    if (s.spot) {
      JobDraft d = JobDraft.array("wk-spot", SPOT_MACHINES).kind(JobKind.SERVICE).spot();
      w.submit(d.only(SPOT_TYPE).spec(), null);
      s.replicas += SPOT_MACHINES;
    }
    for (int i = 1; i <= JOBS; i++) {
      int id = i;
      w.after(w.random.nextLong(110_000), () -> s.job(id));
    }
    w.lateReports.kept = s.kept;
    w.runTo(FAULTS_FROM_S);
    w.lateReports.heldBack = s.heldBack;
    int faults = 1 + w.random.nextInt(12);
    for (int i = 0; i < faults; i++) {
      long atMs = w.random.nextLong((HEALED_S - FAULTS_FROM_S) * 1000L);
      w.after(atMs, () -> s.fault(false));
      if (w.random.nextBoolean()) {
        // Rules break where two troubles meet: another one, soon after, at whoever leads.
        long soonMs = Math.min(atMs + w.random.nextLong(4000), (HEALED_S - FAULTS_FROM_S) * 1000L);
        w.after(soonMs, () -> s.fault(true));
      }
    }
    for (int kind = 0; kind < USER_KINDS; kind++) {
      if ((s.userKinds & 1 << kind) != 0) {
        int k = kind;
        w.after(w.random.nextLong((HEALED_S - FAULTS_FROM_S) * 1000L), () -> s.users(k));
      }
    }
    for (int i = 0; s.spot && i < 1 + w.random.nextInt(4); i++) {
      // All that was told of has come when the troubles are over.
      long mostMs = (HEALED_S - FAULTS_FROM_S) * 1000L - 3 * NOTICE_MS / 2 - 2000;
      w.after(w.random.nextLong(mostMs), s::takeBack);
    }
    for (int i = 0; s.faulty && i < 1 + w.random.nextInt(3); i++) {
      w.after(w.random.nextLong((HEALED_S - FAULTS_FROM_S) * 1000L), s::spoil);
    }
    w.after(ASKED_FROM_S * 1000L - w.now(), w::askAll);
    w.runTo(HEALED_S);
    w.workers.values().forEach(m -> m.faulty = false);
    w.healAll();
    w.store.lateShare = 0;
    w.store.unheardShare = 0;
    w.store.slowMs = 0;
    w.stuckMs = 0;
    w.lateReports.release();
    w.nodes.forEach(ControllerModel::hasPlaces);
    w.workers.values().forEach(WorkerModel::unmute);
    w.nodes.stream()
        .filter(n -> w.store.refuses(n.name))
        .forEach(n -> w.store.refuse(n.name, false));
    if (w.store.isDown()) {
      w.store.down(false);
    }
    w.leftWaiting.troublesAreOver();
    w.runTo(END_S);
    w.checker.allAnswered(HEALED_S * 1000L);
    return s;
  }

  /**
   * Every other job is put on record as before; the others come through their users, who change
   * their minds about half of them, early or late.
   */
  private void job(int id) {
    String name = "wk-" + id;
    long runMs = world.random.nextBoolean() ? 5_000L : 25_000L;
    int where = world.random.nextInt(8);
    JobDraft draft = JobDraft.array(name, 1 + world.random.nextInt(4));
    draft = where == 1 ? draft.oneZone() : where == 2 ? draft.spread() : draft;
    if (where == 3) {
      List<String> zones = world.setup.zones();
      draft = draft.zone(zones.get(world.random.nextInt(zones.size())));
    }
    draft = spot && id % 2 == 0 ? draft.spot() : draft;
    if (gangs && id % 3 == 0) {
      draft = draft.kind(JobKind.GANG).saves(id % 2 == 0 ? 1.5 : 0);
      draft = id % 4 == 0 && where != 2 ? draft.oneZone() : draft;
    }
    if (teams) {
      draft = draft.of("t" + id % 3).takes(1 + id % 2, 0);
      draft = gangs && id % 3 == 0 ? draft : draft.saves(id % 5 == 0 ? 2 : 0);
      boolean fits = !gangs || id % 3 != 0; // four such tasks at once are beyond the team's limit
      draft = id % 7 == 0 && fits ? draft.takes(1, 1) : draft;
      draft = id % 4 == 0 ? draft.in("u", Priority.HIGH) : draft;
    }
    JobSpec spec = draft.spec();
    boolean cancelled = world.random.nextBoolean();
    long afterMs = world.random.nextLong(40_000);
    if (id % 2 == 0) {
      world.submit(spec, runMs);
    } else {
      Runnable then = () -> world.after(afterMs, () -> world.userCancels(name));
      world.userSubmits(spec, runMs, cancelled ? then : () -> {});
    }
  }

  private void fault(boolean second) {
    int kind = world.random.nextInt(KINDS);
    if ((kinds & 1 << kind) == 0) {
      return;
    }
    ControllerModel any = world.nodes.get(world.random.nextInt(world.nodes.size()));
    boolean leader =
        second || world.random.nextBoolean(); // most of what can go wrong goes wrong there
    ControllerModel node = leader ? world.leaders().stream().findFirst().orElse(any) : any;
    long forMs = 1000 + world.random.nextLong(45_000);
    switch (kind) {
      case 0 -> cut(node.name, "workers", forMs);
      case 1 -> cut(node.name, "state", forMs);
      case 2 -> cut(node.name, "cloud", forMs);
      case 3 -> {
        ControllerModel other = world.nodes.get(world.random.nextInt(world.nodes.size()));
        if (other != node) {
          cut(node.name, other.name, forMs);
        }
      }
      case 4 -> node.freeze(Math.min(forMs, 25_000));
      case 5 -> {
        boolean all = world.random.nextInt(4) == 0;
        int row = world.random.nextBoolean() ? 1 : 2 + world.random.nextInt(4);
        for (ControllerModel n : all ? world.nodes : List.of(node)) {
          for (int i = 0; i < row; i++) {
            world.after(i * 600L + world.random.nextLong(600), () -> crash(n));
          }
        }
      }
      case 6 -> down(Math.min(forMs, 20_000));
      case 7 -> cut(node.name, zone(), forMs);
      case 8 -> {
        String zone = zone();
        world.nodes.forEach(n -> cut(n.name, zone, forMs));
      }
      case 9 -> {
        String machine = machine();
        world.nodes.forEach(n -> cut(n.name, machine, forMs));
      }
      case 10 -> {
        boolean all = world.random.nextBoolean();
        (all ? world.nodes : List.of(node)).forEach(n -> n.full(forMs));
      }
      case 11 -> {
        // What is said to it does not arrive; its reports do.
        String host = world.random.nextInt(4) == 0 ? zone() : machine();
        world.nodes.forEach(
            n -> {
              world.cut(n.name, host);
              world.after(forMs, () -> world.heal(n.name, host));
            });
      }
      case 12 -> {
        world.copied = 0.3;
        world.after(forMs, () -> world.copied = 0);
      }
      case 13 -> {
        for (int i = 0; i < 1 + world.random.nextInt(6); i++) {
          world.workers.get(machine()).beginAnew(50 + world.random.nextLong(900));
        }
      }
      case 15 -> refuse(node, forMs);
      case 16 -> {
        world.store.lateShare = 0.05 + 0.4 * world.random.nextDouble();
        world.after(forMs, () -> world.store.lateShare = 0);
      }
      case 17 -> {
        world.store.slowMs = 200 + world.random.nextLong(3000);
        world.after(forMs, () -> world.store.slowMs = 0);
      }
      case 18 -> {
        world.stuckMs = 500 + world.random.nextLong(8000);
        world.after(forMs, () -> world.stuckMs = 0);
      }
      case 14 -> {
        cut(node.name, "state", forMs);
        world.nodes.stream().filter(n -> n != node).forEach(n -> cut(node.name, n.name, forMs));
      }
      case 20 -> some(m -> m.hang(Math.min(2 * world.setup.leaseMs(), forMs)));
      case 21 -> some(m -> m.mute(forMs));
      case 22 -> {
        world.note("cloud", "boots within two seconds, and answers late");
        world.cloud.boots = () -> 50 + world.random.nextLong(1950);
        world.cloud.slowMs = 4000;
      }
      default -> {
        for (int i = 0; i < 1 + world.random.nextInt(5); i++) {
          world.cloud.die(machine());
        }
      }
    }
  }

  /** What users do all at once, or what meets them just then. */
  private void users(int kind) {
    UserModel users = world.users;
    long forMs = 5000 + world.random.nextLong(45_000);
    ControllerModel leader = world.leaders().stream().findFirst().orElse(world.nodes.get(0));
    switch (kind) {
      case 0 -> {
        users.closeLooks = 0.2 + 0.8 * world.random.nextDouble();
        users.cancelsAtOnce = 0.3;
        world.after(
            forMs,
            () -> {
              users.closeLooks = 0;
              users.cancelsAtOnce = 0;
            });
      }
      case 1 -> {
        world.store.unheardShare = 0.05 + 0.4 * world.random.nextDouble();
        world.after(forMs, () -> world.store.unheardShare = 0);
      }
      case 2 -> users.cancelNow(2 + world.random.nextInt(8));
      case 3 -> {
        users.cancelsAtEnd = 0.1 + 0.5 * world.random.nextDouble();
        world.after(forMs, () -> users.cancelsAtEnd = 0);
      }
      case 4 -> {
        jobs += STREAM;
        users.stream(FIRST_OF_STREAM, STREAM, 3000);
      }
      case 5 -> {
        // Cancelled as the leader alone is refused, and a second later all are, for long.
        users.cancelNow(2 + world.random.nextInt(6));
        trouble(world.random.nextLong(100), () -> refuse(leader, 3000));
        trouble(1000, () -> down(InvariantChecker.CANCEL_MS + 2000));
      }
      default -> {
        for (int i = 0; i < 10; i++) {
          boolean crashes = world.random.nextBoolean();
          trouble(
              i * forMs / 10 + world.random.nextLong(500),
              () -> world.leaders().forEach(crashes ? this::crash : ControllerModel::handOver));
        }
      }
    }
  }

  /** All troubles are over in time. */
  private void trouble(long afterMs, Runnable body) {
    world.after(
        afterMs,
        () -> {
          if (world.now() < HEALED_S * 1000L) {
            body.run();
          }
        });
  }

  private void refuse(ControllerModel node, long forMs) {
    if (!world.store.refuses(node.name)) {
      world.store.refuse(node.name, true);
      world.after(forMs, () -> world.store.refuse(node.name, false));
    }
  }

  private void down(long forMs) {
    if (!world.store.isDown()) {
      world.note("state", "is down");
      world.store.down(true);
      world.after(forMs, () -> world.store.down(false));
    }
  }

  /** Back after something between a twentieth of a second and ten, often at once. */
  private void crash(ControllerModel n) {
    if (!n.crashed()) {
      n.crash();
      boolean atOnce = world.random.nextBoolean();
      world.after(50 + world.random.nextLong(atOnce ? 450 : 9950), n::start);
    }
  }

  /** To a few machines, or to those of a zone. */
  private void some(Consumer<WorkerModel> trouble) {
    int zones = world.setup.zones().size();
    boolean whole = world.random.nextInt(4) == 0;
    int first = world.random.nextInt(world.setup.machines());
    int machines = 1 + world.random.nextInt(8);
    for (int i = 0; i < (whole ? world.setup.machines() : machines); i++) {
      if (!whole || i % zones == first % zones) {
        trouble.accept(world.workers.get(whole ? "vm-" + i : machine()));
      }
    }
  }

  private String machine() {
    return "vm-" + world.random.nextInt(world.setup.machines());
  }

  private String zone() {
    List<String> zones = world.setup.zones();
    return "zone " + zones.get(world.random.nextInt(zones.size()));
  }

  /** In both directions, or in one. */
  private void cut(String a, String b, long forMs) {
    int way = world.random.nextInt(4);
    if (way != 0) {
      world.cut(a, b);
    }
    if (way != 1) {
      world.cut(b, a);
    }
    world.after(forMs, () -> world.healBoth(a, b));
  }

  /** Whether a rule broke, a healthy machine was given away, or something does not serve. */
  boolean failed() {
    return !world.checker.broken.isEmpty()
        || !world.checker.healthyReturned.isEmpty()
        || !unserved().isEmpty();
  }

  /** What does not serve though all is healed; empty if everything does. */
  String unserved() {
    int leaders = world.leaders().size();
    int running = world.workers.values().stream().mapToInt(WorkerModel::running).sum();
    String out = leaders == 1 ? "" : leaders + " lead; ";
    out += running >= replicas ? "" : running + " replicas run; ";
    int ended = world.checker.ended();
    int late = jobs - ended - atLimit();
    return out + (late == 0 ? "" : ended + " of " + jobs + " arrays are done; " + unfinished());
  }

  /** For the message: what of each is where. */
  private String unfinished() {
    StringBuilder out = new StringBuilder();
    for (String job : world.users.accepted()) {
      JobSpec s = world.users.spec(job);
      if (s.kind() != JobKind.SERVICE && !world.checker.isOver(job)) {
        out.append(s).append(" waiting ").append(world.checker.waiting(s)).append(", on machines ");
        out.append(world.checker.on(job)).append("; ");
      }
    }
    return out.toString();
  }

  /** Jobs of teams with limits that are at work, or wait since their team is at its limit. */
  private int atLimit() {
    int n = 0;
    boolean limits = teams || world.teamLimit > 0;
    for (String job : limits ? world.users.accepted() : List.<String>of()) {
      JobSpec spec = world.users.spec(job);
      if (spec.kind() == JobKind.SERVICE || world.checker.isOver(job)) {
        continue;
      }
      double[] use = world.checker.use(spec.team());
      boolean waits = !world.checker.waiting(spec).isEmpty();
      int atOnce = spec.kind() == JobKind.GANG ? spec.tasks() : 1;
      boolean full =
          !world
              .teams()
              .get(spec.team())
              .allows(use[0] + atOnce * spec.cpus(), use[1] + atOnce * spec.gpus());
      boolean atWork = world.now() - world.checker.lastStart(job) < AT_WORK_MS;
      n += (waits ? full : atWork) ? 1 : 0;
    }
    return n;
  }
}
