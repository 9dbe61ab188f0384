package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.astershift.SeedArguments;

/**
 * Fuzzes the scheduler, one seed at a time, to find a violation of the protocol's rules. The fuzzer
 * simulates all links and clocks, the store, the cloud and the workers, which follow the protocol,
 * and injects every fault that the protocol allows. A controller is a {@link Scheduler} with a
 * minimal execution of its decisions. The model and the checker are deliberately independent of
 * those of the simulation tests.
 *
 * <p>One case is excluded, which docs/design.md describes ("A start under an earlier token"): a
 * start in flight to one incarnation of a machine does not reach the next incarnation after a
 * failover.
 */
final class SchedulerFuzzer {
  /** The rules of the protocol, with the violations found. */
  final ReferenceRules rules;

  /** Number of occurrences of each kind of fault and of other notable events. */
  final Map<String, Integer> eventCounts;

  /** Jobs that had not ended long after the last fault. */
  final Set<String> unfinished = new HashSet<>();

  private final long seed;
  private final FuzzSimulation sim;

  SchedulerFuzzer(long seed, boolean story) {
    this.seed = seed;
    this.sim = new FuzzSimulation(seed, story);
    this.rules = sim.rules;
    this.eventCounts = sim.eventCounts;
  }

  List<String> log() {
    return sim.log;
  }

  /** Returns the digest of all events of the seed; to be called after {@link #play}. */
  String digest() {
    sim.digest.endOfRun(
        sim.nowMs, sim.lastEventNumber, rules.violations.isEmpty() && unfinished.isEmpty());
    return sim.digest.hex();
  }

  /**
   * Plays the seed. Violations are recorded in {@link #rules}, and jobs that never ended in {@link
   * #unfinished}.
   */
  SchedulerFuzzer play() {
    int machines = 3 + sim.random.nextInt(5);
    for (int i = 0; i < machines; i++) {
      String type = i % 2 == 0 || sim.random.nextBoolean() ? "p" : "g";
      sim.cloud.create(type, sim.random.nextBoolean() ? "a" : "b", i % 3 == 2, 0);
    }
    beginTerm();
    sim.users.submitRepeatedly();
    new FuzzFaults(sim).injectFaults();
    checkRepeatedly();
    sim.playEvents();
    if (sim.rules.violations.isEmpty()) {
      for (String id : sim.specs.keySet()) {
        if (!sim.rules.ended(id) && sim.specs.get(id).kind() != JobKind.SERVICE) {
          unfinished.add(id + " " + leaderView(id));
        }
      }
    }
    return this;
  }

  /** Describes the leader's view of a job that never ended, for the failure message. */
  private String leaderView(String id) {
    Job job = sim.store.leaseHolder.scheduler.job(id);
    if (job == null) {
      return "unknown to the leader";
    }
    StringBuilder description =
        new StringBuilder("waiting=" + job.waitingTasks + " spec=" + job.spec + " done=");
    description.append(job.doneTasks).append(" opened=").append(job.opened);
    for (TaskAttempt attempt : job.attempts.values()) {
      Machine machine = attempt.machine;
      description
          .append("; ")
          .append(attempt.key)
          .append(" on ")
          .append(machine.name)
          .append(' ')
          .append(machine.state);
      description
          .append(" minIncarnationToken=")
          .append(machine.token.minOfIncarnation)
          .append(" fenced=")
          .append(machine.fenced);
      description
          .append(" phase=")
          .append(attempt.phase)
          .append(" startSent=")
          .append(attempt.startSent);
      description
          .append(" startInHeartbeatResponse=")
          .append(attempt.startInHeartbeatResponse)
          .append(" stopping=")
          .append(attempt.stopping);
    }
    for (Machine machine : sim.store.leaseHolder.scheduler.cluster().allMachines()) {
      description
          .append("; ")
          .append(machine.name)
          .append(' ')
          .append(machine.typeName)
          .append(machine.zone)
          .append(machine.state);
      description
          .append(" minIncarnationToken=")
          .append(machine.token.minOfIncarnation)
          .append(" registered=")
          .append(machine.registered);
      description
          .append(" usable=")
          .append(machine.isUsable(sim.store.leaseHolder.clock()))
          .append(" inboundPartitioned=")
          .append(machine.isInboundPartitioned());
      description
          .append(" quarantined=")
          .append(machine.quarantined)
          .append(" unverified=")
          .append(machine.unverified);
      description
          .append(" preemptionNoticeS=")
          .append(machine.preemptionNoticeS)
          .append(" attempts=")
          .append(machine.attempts.keySet());
    }
    return description.toString();
  }

