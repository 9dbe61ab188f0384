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
 * Controllers, store, cloud and workers in one process, in virtual time, under one seed. The
 * controllers decide with the program's own code; the rest are models of the published protocol.
 * Links between hosts are a matrix of directions, each of which may be cut. Events at the same
 * millisecond come in an order drawn from the seed.
 */
final class Simulation {
  final long seed;
  final RandomGenerator random;
  final Setup setup;
  final StoreModel store;
  final CloudModel cloud;
  final InvariantChecker checker;
  final EventDigest digest = new EventDigest();
  final StarvationCheck starvationCheck;
  final UserModel users;
  final GangModel gangs = new GangModel(this);
  final DelayedHeartbeats delayedHeartbeats = new DelayedHeartbeats(this);
  final MessageQueueing messageQueueing = new MessageQueueing(this);
  final Set<Mutation> mutations = EnumSet.noneOf(Mutation.class);
  final Map<String, WorkerModel> workers = new LinkedHashMap<>();
  final List<ControllerModel> controllers = new ArrayList<>();

  /** Processors that the tasks of the only team may take at once; 0: no limit. */
  double teamCpuLimit;

  /** Teams with their guarantees and limits; none: the only one, with {@link #teamCpuLimit}. */
  final Map<String, Team> teams = new LinkedHashMap<>();

  /** The operators' service-level objectives. */
  final List<ServiceLevelObjective> objectives = new ArrayList<>();

  /** Share of the heartbeats of which a duplicate comes later. */
  double duplicateShare;

  /**
   * Commands go over connections, as over TCP: they reach the incarnation of the machine that
   * accepted the connection, or none, and are decided once it is open. Otherwise a message on its
   * way may reach any incarnation, which is worse than a network without proxies.
   */
  boolean connectionOriented;

  /** Threads that have read something for a user continue up to so many milliseconds later. */
  long threadStallMs;

  /** The thread that writes records handles the answer to a write so long after it came. */
  long recordAnswerDelayMs;

  private final PriorityQueue<Event> eventQueue = new PriorityQueue<>();
  private final Set<Link> cutLinks = new HashSet<>();
  private final Map<Link, List<Runnable>> heldMessages = new HashMap<>();
  private final Map<Link, Long> addedDelayMs = new HashMap<>();
  private final List<String> logLines = new ArrayList<>();
  private long nowMs;
  private long connectivityChangedMs;
  private long eventsRun;

  /** What a simulation starts with; times in milliseconds. */
  record Setup(int controllers, int machines, List<String> zones, long heartbeatMs, long leaseMs) {
    static Setup of(int nodes, int machines) {
      return new Setup(nodes, machines, List.of("a", "b", "c"), 2000, 14_000);
    }
  }

  private record Link(String from, String to) {}

  Map<String, Team> teams() {
    return teams.isEmpty() ? Map.of("team", new Team("team", 0, teamCpuLimit, 0, 0)) : teams;
  }

