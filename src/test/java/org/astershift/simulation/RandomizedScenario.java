package org.astershift.simulation;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;

/**
 * Simulates faults drawn from a seed: first which kinds occur, then when and where. All faults are
 * healed at {@link #HEALED_S}, and from then on everything has to be served again.
 */
final class RandomizedScenario {
  private static final int FAULTS_FROM_S = 20;
  private static final int HEALED_S = 100;
  private static final int END_S = 195;

  /** Time of the first polls, in seconds: halfway through the faults, to save simulation time. */
  private static final int POLLED_FROM_S = 60;

  private static final long FAULTS_MS = (HEALED_S - FAULTS_FROM_S) * 1000L;

  /** Longest time in which tasks run and save and their job's end is written, in milliseconds. */
  private static final long MAX_WORK_MS = 40_000;

  private static final long PREEMPTION_NOTICE_MS = 20_000;
  private static final double MESSAGE_WAITING_SHARE = 0.4;

  private static final double COPY_SHARE = 0.3;

  /** One of this many seeds has copies of direct commands. */
  private static final int SEEDS_PER_COPYING_SEED = 4;

  final Simulation simulation;
  private final RandomSetup randomSetup;
  private final RandomizedWorkload workload;
  private final FaultInjector faults;
  private final UserFaultInjector userFaults;

  private RandomizedScenario(long seed) {
    randomSetup = new RandomSetup(seed);
    simulation = new Simulation(seed, randomSetup.setup);
    workload = new RandomizedWorkload(simulation, randomSetup);
    faults = new FaultInjector(simulation, randomSetup.faultKinds);
    userFaults = new UserFaultInjector(simulation, faults, HEALED_S * 1000L);
  }

  /** Plays a seed to its end; the checker and {@link #describeUnserved} tell what went wrong. */
  static RandomizedScenario play(long seed, Mutation... mutations) {
    RandomizedScenario scenario = new RandomizedScenario(seed);
    scenario.simulation.mutations.addAll(List.of(mutations));
    scenario.simulation.runTo(4);
    scenario.workload.submit();
    scenario.playFaults();
    scenario.heal();
    scenario.simulation.runTo(END_S);
    scenario.simulation.checker.checkAllAnswered(HEALED_S * 1000L);
    return scenario;
  }

  private void playFaults() {
    simulation.commandCopies.share = simulation.seed % SEEDS_PER_COPYING_SEED == 0 ? COPY_SHARE : 0;
    simulation.delayedHeartbeats.keepShare = randomSetup.duplicateKeepShare;
    simulation.runTo(FAULTS_FROM_S);
    simulation.delayedHeartbeats.holdShare = randomSetup.heartbeatHoldShare;
    scheduleFaults();
    scheduleUserFaults();
    schedulePreemptions();
    scheduleFaultyMachines();
    if (randomSetup.withMessageQueueing) {
      delayMessagesAndCrashAll();
    }
    simulation.after(POLLED_FROM_S * 1000L - simulation.now(), simulation::pollAllJobs);
    simulation.runTo(HEALED_S);
  }

  private void scheduleFaults() {
    int count = 1 + simulation.random.nextInt(12);
    for (int i = 0; i < count; i++) {
      long atMs = simulation.random.nextLong(FAULTS_MS);
      simulation.after(atMs, faults::injectAnywhere);
      if (simulation.random.nextBoolean()) {
        // Invariants are violated where two faults overlap, so a second fault often follows soon,
        // at the leader.
        long soonMs = Math.min(atMs + simulation.random.nextLong(4000), FAULTS_MS);
        simulation.after(soonMs, faults::injectAtLeader);
      }
    }
  }

  private void scheduleUserFaults() {
    for (int i = 0; i < UserFaultInjector.KINDS; i++) {
      if ((randomSetup.userFaultKinds & 1 << i) != 0) {
        int kind = i;
        simulation.after(simulation.random.nextLong(FAULTS_MS), () -> userFaults.inject(kind));
      }
    }
  }

  /** Schedules preemptions so that all announced ones have happened when the faults are healed. */
  private void schedulePreemptions() {
    long lastMs = FAULTS_MS - 3 * PREEMPTION_NOTICE_MS / 2 - 2000;
    for (int i = 0; randomSetup.withSpot && i < 1 + simulation.random.nextInt(4); i++) {
      simulation.after(simulation.random.nextLong(lastMs), this::preemptSpotMachines);
    }
  }

  /** Delays messages at the leader, and crashes all controllers once, for seconds. */
  private void delayMessagesAndCrashAll() {
    simulation.messageQueueing.heartbeatsOnChange = true;
    simulation.messageQueueing.maxWaitMs = randomSetup.maxMessageWaitMs;
    simulation.messageQueueing.queuedShare = MESSAGE_WAITING_SHARE;
    simulation.after(
        Math.round(randomSetup.crashAtShare * FAULTS_MS),
        () -> simulation.controllers.forEach(faults::crashAndRestart));
  }

  private void scheduleFaultyMachines() {
    for (int i = 0; randomSetup.withFaultyMachines && i < 1 + simulation.random.nextInt(3); i++) {
      simulation.after(simulation.random.nextLong(FAULTS_MS), this::makeMachineFaulty);
    }
  }

