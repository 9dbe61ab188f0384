package org.astershift.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.astershift.EventDigest;
import org.astershift.scheduler.ServiceLevelObjective;
import org.astershift.scheduler.Team;

/**
 * Controllers, state service, cloud and workers in one process, in virtual time, under one seed.
 * The controllers decide with the program's own code; the rest are models of the published
 * protocol. Links between hosts are a matrix of directions, each of which may be cut. Events at the
 * same millisecond come in an order drawn from the seed.
 */
final class Simulation {
  final long seed;
  final RandomGenerator random;
  final Setup setup;
  final StoreModel store;
  final CloudModel cloud;
  final InvariantChecker checker;
  final EventDigest digest = new EventDigest();
  final StarvationCheck leftWaiting;
  final UserModel users;
  final GangModel gangs = new GangModel(this);
  final DelayedHeartbeats lateReports = new DelayedHeartbeats(this);
  final Set<Mutation> mutants = EnumSet.noneOf(Mutation.class);
  final Map<String, WorkerModel> workers = new LinkedHashMap<>();
  final List<ControllerModel> nodes = new ArrayList<>();

  /** Processors that the tasks of the only team may take at once; 0: no limit. */
  double teamLimit;

  /** Teams with their guarantees and limits; none: the only one, with {@link #teamLimit}. */
  final Map<String, Team> teams = new LinkedHashMap<>();

  /** What the operators aim at. */
  final List<ServiceLevelObjective> objectives = new ArrayList<>();

  /** Share of the reports of which a copy comes later. */
  double copied;

  /**
   * Direct orders go over connections, as over TCP: each reaches the life of the machine that has
   * accepted its connection, or none, and is made up once there is one. Otherwise what is on its
   * way may reach any life, which is worse than a network without proxies does.
   */
  boolean connections;

  /** Threads that have read something for a user go on up to so long later. */
  long stuckMs;

  /** The thread that writes records handles the answer to a write so long after it came. */
  long slowRecordsMs;

  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private final Set<Link> cut = new HashSet<>();
  private final Map<Link, List<Runnable>> held = new HashMap<>();
  private final Map<Link, Long> slow = new HashMap<>();
  private final List<String> log = new ArrayList<>();
  private long nowMs;
  private long changedMs;
  private long events;

  /** What a world starts with; times in milliseconds. */
  record Setup(int nodes, int machines, List<String> zones, long reportMs, long leaseMs) {
    static Setup of(int nodes, int machines) {
      return new Setup(nodes, machines, List.of("a", "b", "c"), 2000, 14_000);
    }
  }

  private record Link(String from, String to) {}

  Map<String, Team> teams() {
    return teams.isEmpty() ? Map.of("team", new Team("team", 0, teamLimit, 0, 0)) : teams;
  }

