package org.astershift.simulation;

import java.util.List;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;

/**
 * A simulation with faults drawn from its seed: first which kinds occur, then when and where. All
 * is healed at {@link #HEALED_S}, and then everything has to be served again.
 */
final class RandomizedScenario {
  private static final int FAULTS_FROM_S = 20;
  private static final int HEALED_S = 100;
  private static final int END_S = 195;

  /** From the middle of the faults on; earlier would only cost time. */
  private static final int POLLED_FROM_S = 60;

  private static final long FAULTS_MS = (HEALED_S - FAULTS_FROM_S) * 1000L;

  /** The longest that tasks run and save, and their end is written. */
  private static final long MAX_WORK_MS = 40_000;

  private static final long PREEMPTION_NOTICE_MS = 20_000;
  private static final double MESSAGE_WAITING_SHARE = 0.4;

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

  /**
   * Plays a seed to its end; what went wrong is in the checker and in {@link #describeUnserved}.
   */
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
        // Invariants break where two faults meet: another one follows soon, at the leader.
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

  /** All that is announced has happened when the faults are healed. */
  private void schedulePreemptions() {
    long lastMs = FAULTS_MS - 3 * PREEMPTION_NOTICE_MS / 2 - 2000;
    for (int i = 0; randomSetup.withSpot && i < 1 + simulation.random.nextInt(4); i++) {
      simulation.after(simulation.random.nextLong(lastMs), this::preemptSpotMachines);
    }
  }

  /** Messages wait at the leader, and all controllers fall once and are back within seconds. */
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

  /** The cloud preempts some or all spot machines of a zone, with a notice or without. */
  private void preemptSpotMachines() {
    List<String> zones = simulation.setup.zones();
    String zone = zones.get(simulation.random.nextInt(zones.size()));
    boolean all = simulation.random.nextBoolean();
    for (WorkerModel machine : List.copyOf(simulation.workers.values())) {
      boolean affected =
          machine.isAlive() && machine.kind.spot() && (all || machine.zone.equals(zone));
      if (affected && simulation.random.nextInt(3) > 0) {
        boolean announced = simulation.random.nextInt(4) > 0;
        long inMs = simulation.random.nextLong(2000);
        double times = 0.5 + simulation.random.nextDouble();
        simulation.after(inMs, () -> preempt(machine.name, announced, times));
      }
    }
  }

  private void preempt(String machine, boolean announced, double times) {
    if (announced) {
      simulation.cloud.announcePreemption(machine, PREEMPTION_NOTICE_MS, times);
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

  /** Whether an invariant was violated, a healthy machine released, or something is not served. */
  boolean hasFailed() {
    return !simulation.checker.violations.isEmpty()
        || !simulation.checker.healthyReleased.isEmpty()
        || !describeUnserved().isEmpty();
  }

  /** What is not served though all is healed; empty if everything is. */
  String describeUnserved() {
    int leaders = simulation.leaders().size();
    int running = simulation.workers.values().stream().mapToInt(WorkerModel::runningTasks).sum();
    String out = leaders == 1 ? "" : leaders + " lead; ";
    out += running >= workload.serviceReplicas() ? "" : running + " replicas run; ";
    int ended = simulation.checker.jobsEnded();
    int jobs = RandomizedWorkload.JOBS + userFaults.streamedJobs();
    int late = jobs - ended - jobsAtTeamLimit();
    return out
        + (late == 0 ? "" : ended + " of " + jobs + " arrays are done; " + describeUnfinished());
  }

  /** Where the tasks of each unfinished job are. */
  private String describeUnfinished() {
    StringBuilder out = new StringBuilder();
    for (String job : simulation.users.accepted()) {
      JobSpec spec = simulation.users.spec(job);
      if (spec.kind() != JobKind.SERVICE && !simulation.checker.isEnded(job)) {
        out.append(spec)
            .append(" waiting ")
            .append(simulation.checker.waitingTasks(spec))
            .append(", on machines ")
            .append(simulation.checker.tasksOnMachines(job))
            .append("; ");
      }
    }
    return out.toString();
  }

  /** Jobs of teams with limits that are at work, or wait since their team is at its limit. */
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
    int atOnce = spec.kind() == JobKind.GANG ? spec.tasks() : 1;
    return !simulation
        .teams()
        .get(spec.team())
        .allows(usage[0] + atOnce * spec.cpus(), usage[1] + atOnce * spec.gpus());
  }
}