  private void beginTerm() {
    FuzzController controller = new FuzzController(sim, ++sim.store.revision);
    sim.store.leaseHolder = controller;
    sim.store.leaseEndsMs = sim.nowMs + FuzzSimulation.LEADER_LEASE_MS;
    sim.controllers.add(controller);
    sim.count("leaders");
    sim.digest.termStarted(sim.nowMs, Long.toString(controller.token), controller.token);
    controller.handle(controller::load);
    for (Heartbeat heartbeat : sim.heartbeatsForNextLeader) {
      sim.after(
          sim.random.nextInt(300),
          () ->
              controller.handle(
                  () ->
                      controller.scheduler.onHeartbeat(
                          heartbeat, controller.clock(), controller.clock())));
    }
    sim.heartbeatsForNextLeader.clear();
    // Job records that another thread of the controller read before the term began.
    for (String id : new ArrayList<>(sim.store.liveJobRevisions.keySet())) {
      sim.users.deliverRecord(controller, id, sim.store.submittedMs.get(id));
    }
  }

  private void checkRepeatedly() {
    for (FuzzWorker worker : sim.workers.values()) {
      worker.endTasksIfLeaseExpired();
    }
    sim.rules.checkCancelled(sim.nowMs);
    failoverIfLeaseExpired();
    if (sim.nowMs > sim.faultsEndMs && allJobsEnded()) {
      sim.clearEvents();
      return;
    }
    sim.after(100, this::checkRepeatedly);
  }

  private boolean allJobsEnded() {
    for (String id : sim.specs.keySet()) {
      if (!sim.rules.ended(id)) {
        return false;
      }
    }
    return true;
  }

  /** Begins the term of the next leader if the lease has expired without a renewal. */
  private void failoverIfLeaseExpired() {
    if (sim.storeDown) {
      sim.store.leaseEndsMs =
          Math.max(sim.store.leaseEndsMs, sim.nowMs + FuzzSimulation.LEADER_LEASE_MS);
      return;
    }
    if (sim.nowMs > sim.store.leaseEndsMs) {
      beginTerm();
    }
  }

  /**
   * Plays the seeds FIRST to LAST and prints those that failed; with {@code story} as third
   * argument, also prints their event logs.
   */
  public static void main(String[] args) {
    SeedArguments arguments = SeedArguments.parseOrExit(args, Set.of("story"));
    boolean story = !arguments.options().isEmpty();
    Map<String, Integer> totals = new TreeMap<>();
    int[] failedSeeds = {0};
    LongStream.rangeClosed(arguments.first(), arguments.last())
        .parallel()
        .forEach(
            seed -> {
              SchedulerFuzzer fuzzer = new SchedulerFuzzer(seed, story);
              try {
                fuzzer.play();
              } catch (RuntimeException e) {
                fuzzer.rules.violations.add(
                    e.toString() + " " + List.of(e.getStackTrace()).subList(0, 4));
              }
              synchronized (totals) {
                fuzzer.eventCounts.forEach(
                    (event, count) -> totals.merge(event, count, Integer::sum));
                totals.merge("starts", fuzzer.rules.starts, Integer::sum);
                totals.merge("completions", fuzzer.rules.completions, Integer::sum);
                if (!fuzzer.rules.violations.isEmpty() || !fuzzer.unfinished.isEmpty()) {
                  failedSeeds[0]++;
                  System.out.println(fuzzer);
                  fuzzer.log().forEach(System.out::println);
                }
              }
            });
    System.out.println(totals + " failed: " + failedSeeds[0]);
    System.exit(failedSeeds[0] == 0 ? 0 : 1);
  }

  @Override
  public String toString() {
    return "seed "
        + seed
        + ": "
        + rules.violations
        + (unfinished.isEmpty() ? "" : " " + unfinished);
  }
}
