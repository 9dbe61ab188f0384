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
  final Map<String, Integer> happened;

  /** Jobs that had not ended long after the last fault. */
  final Set<String> unfinished = new HashSet<>();

  private final long seed;
  private final FuzzSimulation sim;

  SchedulerFuzzer(long seed, boolean story) {
    this.seed = seed;
    this.sim = new FuzzSimulation(seed, story);
    this.rules = sim.rules;
    this.happened = sim.happened;
  }

  List<String> log() {
    return sim.log;
  }

  /** Of all that happened, once it is played. */
  String digest() {
    sim.digest.endOfPlay(sim.now, sim.order, rules.broken.isEmpty() && unfinished.isEmpty());
    return sim.digest.hex();
  }

  /** Plays the seed; what broke is in the rules, what never ended in {@link #unfinished}. */
  SchedulerFuzzer play() {
    int machines = 3 + sim.random.nextInt(5);
    for (int i = 0; i < machines; i++) {
      String type = i % 2 == 0 || sim.random.nextBoolean() ? "p" : "g";
      sim.cloud.create(type, sim.random.nextBoolean() ? "a" : "b", i % 3 == 2, 0);
    }
    begin();
    sim.users.submitting();
    new FuzzTroubles(sim).troubles();
    watching();
    sim.playEvents();
    if (sim.rules.broken.isEmpty()) {
      for (String id : sim.specs.keySet()) {
        if (!sim.rules.over(id) && sim.specs.get(id).kind() != JobKind.SERVICE) {
          unfinished.add(id + " " + held(id));
        }
      }
    }
    return this;
  }

  /** The leader's view of the job's tasks, for the message of a job that never ended. */
  private String held(String id) {
    Job job = sim.store.holder.scheduler.job(id);
    if (job == null) {
      return "not known";
    }
    StringBuilder sb =
        new StringBuilder("waiting " + job.waitingTasks + " of " + job.spec + ", done ");
    sb.append(job.doneTasks).append(", opened ").append(job.opened);
    for (TaskAttempt run : job.attempts.values()) {
      Machine m = run.machine;
      sb.append("; ").append(run.key).append(" on ").append(m.name).append(' ').append(m.state);
      sb.append(" restarted=").append(m.restartedInTerm).append(" fenced=").append(m.fenced);
      sb.append(" phase=").append(run.phase).append(" startSent=").append(run.startSent);
      sb.append(" startUnconfirmed=")
          .append(run.startUnconfirmed)
          .append(" stopping=")
          .append(run.stopping);
    }
    for (Machine m : sim.store.holder.scheduler.cluster().allMachines()) {
      sb.append("; ").append(m.name).append(' ').append(m.typeName).append(m.zone).append(m.state);
      sb.append(" restarted=")
          .append(m.restartedInTerm)
          .append(" registered=")
          .append(m.registered);
      sb.append(" usable=")
          .append(m.usable(sim.store.holder.clock()))
          .append(" inboundPartitioned=")
          .append(m.inboundPartitioned());
      sb.append(" quarantined=").append(m.quarantined).append(" unverified=").append(m.unverified);
      sb.append(" preemptionNoticeS=")
          .append(m.preemptionNoticeS)
          .append(" holds ")
          .append(m.attempts.keySet());
    }
    return sb.toString();
  }

  private void begin() {
    FuzzController ctl = new FuzzController(sim, ++sim.store.revision);
    sim.store.holder = ctl;
    sim.store.keyEndsMs = sim.now + FuzzSimulation.KEY_MS;
    sim.controllers.add(ctl);
    sim.did("leaders");
    sim.digest.term(sim.now, Long.toString(ctl.token), ctl.token);
    ctl.handle(ctl::load);
    for (Heartbeat r : sim.kept) {
      sim.after(
          sim.random.nextInt(300),
          () -> ctl.handle(() -> ctl.scheduler.onHeartbeat(r, ctl.clock())));
    }
    sim.kept.clear();
    // Records that another thread of it had read before.
    for (String id : new ArrayList<>(sim.store.live.keySet())) {
      sim.users.learn(ctl, id, sim.store.submitted.get(id));
    }
  }

  private void watching() {
    for (FuzzWorker w : sim.workers.values()) {
      w.expire();
    }
    sim.rules.look(sim.now);
    succession();
    if (sim.now > sim.troublesMs && jobsOver()) {
      sim.clearEvents();
      return;
    }
    sim.after(100, this::watching);
  }

  private boolean jobsOver() {
    for (String id : sim.specs.keySet()) {
      if (!sim.rules.over(id)) {
        return false;
      }
    }
    return true;
  }

  /** A lease that nobody renews expires, and the next leader begins its term. */
  private void succession() {
    if (sim.outage) {
      sim.store.keyEndsMs = Math.max(sim.store.keyEndsMs, sim.now + FuzzSimulation.KEY_MS);
      return;
    }
    if (sim.now > sim.store.keyEndsMs) {
      begin();
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
              SchedulerFuzzer a = new SchedulerFuzzer(seed, story);
              try {
                a.play();
              } catch (RuntimeException e) {
                a.rules.broken.add(e.toString() + " " + List.of(e.getStackTrace()).subList(0, 4));
              }
              synchronized (all) {
                a.happened.forEach((what, n) -> all.merge(what, n, Integer::sum));
                all.merge("starts", a.rules.starts, Integer::sum);
                all.merge("completions", a.rules.completions, Integer::sum);
                if (!a.rules.broken.isEmpty() || !a.unfinished.isEmpty()) {
                  failed[0]++;
                  System.out.println(a);
                  a.log().forEach(System.out::println);
                }
              }
            });
    System.out.println(all + " failed: " + failed[0]);
    System.exit(failed[0] == 0 ? 0 : 1);
  }

  @Override
  public String toString() {
    return "seed " + seed + ": " + rules.broken + (unfinished.isEmpty() ? "" : " " + unfinished);
  }
}