  /** Preempts some or all spot machines of a zone or of all zones, with a notice or without. */
  private void preemptSpotMachines() {
    List<String> zones = simulation.setup.zones();
    String zone = zones.get(simulation.random.nextInt(zones.size()));
    boolean allZones = simulation.random.nextBoolean();
    for (WorkerModel machine : List.copyOf(simulation.workers.values())) {
      boolean affected =
          machine.isAlive() && machine.kind.spot() && (allZones || machine.zone.equals(zone));
      if (affected && simulation.random.nextInt(3) > 0) {
        boolean announced = simulation.random.nextInt(4) > 0;
        long delayMs = simulation.random.nextLong(2000);
        double noticeFactor = 0.5 + simulation.random.nextDouble();
        simulation.after(delayMs, () -> preempt(machine.name, announced, noticeFactor));
      }
    }
  }

  private void preempt(String machine, boolean announced, double noticeFactor) {
    if (announced) {
      simulation.cloud.announcePreemption(machine, PREEMPTION_NOTICE_MS, noticeFactor);
    } else {
      simulation.cloud.preempt(machine);
    }
  }

  private void makeMachineFaulty() {
    WorkerModel machine = simulation.workers.get(faults.randomMachine());
    simulation.log(machine.name, "is faulty");
    machine.faulty = true;
  }

  private void heal() {
    simulation.workers.values().forEach(machine -> machine.faulty = false);
    simulation.healAll();
    simulation.commandCopies.share = 0;
    simulation.store.lateShare = 0;
    simulation.store.unansweredShare = 0;
    simulation.store.answerDelayMs = 0;
    simulation.threadStallMs = 0;
    simulation.messageQueueing.queuedShare = 0;
    simulation.delayedHeartbeats.releaseHeld();
    simulation.controllers.forEach(ControllerModel::acceptHeartbeats);
    simulation.workers.values().forEach(WorkerModel::healOutbound);
    simulation.controllers.stream()
        .filter(controller -> simulation.store.refuses(controller.name))
        .forEach(controller -> simulation.store.setRefused(controller.name, false));
    if (simulation.store.isUnavailable()) {
      simulation.store.setUnavailable(false);
    }
    simulation.starvationCheck.onFaultsHealed();
  }

  /** Returns whether an invariant was violated, a healthy machine released, or work not served. */
  boolean hasFailed() {
    return !simulation.checker.violations.isEmpty()
        || !simulation.checker.healthyReleased.isEmpty()
        || !describeUnserved().isEmpty();
  }

  /** Describes what is not served although all faults are healed; empty if everything is served. */
  String describeUnserved() {
    int leaders = simulation.leaders().size();
    int running = simulation.workers.values().stream().mapToInt(WorkerModel::runningTasks).sum();
    String description = leaders == 1 ? "" : leaders + " leaders; ";
    description += running >= workload.serviceReplicas() ? "" : running + " replicas running; ";
    int ended = simulation.checker.jobsEnded();
    int jobs = RandomizedWorkload.JOBS + userFaults.streamedJobs();
    int unserved = jobs - ended - jobsAtTeamLimit();
    return description
        + (unserved == 0
            ? ""
            : ended + " of " + jobs + " jobs have ended; " + describeUnfinished());
  }

  /** Describes where the tasks of each unfinished job are. */
  private String describeUnfinished() {
    StringBuilder description = new StringBuilder();
    for (String job : simulation.users.accepted()) {
      JobSpec spec = simulation.users.spec(job);
      if (spec.kind() != JobKind.SERVICE && !simulation.checker.isEnded(job)) {
        description
            .append(spec)
            .append(" waiting: ")
            .append(simulation.checker.waitingTasks(spec))
            .append(", on machines: ")
            .append(simulation.checker.tasksOnMachines(job))
            .append("; ");
      }
    }
    return description.toString();
  }

  /**
   * Counts unfinished jobs of teams with limits that run, or wait because of their team's limit.
   */
  private int jobsAtTeamLimit() {
    if (!randomSetup.withTeams && simulation.teamCpuLimit <= 0) {
      return 0;
    }
    int count = 0;
    for (String job : simulation.users.accepted()) {
      JobSpec spec = simulation.users.spec(job);
      if (spec.kind() != JobKind.SERVICE && !simulation.checker.isEnded(job)) {
        count += mayBeUnfinished(spec) ? 1 : 0;
      }
    }
    return count;
  }

  private boolean mayBeUnfinished(JobSpec spec) {
    if (simulation.checker.waitingTasks(spec).isEmpty()) {
      return simulation.now() - simulation.checker.lastStartMs(spec.id()) < MAX_WORK_MS;
    }
    double[] usage = simulation.checker.usage(spec.team());
    int startingTasks = spec.kind() == JobKind.GANG ? spec.tasks() : 1;
    return !simulation
        .teams()
        .get(spec.team())
        .allows(usage[0] + startingTasks * spec.cpus(), usage[1] + startingTasks * spec.gpus());
  }
}
