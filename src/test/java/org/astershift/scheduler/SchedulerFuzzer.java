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
 * Tries to make the scheduler break a rule, one seed at a time: it simulates all links and clocks,
 * the store, the cloud and the workers, which keep to the protocol, and injects every fault that
 * the protocol allows. A controller is a {@link Scheduler} with the few lines that carry its
 * decisions out. Model and checker are independent of those of the simulation tests on purpose.
 *
 * <p>One case is left out; docs/design.md describes it ("A start that no fence stops"): a start on
 * its way to one incarnation of a machine does not reach the next one after a failover.
 */
final class SchedulerFuzzer {
  /** The rules of the protocol, and what broke. */
  final ReferenceRules rules;

  /** Faults and other events of note, with how often each occurred. */
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

  /** Of all that happened, once it is played. */
  String digest() {
    sim.digest.endOfPlay(
        sim.nowMs, sim.lastEventNumber, rules.violations.isEmpty() && unfinished.isEmpty());
    return sim.digest.hex();
  }

  /** Plays the seed; what broke is in the rules, what never ended in {@link #unfinished}. */
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

  /** The leader's view of the job's tasks, for the message of a job that never ended. */
  private String leaderView(String id) {
    Job job = sim.store.leaseHolder.scheduler.job(id);
    if (job == null) {
      return "not known";
    }
    StringBuilder text =
        new StringBuilder("waiting " + job.waitingTasks + " of " + job.spec + ", done ");
    text.append(job.doneTasks).append(", opened ").append(job.opened);
    for (TaskAttempt attempt : job.attempts.values()) {
      Machine machine = attempt.machine;
      text.append("; ")
          .append(attempt.key)
          .append(" on ")
          .append(machine.name)
          .append(' ')
          .append(machine.state);
      text.append(" restarted=")
          .append(machine.restartedInTerm)
          .append(" fenced=")
          .append(machine.fenced);
      text.append(" phase=").append(attempt.phase).append(" startSent=").append(attempt.startSent);
      text.append(" startUnconfirmed=")
          .append(attempt.startUnconfirmed)
          .append(" stopping=")
          .append(attempt.stopping);
    }
    for (Machine machine : sim.store.leaseHolder.scheduler.cluster().allMachines()) {
      text.append("; ")
          .append(machine.name)
          .append(' ')
          .append(machine.typeName)
          .append(machine.zone)
          .append(machine.state);
      text.append(" restarted=")
          .append(machine.restartedInTerm)
          .append(" registered=")
          .append(machine.registered);
      text.append(" usable=")
          .append(machine.isUsable(sim.store.leaseHolder.clock()))
          .append(" inboundPartitioned=")
          .append(machine.isInboundPartitioned());
      text.append(" quarantined=")
          .append(machine.quarantined)
          .append(" unverified=")
          .append(machine.unverified);
      text.append(" preemptionNoticeS=")
          .append(machine.preemptionNoticeS)
          .append(" holds ")
          .append(machine.attempts.keySet());
    }
    return text.toString();
  }

  private void beginTerm() {
    FuzzController controller = new FuzzController(sim, ++sim.store.revision);
    sim.store.leaseHolder = controller;
    sim.store.leaseEndsMs = sim.nowMs + FuzzSimulation.LEADER_LEASE_MS;
    sim.controllers.add(controller);
    sim.count("leaders");
    sim.digest.term(sim.nowMs, Long.toString(controller.token), controller.token);
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
    // Records that another thread of it had read before.
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

  /** A lease that nobody renews expires, and the next leader begins its term. */
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

  /** Plays seeds FIRST to LAST, and prints what failed; with a third word, the story of each. */
  public static void main(String[] args) {
    SeedArguments arguments = SeedArguments.parseOrExit(args, Set.of("story"));
    boolean story = !arguments.options().isEmpty();
    Map<String, Integer> all = new TreeMap<>();
    int[] failed = {0};
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
              synchronized (all) {
                fuzzer.eventCounts.forEach((what, n) -> all.merge(what, n, Integer::sum));
                all.merge("starts", fuzzer.rules.starts, Integer::sum);
                all.merge("completions", fuzzer.rules.completions, Integer::sum);
                if (!fuzzer.rules.violations.isEmpty() || !fuzzer.unfinished.isEmpty()) {
                  failed[0]++;
                  System.out.println(fuzzer);
                  fuzzer.log().forEach(System.out::println);
                }
              }
            });
    System.out.println(all + " failed: " + failed[0]);
    System.exit(failed[0] == 0 ? 0 : 1);
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
