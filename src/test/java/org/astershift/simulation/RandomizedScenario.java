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
  private static final int POLLED_FROM_S = 60;

  private static final int KINDS = 23;

  /** The longest that tasks run and save, and their end is written. */
  private static final long MAX_WORK_MS = 40_000;

  private static final int JOBS = 40;

  /** Troubles that users make, or that meet them: {@link #users}. */
  private static final int USER_KINDS = 7;

  /** Jobs of a stream: a quarter of a minute of it. */
  private static final int STREAM_JOBS = 60;

  private static final int FIRST_STREAM_JOB = 100;
  private static final String SPOT_TYPE = "brief";
  private static final int SPOT_MACHINES = 9;
  private static final long NOTICE_MS = 20_000;
  final Simulation simulation;
  private final int faultKinds;
  private final int userFaultKinds;
  private int jobs = JOBS;

  /** Shares of the reports that are kept for the next leader, and held back until it has acted. */
  private final double duplicateKeepShare;

  private final double heartbeatHoldShare;

  /** Several teams at their limits, sizes, accelerators and priorities. */
  private final boolean withTeams;

  /** A third of the jobs are gangs. */
  private final boolean withGangs;

  /**
   * Beside the others there are spot machines, which are taken back, and jobs that may use them.
   */
  private final boolean withSpot;

  /** What runs on some machines fails, so that they are drained and given back. */
  private final boolean withFaultyMachines;

  private int replicas;

  private RandomizedScenario(long seed) {
    RandomSetup drawn = new RandomSetup(seed);
    simulation = new Simulation(seed, drawn.setup);
    simulation.teamCpuLimit = drawn.withTeamLimit ? 3 * drawn.setup.machines() : 0;
    withTeams = drawn.withTeams;
    withGangs = drawn.withGangs;
    withSpot = drawn.withSpot;
    withFaultyMachines = drawn.withFaultyMachines;
    replicas = 2 * drawn.setup.machines();
    if (withSpot) {
      addSpotMachines();
    }
    if (withTeams) {
      addTeams();
    }
    faultKinds = drawn.faultKinds;
    userFaultKinds = drawn.userFaultKinds;
    duplicateKeepShare = drawn.duplicateKeepShare;
    heartbeatHoldShare = drawn.heartbeatHoldShare;
  }

  /** Beside the replicas' team three that come to their limits, and urgent work. */
  private void addTeams() {
    List<String> zones = simulation.setup.zones();
    simulation.cloud.addType(new MachineType("accel", 4, 2, 16, 50, 0.5, 3, 1, 10, zones));
    simulation.teams.put("team", new Team("team", 0, simulation.teamCpuLimit, 0, 0));
    for (int i = 0; i < 3; i++) {
      simulation.teams.put("t" + i, new Team("t" + i, 4, 10, 1, 3));
      String zone = zones.get(i % zones.size());
      simulation.cloud.addMachine("vm-acc" + i, new CloudModel.Kind("accel", zone, i == 0), true);
    }
    simulation.objectives.add(new ServiceLevelObjective("wait", "u", 2, 0.9, 1));
  }

  private void addSpotMachines() {
    List<String> zones = simulation.setup.zones();
    simulation.cloud.addType(new MachineType(SPOT_TYPE, 4, 0, 16, 50, 0.5, 2, 0.1, 10, zones));
    for (int i = 0; i < SPOT_MACHINES; i++) {
      String zone = zones.get(i % zones.size());
      simulation.cloud.addMachine("vm-spot" + i, new CloudModel.Kind(SPOT_TYPE, zone, true), true);
    }
  }

  /** The cloud takes some or all spot machines of a zone back, with a notice or without. */
  private void preemptSpotMachines() {
    List<String> zones = simulation.setup.zones();
    String zone = zones.get(simulation.random.nextInt(zones.size()));
    boolean all = simulation.random.nextBoolean();
    for (WorkerModel machine : List.copyOf(simulation.workers.values())) {
      boolean there = machine.alive() && machine.kind.spot() && (all || machine.zone.equals(zone));
      if (there && simulation.random.nextInt(3) > 0) {
        boolean announced = simulation.random.nextInt(4) > 0;
        long inMs = simulation.random.nextLong(2000);
        double times = 0.5 + simulation.random.nextDouble();
        simulation.after(
            inMs,
            () -> {
              if (announced) {
                simulation.cloud.announcePreemption(machine.name, NOTICE_MS, times);
              } else {
                simulation.cloud.preempt(machine.name);
              }
            });
      }
    }
  }

  private void makeMachineFaulty() {
    WorkerModel machine = simulation.workers.get(randomMachine());
    simulation.log(machine.name, "is faulty");
    machine.faulty = true;
  }

  /** Drawn apart from the world's own numbers, so that both may change by themselves. */
  private static final class RandomSetup {
    final Setup setup;
    final int faultKinds;
    final boolean withTeamLimit;
    final int userFaultKinds;
    final double duplicateKeepShare;
    final double heartbeatHoldShare;
    final boolean withTeams;
    final boolean withGangs;
    final boolean withSpot;
    final boolean withFaultyMachines;

    RandomSetup(long seed) {
      java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
      int nodes = random.nextBoolean() ? 3 : 5;
      List<String> zones = random.nextBoolean() ? List.of("a", "b", "c") : List.of("a", "b");
      setup = new Setup(nodes, 20 + random.nextInt(20), zones, 2000, 14_000);
      faultKinds = 1 + random.nextInt((1 << KINDS) - 1);
      withTeamLimit = random.nextInt(3) == 0;
      int likelyKinds = random.nextInt(1 << USER_KINDS);
      userFaultKinds =
          likelyKinds & random.nextInt(1 << USER_KINDS); // each kind in a quarter of the seeds
      duplicateKeepShare = random.nextInt(3) == 0 ? 0.2 : 0;
      heartbeatHoldShare = random.nextInt(3) == 0 ? 0.02 + 0.2 * random.nextDouble() : 0;
      withTeams = random.nextInt(3) == 0;
      withGangs = random.nextBoolean();
      withSpot = random.nextInt(3) == 0;
      withFaultyMachines = random.nextInt(4) == 0;
    }
  }

  /** Plays a seed to its end; what went wrong is in the checker and in {@link #unserved}. */
  static RandomizedScenario play(long seed, Mutation... mutations) {
    RandomizedScenario scenario = new RandomizedScenario(seed);
    Simulation simulation = scenario.simulation;
    simulation.mutations.addAll(List.of(mutations));
    simulation.runTo(4);
    simulation.submit(SimulationTest.job("wk-0", JobKind.SERVICE, scenario.replicas), null);
    if (scenario.withSpot) {
      JobDraft draft = JobDraft.array("wk-spot", SPOT_MACHINES).kind(JobKind.SERVICE).spot();
      simulation.submit(draft.only(SPOT_TYPE).spec(), null);
      scenario.replicas += SPOT_MACHINES;
    }
    for (int i = 1; i <= JOBS; i++) {
      int id = i;
      simulation.after(simulation.random.nextLong(110_000), () -> scenario.submitJob(id));
    }
    simulation.delayedHeartbeats.keepShare = scenario.duplicateKeepShare;
    simulation.runTo(FAULTS_FROM_S);
    simulation.delayedHeartbeats.holdShare = scenario.heartbeatHoldShare;
    int faults = 1 + simulation.random.nextInt(12);
    for (int i = 0; i < faults; i++) {
      long atMs = simulation.random.nextLong((HEALED_S - FAULTS_FROM_S) * 1000L);
      simulation.after(atMs, () -> scenario.injectFault(false));
      if (simulation.random.nextBoolean()) {
        // Rules break where two troubles meet: another one, soon after, at whoever leads.
        long soonMs =
            Math.min(atMs + simulation.random.nextLong(4000), (HEALED_S - FAULTS_FROM_S) * 1000L);
        simulation.after(soonMs, () -> scenario.injectFault(true));
      }
    }
    for (int kind = 0; kind < USER_KINDS; kind++) {
      if ((scenario.userFaultKinds & 1 << kind) != 0) {
        int k = kind;
        simulation.after(
            simulation.random.nextLong((HEALED_S - FAULTS_FROM_S) * 1000L),
            () -> scenario.injectUserFault(k));
      }
    }
    for (int i = 0; scenario.withSpot && i < 1 + simulation.random.nextInt(4); i++) {
      // All that was told of has come when the troubles are over.
      long mostMs = (HEALED_S - FAULTS_FROM_S) * 1000L - 3 * NOTICE_MS / 2 - 2000;
      simulation.after(simulation.random.nextLong(mostMs), scenario::preemptSpotMachines);
    }
    for (int i = 0; scenario.withFaultyMachines && i < 1 + simulation.random.nextInt(3); i++) {
      simulation.after(
          simulation.random.nextLong((HEALED_S - FAULTS_FROM_S) * 1000L),
          scenario::makeMachineFaulty);
    }
    simulation.after(POLLED_FROM_S * 1000L - simulation.now(), simulation::pollAllJobs);
    simulation.runTo(HEALED_S);
    simulation.workers.values().forEach(machine -> machine.faulty = false);
    simulation.healAll();
    simulation.store.lateShare = 0;
    simulation.store.unansweredShare = 0;
    simulation.store.answerDelayMs = 0;
    simulation.threadStallMs = 0;
    simulation.delayedHeartbeats.release();
    simulation.controllers.forEach(ControllerModel::acceptHeartbeats);
    simulation.workers.values().forEach(WorkerModel::healOutbound);
    simulation.controllers.stream()
        .filter(controller -> simulation.store.refuses(controller.name))
        .forEach(controller -> simulation.store.refuse(controller.name, false));
    if (simulation.store.isUnavailable()) {
      simulation.store.unavailable(false);
    }
    simulation.starvationCheck.onFaultsHealed();
    simulation.runTo(END_S);
    simulation.checker.checkAllAnswered(HEALED_S * 1000L);
    return scenario;
  }

  /**
   * Every other job is put on record as before; the others come through their users, who change
   * their minds about half of them, early or late.
   */
  private void submitJob(int id) {
    String name = "wk-" + id;
    long runMs = simulation.random.nextBoolean() ? 5_000L : 25_000L;
    int where = simulation.random.nextInt(8);
    JobDraft draft = JobDraft.array(name, 1 + simulation.random.nextInt(4));
    draft = where == 1 ? draft.oneZone() : where == 2 ? draft.spread() : draft;
    if (where == 3) {
      List<String> zones = simulation.setup.zones();
      draft = draft.zone(zones.get(simulation.random.nextInt(zones.size())));
    }
    draft = withSpot && id % 2 == 0 ? draft.spot() : draft;
    if (withGangs && id % 3 == 0) {
      draft = draft.kind(JobKind.GANG).saves(id % 2 == 0 ? 1.5 : 0);
      draft = id % 4 == 0 && where != 2 ? draft.oneZone() : draft;
    }
    if (withTeams) {
      draft = draft.of("t" + id % 3).takes(1 + id % 2, 0);
      draft = withGangs && id % 3 == 0 ? draft : draft.saves(id % 5 == 0 ? 2 : 0);
      boolean fits =
          !withGangs || id % 3 != 0; // four such tasks at once are beyond the team's limit
      draft = id % 7 == 0 && fits ? draft.takes(1, 1) : draft;
      draft = id % 4 == 0 ? draft.in("u", Priority.HIGH) : draft;
    }
    JobSpec spec = draft.spec();
    boolean cancelled = simulation.random.nextBoolean();
    long afterMs = simulation.random.nextLong(40_000);
    if (id % 2 == 0) {
      simulation.submit(spec, runMs);
    } else {
      Runnable then = () -> simulation.after(afterMs, () -> simulation.userCancels(name));
      simulation.userSubmits(spec, runMs, cancelled ? then : () -> {});
    }
  }

  private void injectFault(boolean second) {
    int kind = simulation.random.nextInt(KINDS);
    if ((faultKinds & 1 << kind) == 0) {
      return;
    }
    ControllerModel any =
        simulation.controllers.get(simulation.random.nextInt(simulation.controllers.size()));
    boolean leader =
        second || simulation.random.nextBoolean(); // most of what can go wrong goes wrong there
    ControllerModel node = leader ? simulation.leaders().stream().findFirst().orElse(any) : any;
    long forMs = 1000 + simulation.random.nextLong(45_000);
    switch (kind) {
      case 0 -> cutRandomly(node.name, "workers", forMs);
      case 1 -> cutRandomly(node.name, "state", forMs);
      case 2 -> cutRandomly(node.name, "cloud", forMs);
      case 3 -> {
        ControllerModel other =
            simulation.controllers.get(simulation.random.nextInt(simulation.controllers.size()));
        if (other != node) {
          cutRandomly(node.name, other.name, forMs);
        }
      }
      case 4 -> node.freeze(Math.min(forMs, 25_000));
      case 5 -> {
        boolean all = simulation.random.nextInt(4) == 0;
        int row = simulation.random.nextBoolean() ? 1 : 2 + simulation.random.nextInt(4);
        for (ControllerModel controller : all ? simulation.controllers : List.of(node)) {
          for (int i = 0; i < row; i++) {
            simulation.after(
                i * 600L + simulation.random.nextLong(600), () -> crashAndRestart(controller));
          }
        }
      }
      case 6 -> storeOutage(Math.min(forMs, 20_000));
      case 7 -> cutRandomly(node.name, randomZone(), forMs);
      case 8 -> {
        String zone = randomZone();
        simulation.controllers.forEach(controller -> cutRandomly(controller.name, zone, forMs));
      }
      case 9 -> {
        String machine = randomMachine();
        simulation.controllers.forEach(controller -> cutRandomly(controller.name, machine, forMs));
      }
      case 10 -> {
        boolean all = simulation.random.nextBoolean();
        (all ? simulation.controllers : List.of(node))
            .forEach(controller -> controller.rejectHeartbeats(forMs));
      }
      case 11 -> {
        // What is said to it does not arrive; its reports do.
        String host = simulation.random.nextInt(4) == 0 ? randomZone() : randomMachine();
        simulation.controllers.forEach(
            controller -> {
              simulation.cut(controller.name, host);
              simulation.after(forMs, () -> simulation.heal(controller.name, host));
            });
      }
      case 12 -> {
        simulation.duplicateShare = 0.3;
        simulation.after(forMs, () -> simulation.duplicateShare = 0);
      }
      case 13 -> {
        for (int i = 0; i < 1 + simulation.random.nextInt(6); i++) {
          simulation.workers.get(randomMachine()).restart(50 + simulation.random.nextLong(900));
        }
      }
      case 15 -> refuseAtStore(node, forMs);
      case 16 -> {
        simulation.store.lateShare = 0.05 + 0.4 * simulation.random.nextDouble();
        simulation.after(forMs, () -> simulation.store.lateShare = 0);
      }
      case 17 -> {
        simulation.store.answerDelayMs = 200 + simulation.random.nextLong(3000);
        simulation.after(forMs, () -> simulation.store.answerDelayMs = 0);
      }
      case 18 -> {
        simulation.threadStallMs = 500 + simulation.random.nextLong(8000);
        simulation.after(forMs, () -> simulation.threadStallMs = 0);
      }
      case 14 -> {
        cutRandomly(node.name, "state", forMs);
        simulation.controllers.stream()
            .filter(controller -> controller != node)
            .forEach(controller -> cutRandomly(node.name, controller.name, forMs));
      }
      case 20 ->
          someMachines(machine -> machine.pause(Math.min(2 * simulation.setup.leaseMs(), forMs)));
      case 21 -> someMachines(machine -> machine.partitionOutbound(forMs));
      case 22 -> {
        simulation.log("cloud", "boots within two seconds, and answers late");
        simulation.cloud.bootMs = () -> 50 + simulation.random.nextLong(1950);
        simulation.cloud.answerDelayMs = 4000;
      }
      default -> {
        for (int i = 0; i < 1 + simulation.random.nextInt(5); i++) {
          simulation.cloud.die(randomMachine());
        }
      }
    }
  }

  /** What users do all at once, or what meets them just then. */
  private void injectUserFault(int kind) {
    UserModel users = simulation.users;
    long forMs = 5000 + simulation.random.nextLong(45_000);
    ControllerModel leader =
        simulation.leaders().stream().findFirst().orElse(simulation.controllers.get(0));
    switch (kind) {
      case 0 -> {
        users.closeQueryShare = 0.2 + 0.8 * simulation.random.nextDouble();
        users.cancelOnAcceptShare = 0.3;
        simulation.after(
            forMs,
            () -> {
              users.closeQueryShare = 0;
              users.cancelOnAcceptShare = 0;
            });
      }
      case 1 -> {
        simulation.store.unansweredShare = 0.05 + 0.4 * simulation.random.nextDouble();
        simulation.after(forMs, () -> simulation.store.unansweredShare = 0);
      }
      case 2 -> users.cancelNow(2 + simulation.random.nextInt(8));
      case 3 -> {
        users.cancelAtEndShare = 0.1 + 0.5 * simulation.random.nextDouble();
        simulation.after(forMs, () -> users.cancelAtEndShare = 0);
      }
      case 4 -> {
        jobs += STREAM_JOBS;
        users.stream(FIRST_STREAM_JOB, STREAM_JOBS, 3000);
      }
      case 5 -> {
        // Cancelled as the leader alone is refused, and a second later all are, for long.
        users.cancelNow(2 + simulation.random.nextInt(6));
        beforeHealing(simulation.random.nextLong(100), () -> refuseAtStore(leader, 3000));
        beforeHealing(1000, () -> storeOutage(InvariantChecker.CANCEL_MS + 2000));
      }
      default -> {
        for (int i = 0; i < 10; i++) {
          boolean crashes = simulation.random.nextBoolean();
          beforeHealing(
              i * forMs / 10 + simulation.random.nextLong(500),
              () ->
                  simulation
                      .leaders()
                      .forEach(crashes ? this::crashAndRestart : ControllerModel::resign));
        }
      }
    }
  }

  /** All troubles are over in time. */
  private void beforeHealing(long afterMs, Runnable body) {
    simulation.after(
        afterMs,
        () -> {
          if (simulation.now() < HEALED_S * 1000L) {
            body.run();
          }
        });
  }

  private void refuseAtStore(ControllerModel node, long forMs) {
    if (!simulation.store.refuses(node.name)) {
      simulation.store.refuse(node.name, true);
      simulation.after(forMs, () -> simulation.store.refuse(node.name, false));
    }
  }

  private void storeOutage(long forMs) {
    if (!simulation.store.isUnavailable()) {
      simulation.log("state", "is down");
      simulation.store.unavailable(true);
      simulation.after(forMs, () -> simulation.store.unavailable(false));
    }
  }

  /** Back after something between a twentieth of a second and ten, often at once. */
  private void crashAndRestart(ControllerModel controller) {
    if (!controller.crashed()) {
      controller.crash();
      boolean atOnce = simulation.random.nextBoolean();
      simulation.after(50 + simulation.random.nextLong(atOnce ? 450 : 9950), controller::start);
    }
  }

  /** To a few machines, or to those of a zone. */
  private void someMachines(Consumer<WorkerModel> trouble) {
    int zones = simulation.setup.zones().size();
    boolean whole = simulation.random.nextInt(4) == 0;
    int first = simulation.random.nextInt(simulation.setup.machines());
    int machines = 1 + simulation.random.nextInt(8);
    for (int i = 0; i < (whole ? simulation.setup.machines() : machines); i++) {
      if (!whole || i % zones == first % zones) {
        trouble.accept(simulation.workers.get(whole ? "vm-" + i : randomMachine()));
      }
    }
  }

  private String randomMachine() {
    return "vm-" + simulation.random.nextInt(simulation.setup.machines());
  }

  private String randomZone() {
    List<String> zones = simulation.setup.zones();
    return "zone " + zones.get(simulation.random.nextInt(zones.size()));
  }

  /** In both directions, or in one. */
  private void cutRandomly(String a, String b, long forMs) {
    int way = simulation.random.nextInt(4);
    if (way != 0) {
      simulation.cut(a, b);
    }
    if (way != 1) {
      simulation.cut(b, a);
    }
    simulation.after(forMs, () -> simulation.healBoth(a, b));
  }

  /** Whether a rule broke, a healthy machine was given away, or something does not serve. */
  boolean failed() {
    return !simulation.checker.violations.isEmpty()
        || !simulation.checker.healthyReleased.isEmpty()
        || !unserved().isEmpty();
  }

  /** What does not serve though all is healed; empty if everything does. */
  String unserved() {
    int leaders = simulation.leaders().size();
    int running = simulation.workers.values().stream().mapToInt(WorkerModel::runningTasks).sum();
    String out = leaders == 1 ? "" : leaders + " lead; ";
    out += running >= replicas ? "" : running + " replicas run; ";
    int ended = simulation.checker.jobsEnded();
    int late = jobs - ended - jobsAtTeamLimit();
    return out
        + (late == 0 ? "" : ended + " of " + jobs + " arrays are done; " + describeUnfinished());
  }

  /** For the message: what of each is where. */
  private String describeUnfinished() {
    StringBuilder out = new StringBuilder();
    for (String job : simulation.users.accepted()) {
      JobSpec spec = simulation.users.spec(job);
      if (spec.kind() != JobKind.SERVICE && !simulation.checker.isEnded(job)) {
        out.append(spec)
            .append(" waiting ")
            .append(simulation.checker.waiting(spec))
            .append(", on machines ");
        out.append(simulation.checker.tasksOnMachines(job)).append("; ");
      }
    }
    return out.toString();
  }

  /** Jobs of teams with limits that are at work, or wait since their team is at its limit. */
  private int jobsAtTeamLimit() {
    int n = 0;
    boolean limits = withTeams || simulation.teamCpuLimit > 0;
    for (String job : limits ? simulation.users.accepted() : List.<String>of()) {
      JobSpec spec = simulation.users.spec(job);
      if (spec.kind() == JobKind.SERVICE || simulation.checker.isEnded(job)) {
        continue;
      }
      double[] use = simulation.checker.usage(spec.team());
      boolean waits = !simulation.checker.waiting(spec).isEmpty();
      int atOnce = spec.kind() == JobKind.GANG ? spec.tasks() : 1;
      boolean full =
          !simulation
              .teams()
              .get(spec.team())
              .allows(use[0] + atOnce * spec.cpus(), use[1] + atOnce * spec.gpus());
      boolean atWork = simulation.now() - simulation.checker.lastStart(job) < MAX_WORK_MS;
      n += (waits ? full : atWork) ? 1 : 0;
    }
    return n;
  }
}
