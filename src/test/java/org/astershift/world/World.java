package org.astershift.world;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Controllers, state service, cloud and workers in one process, in virtual time, under one seed.
 * The controllers decide with the program's own code; the rest are models of the published
 * protocol. Links between hosts are a matrix of directions, each of which may be cut. Events at the
 * same millisecond come in an order drawn from the seed.
 */
final class World {
  /** How long users wait for the answer to a submission or a cancellation. */
  private static final long USER_MS = 5000;

  final long seed;
  final RandomGenerator random;
  final Setup setup;
  final StoreModel store;
  final CloudModel cloud;
  final Checker checker;
  final LateReports lateReports = new LateReports(this);
  final Set<Mutant> mutants = EnumSet.noneOf(Mutant.class);
  final Map<String, WorkerModel> workers = new LinkedHashMap<>();
  final List<NodeModel> nodes = new ArrayList<>();

  /** Processors that the tasks of the only team may take at once; 0: no limit. */
  double teamLimit;

  /** Share of the reports of which a copy comes later. */
  double copied;

  /** Threads that have read something for a user go on up to so long later. */
  long stuckMs;

  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private final Set<Link> cut = new HashSet<>();
  private final Map<Link, List<Runnable>> held = new HashMap<>();
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

  private record Event(long atMs, long order, Runnable body) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return atMs != o.atMs ? Long.compare(atMs, o.atMs) : Long.compare(order, o.order);
    }
  }

  World(long seed, Setup setup) {
    this.seed = seed;
    this.setup = setup;
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    this.checker = new Checker(this);
    this.store = new StoreModel(this);
    this.cloud = new CloudModel(this);
    for (int i = 0; i < setup.nodes(); i++) {
      nodes.add(new NodeModel(this, "n" + i));
    }
    for (int i = 0; i < setup.machines(); i++) {
      String zone = setup.zones().get(i % setup.zones().size());
      cloud.add("vm-" + i, zone, true);
    }
    nodes.forEach(NodeModel::start);
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

  boolean reaches(String a, String b) {
    return up(a, b) && up(b, a);
  }

  private long delay() {
    return 1 + random.nextLong(4);
  }

  void send(String from, String to, Runnable delivered) {
    if (up(from, to)) {
      after(delay(), delivered);
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

  private final Map<String, Long> runMs = new HashMap<>();

  /** A job is accepted; {@code ms}: how long its tasks run, null for a service. */
  void submit(org.astershift.core.JobSpec spec, Long ms) {
    if (ms != null) {
      runMs.put(spec.id(), ms);
    }
    store.accept(spec);
    submitted.put(spec.id(), spec);
    accepted.add(spec.id());
    if (asking) {
      ask(spec.id());
    }
  }

  private final Set<String> accepted = new LinkedHashSet<>();
  private final Map<String, org.astershift.core.JobSpec> submitted = new HashMap<>();

  private boolean asking;

  /**
   * A user submits the job, at whatever node, until it is accepted; {@code then}: what follows
   * that.
   */
  void userSubmits(org.astershift.core.JobSpec spec, Long ms, Runnable then) {
    submitted.put(spec.id(), spec);
    if (ms != null) {
      runMs.put(spec.id(), ms);
    }
    request(
        spec.id(),
        (n, answer) -> n.submit(spec, answer),
        () -> {
          if (accepted.add(spec.id())) {
            if (asking) {
              ask(spec.id());
            }
            then.run();
          }
        });
  }

  /** Its user wants it cancelled, and asks at whatever node until that is answered. */
  void userCancels(String job) {
    checker.cancelAsked(job);
    request(job, (n, answer) -> n.cancel(job, true, answer), () -> {});
  }

  /** A user's request about a job, at some node, and again at some node until it is answered. */
  private void request(
      String job, BiConsumer<NodeModel, Consumer<String>> service, Runnable answered) {
    NodeModel n = nodes.get(random.nextInt(nodes.size()));
    long askedMs = nowMs;
    call(
        "user",
        n.name,
        USER_MS,
        (Consumer<String> answer) -> service.accept(n, answer),
        (String said) -> {
          checker.told(job, n.name, said, askedMs);
          if (said == null || said.equals("503")) {
            after(1000 + random.nextLong(500), () -> request(job, service, answered));
          } else {
            answered.run();
          }
        });
  }

  /** From now on users ask each node about each accepted job every five seconds. */
  void askAll() {
    asking = true;
    accepted.forEach(this::ask);
    ask("wk-of-nobody");
  }

  private void ask(String job) {
    for (NodeModel n : nodes) {
      after(random.nextLong(5000), () -> ask(job, n));
    }
  }

  private void ask(String job, NodeModel n) {
    long askedMs = nowMs;
    call(
        "user",
        n.name,
        2000,
        (Consumer<String> answer) -> n.ask(job, true, answer),
        (String said) -> {
          checker.told(job, n.name, said, askedMs);
          after(5000, () -> ask(job, n));
        });
  }

  Set<String> accepted() {
    return accepted;
  }

  boolean submitted(String job) {
    return submitted.containsKey(job);
  }

  org.astershift.core.JobSpec spec(String job) {
    return submitted.get(job);
  }

  /** Tasks that run longer than the others of their job, by name, in milliseconds. */
  final Map<String, Long> slower = new HashMap<>();

  /** How long a task runs; null: until it is stopped. */
  Long runMsOf(String job, int index) {
    return slower.getOrDefault(job + "/" + index, runMs.get(job));
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