  private record Event(long atMs, long order, Runnable body) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return atMs != o.atMs ? Long.compare(atMs, o.atMs) : Long.compare(order, o.order);
    }
  }

  Simulation(long seed, Setup setup) {
    this.seed = seed;
    this.setup = setup;
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    this.checker = new InvariantChecker(this);
    this.leftWaiting = new StarvationCheck(this);
    this.users = new UserModel(this);
    this.store = new StoreModel(this);
    this.cloud = new CloudModel(this);
    for (int i = 0; i < setup.nodes(); i++) {
      nodes.add(new ControllerModel(this, "n" + i));
    }
    for (int i = 0; i < setup.machines(); i++) {
      String zone = setup.zones().get(i % setup.zones().size());
      cloud.add("vm-" + i, zone, true);
    }
    nodes.forEach(ControllerModel::start);
  }

  // ---- time ----

  long now() {
    return nowMs;
  }

  void after(long delayMs, Runnable body) {
    // The order of what falls into one millisecond is drawn, so that seeds try each.
    queue.add(new Event(nowMs + Math.max(0, delayMs), random.nextLong(), body));
  }

  void runTo(double seconds) {
    runToMs(Math.round(seconds * 1000));
  }

  private void runToMs(long until) {
    while (!queue.isEmpty() && queue.peek().atMs() <= until) {
      Event e = queue.poll();
      nowMs = e.atMs();
      events++;
      e.body().run();
    }
    nowMs = until;
  }

  /** Runs until the condition holds, looked at every millisecond; false if it did not in time. */
  boolean runUntil(java.util.function.BooleanSupplier holds, double untilSeconds) {
    while (!holds.getAsBoolean() && nowMs < untilSeconds * 1000) {
      runToMs(nowMs + 1);
    }
    return holds.getAsBoolean();
  }

  long events() {
    return events;
  }

  // ---- links ----

  /** Hosts are "n0", "n1", ..., "state", "cloud", and machines by name. */
  private boolean up(String from, String to) {
    return !cut.contains(new Link(from, to))
        && !cut.contains(new Link(group(from), to))
        && !cut.contains(new Link(from, group(to)))
        && !cut.contains(new Link(zone(from), to))
        && !cut.contains(new Link(from, zone(to)))
        && !cut.contains(new Link(zone(from), "outside"))
        && !cut.contains(new Link("outside", zone(to)));
  }

  private static String group(String host) {
    return host.startsWith("vm-") ? "workers" : host;
  }

  private String zone(String host) {
    WorkerModel w = workers.get(host);
    return w == null ? host : "zone " + w.zone;
  }

  /** Cuts one direction. What is sent meanwhile is held, and delivered when the cut is over. */
  void cut(String from, String to) {
    note(from, "no longer reaches " + to);
    cut.add(new Link(from, to));
  }

  void cutBoth(String a, String b) {
    cut(a, b);
    cut(b, a);
  }

  void heal(String from, String to) {
    note(from, "reaches " + to + " again");
    cut.remove(new Link(from, to));
    changed();
    for (Link l : new ArrayList<>(held.keySet())) {
      if (up(l.from(), l.to())) {
        held.remove(l).forEach(r -> after(delay(), r));
      }
    }
  }

  void healBoth(String a, String b) {
    heal(a, b);
    heal(b, a);
  }

  /** Messages that wait for a cut to be over. */
  int held() {
    return held.values().stream().mapToInt(List::size).sum();
  }

  /** A path is back, or a controller that stood still. */
  void changed() {
    changedMs = nowMs;
  }

  long changedMs() {
    return changedMs;
  }

  /** Ends all cuts. */
  void healAll() {
    for (Link l : new ArrayList<>(cut)) {
      heal(l.from(), l.to());
    }
  }

  /** Controllers that lead, as far as they know. */
  List<ControllerModel> leaders() {
    return nodes.stream().filter(n -> n.up() && n.leads()).toList();
  }

  /** The one that leads; that there is exactly one is asserted. */
  ControllerModel onlyLeader() {
    List<ControllerModel> all = leaders();
    assertEquals(1, all.size(), story());
    return all.get(0);
  }

  boolean reaches(String a, String b) {
    return up(a, b) && up(b, a);
  }

  private long delay() {
    return 1 + random.nextLong(4);
  }

  /** From now on what is sent that way takes up to so much longer; 0: no more. */
  void slow(String from, String to, long ms) {
    note(from, "needs up to " + ms + " ms more to " + to);
    slow.put(new Link(from, to), ms);
  }

  /** What a message takes; one sent later may arrive before it, over another connection. */
  private long delay(String from, String to) {
    long most = slow.isEmpty() ? 0 : Math.max(more(from, to), more(group(from), group(to)));
    return delay() + (most == 0 ? 0 : random.nextLong(most));
  }

  private long more(String from, String to) {
    return slow.getOrDefault(new Link(from, to), 0L);
  }

  void send(String from, String to, Runnable delivered) {
    if (up(from, to)) {
      after(delay(from, to), delivered);
    } else {
      held.computeIfAbsent(new Link(from, to), l -> new ArrayList<>()).add(delivered);
    }
  }

  /** Serves a request at its receiver; the answer may be given later. */
  interface Service<A> {
    void serve(Consumer<A> answer);
  }

  /**
   * A request and its answer. {@code done} gets the answer, or null after the deadline; what was
   * sent may be executed later all the same.
   */
  <A> void call(String from, String to, long timeoutMs, Service<A> service, Consumer<A> done) {
    boolean[] over = new boolean[1];
    Consumer<A> once =
        a -> {
          if (!over[0]) {
            over[0] = true;
            done.accept(a);
          }
        };
    send(from, to, () -> service.serve(a -> send(to, from, () -> once.accept(a))));
    after(timeoutMs, () -> once.accept(null));
  }

  // ---- jobs ----

  /** A job is accepted; {@code ms}: how long its tasks run, null for a service. */
  void submit(org.astershift.scheduler.JobSpec spec, Long ms) {
    users.accept(spec, ms);
  }

  /** A user submits the job until it is accepted; {@code then}: what follows that. */
  void userSubmits(org.astershift.scheduler.JobSpec spec, Long ms, Runnable then) {
    users.submit(spec, ms, then);
  }

  /** Its user wants it cancelled, and asks at whatever node until that is answered. */
  void userCancels(String job) {
    users.cancel(job);
  }

  /** From now on users ask each node about each accepted job every five seconds. */
  void askAll() {
    users.askAll();
  }

  /** The token of whoever began to lead last; 0: nobody has. */
  long latestToken() {
    return checker.latestToken();
  }

  // ---- the log of all hosts, side by side ----

  void note(String host, String what) {
    log.add(String.format(Locale.ROOT, "%9.3f %-6s %s", nowMs / 1000.0, host, what));
  }

  /** The log of all hosts from the beginning. */
  String wholeStory() {
    return String.join("\n", log);
  }

  /** For the message of a failure: how to play it again, and the last of what happened. */
  String story() {
    List<String> last = log.subList(Math.max(0, log.size() - 60), log.size());
    return "seed " + seed + ", " + setup + "\n" + String.join("\n", last);
  }
}