  private record Event(long atMs, long order, Runnable body) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
    }
  }

  Simulation(long seed, Setup setup) {
    this.seed = seed;
    this.setup = setup;
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    this.checker = new InvariantChecker(this);
    this.starvationCheck = new StarvationCheck(this);
    this.users = new UserModel(this);
    this.store = new StoreModel(this);
    this.cloud = new CloudModel(this);
    for (int i = 0; i < setup.controllers(); i++) {
      controllers.add(new ControllerModel(this, "n" + i));
    }
    for (int i = 0; i < setup.machines(); i++) {
      String zone = setup.zones().get(i % setup.zones().size());
      cloud.addMachine("vm-" + i, zone, true);
    }
    controllers.forEach(ControllerModel::start);
  }

  long now() {
    return nowMs;
  }

  void after(long delayMs, Runnable body) {
    // The order of what falls into one millisecond is drawn, so that seeds try each.
    eventQueue.add(new Event(nowMs + Math.max(0, delayMs), random.nextLong(), body));
  }

  void runTo(double seconds) {
    runToMs(Math.round(seconds * 1000));
  }

  private void runToMs(long until) {
    while (!eventQueue.isEmpty() && eventQueue.peek().atMs() <= until) {
      Event event = eventQueue.poll();
      nowMs = event.atMs();
      eventsRun++;
      event.body().run();
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

  long eventsRun() {
    return eventsRun;
  }

  /** Hosts are "n0", "n1", ..., "state", "cloud", and machines by name. */
  private boolean isLinkUp(String from, String to) {
    return !cutLinks.contains(new Link(from, to))
        && !cutLinks.contains(new Link(hostGroup(from), to))
        && !cutLinks.contains(new Link(from, hostGroup(to)))
        && !cutLinks.contains(new Link(zoneOf(from), to))
        && !cutLinks.contains(new Link(from, zoneOf(to)))
        && !cutLinks.contains(new Link(zoneOf(from), "outside"))
        && !cutLinks.contains(new Link("outside", zoneOf(to)));
  }

  private static String hostGroup(String host) {
    return host.startsWith("vm-") ? "workers" : host;
  }

  private String zoneOf(String host) {
    WorkerModel worker = workers.get(host);
    return worker == null ? host : "zone " + worker.zone;
  }

  /** Cuts one direction. What is sent meanwhile is held, and delivered when the cut is over. */
  void cut(String from, String to) {
    log(from, "stops reaching " + to);
    cutLinks.add(new Link(from, to));
  }

  void cutBoth(String a, String b) {
    cut(a, b);
    cut(b, a);
  }

  void heal(String from, String to) {
    log(from, "reaches " + to + " again");
    cutLinks.remove(new Link(from, to));
    markConnectivityChanged();
    for (Link link : new ArrayList<>(heldMessages.keySet())) {
      if (isLinkUp(link.from(), link.to())) {
        heldMessages.remove(link).forEach(r -> after(drawBaseDelayMs(), r));
      }
    }
  }

  void healBoth(String a, String b) {
    heal(a, b);
    heal(b, a);
  }

  /** Messages that wait for a cut to be over. */
  int heldMessageCount() {
    return heldMessages.values().stream().mapToInt(List::size).sum();
  }

  /** A path is back, or a process that paused. */
  void markConnectivityChanged() {
    connectivityChangedMs = nowMs;
  }

  long connectivityChangedMs() {
    return connectivityChangedMs;
  }

  /** Ends all cuts. */
  void healAll() {
    for (Link link : new ArrayList<>(cutLinks)) {
      heal(link.from(), link.to());
    }
  }

  /** Controllers that lead, as far as they know. */
  List<ControllerModel> leaders() {
    return controllers.stream()
        .filter(controller -> controller.isUp() && controller.leads())
        .toList();
  }

  /** The only leader; that there is exactly one is asserted. */
  ControllerModel onlyLeader() {
    List<ControllerModel> all = leaders();
    assertEquals(1, all.size(), recentLog());
    return all.get(0);
  }

  boolean reaches(String a, String b) {
    return isLinkUp(a, b) && isLinkUp(b, a);
  }

  private long drawBaseDelayMs() {
    return 1 + random.nextLong(4);
  }

  /** From now on what is sent that way takes up to so much longer; 0: no more. */
  void delayLink(String from, String to, long ms) {
    log(from, "needs up to " + ms + " ms more to " + to);
    addedDelayMs.put(new Link(from, to), ms);
  }

  /** What a message takes; one sent later may arrive before it, over another connection. */
  private long drawDelayMs(String from, String to) {
    long most =
        addedDelayMs.isEmpty()
            ? 0
            : Math.max(addedDelayMs(from, to), addedDelayMs(hostGroup(from), hostGroup(to)));
    return drawBaseDelayMs() + (most == 0 ? 0 : random.nextLong(most));
  }

  private long addedDelayMs(String from, String to) {
    return addedDelayMs.getOrDefault(new Link(from, to), 0L);
  }

  void send(String from, String to, Runnable delivered) {
    if (isLinkUp(from, to)) {
      after(drawDelayMs(from, to), delivered);
    } else {
      heldMessages.computeIfAbsent(new Link(from, to), link -> new ArrayList<>()).add(delivered);
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

  /** A job is accepted; {@code ms}: how long its tasks run, null for a service. */
  void submit(org.astershift.scheduler.JobSpec spec, Long ms) {
    users.acceptDirectly(spec, ms);
  }

  /** A user submits the job until it is accepted; {@code then}: what follows that. */
  void submitAsUser(org.astershift.scheduler.JobSpec spec, Long ms, Runnable then) {
    users.submit(spec, ms, then);
  }

  /** Its user cancels it, and asks at any controller until that is answered. */
  void cancelAsUser(String job) {
    users.cancel(job);
  }

  /** From now on users ask each controller about each accepted job every five seconds. */
  void pollAllJobs() {
    users.pollAll();
  }

  /** The fencing token of the newest term; 0: there was none. */
  long latestToken() {
    return checker.latestToken();
  }

  void log(String host, String what) {
    logLines.add(String.format(Locale.ROOT, "%9.3f %-6s %s", nowMs / 1000.0, host, what));
  }

  /** The log of all hosts, from the beginning. */
  String fullLog() {
    return String.join("\n", logLines);
  }

  /** For the message of a failure: the seed and set-up to replay it, and the end of the log. */
  String recentLog() {
    List<String> last = logLines.subList(Math.max(0, logLines.size() - 60), logLines.size());
    return "seed " + seed + ", " + setup + "\n" + String.join("\n", last);
  }
}
