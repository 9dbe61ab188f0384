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
 * Runs controllers, store, cloud and workers in one process and in virtual time, under one seed.
 * The controllers decide with the program's own code; the other hosts are models of the published
 * protocol. Each direction of each link between two hosts can be cut separately. The order of
 * events within one millisecond is drawn from the seed.
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
  final CommandCopies commandCopies;
  final MessageQueueing messageQueueing = new MessageQueueing(this);
  final Set<Mutation> mutations = EnumSet.noneOf(Mutation.class);
  final Map<String, WorkerModel> workers = new LinkedHashMap<>();
  final List<ControllerModel> controllers = new ArrayList<>();

  /** Processors that the default team's tasks may use at once; 0 means no limit. */
  double teamCpuLimit;

  /** Teams with their guarantees and limits; if empty, one team with {@link #teamCpuLimit}. */
  final Map<String, Team> teams = new LinkedHashMap<>();

  /** The operators' service-level objectives. */
  final List<ServiceLevelObjective> objectives = new ArrayList<>();

  /** Share of the heartbeats of which a duplicate arrives later. */
  double duplicateShare;

  /**
   * Whether commands are sent over connections, as with TCP: they reach only the incarnation of the
   * machine that accepted the connection, and the sender decides what to send once the connection
   * is open. If false, a message in flight may reach any incarnation, which is worse than a network
   * without proxies.
   */
  boolean connectionOriented;

  /** Longest stall, in milliseconds, of a thread that has read something for a user. */
  long threadStallMs;

  /** Delay before the thread that writes records handles a write's answer, in milliseconds. */
  long recordAnswerDelayMs;

  private final PriorityQueue<Event> eventQueue = new PriorityQueue<>();
  private final Set<Link> cutLinks = new HashSet<>();
  private final Map<Link, List<Runnable>> heldMessages = new HashMap<>();
  private final Map<Link, Long> addedDelayMs = new HashMap<>();
  private final List<String> logLines = new ArrayList<>();
  private long nowMs;
  private long connectivityChangedMs;
  private long eventsRun;

  /** Initial configuration of a simulation; times are in milliseconds. */
  record Setup(int controllers, int machines, List<String> zones, long heartbeatMs, long leaseMs) {
    static Setup of(int controllers, int machines) {
      return new Setup(controllers, machines, List.of("a", "b", "c"), 2000, 14_000);
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
    this.commandCopies = new CommandCopies(this);
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
    // The order of events within one millisecond is random, so that different seeds try different
    // orders.
    eventQueue.add(new Event(nowMs + Math.max(0, delayMs), random.nextLong(), body));
  }

  void runTo(double seconds) {
    runToMs(Math.round(seconds * 1000));
  }

  private void runToMs(long untilMs) {
    while (!eventQueue.isEmpty() && eventQueue.peek().atMs() <= untilMs) {
      Event event = eventQueue.poll();
      nowMs = event.atMs();
      eventsRun++;
      event.body().run();
    }
    nowMs = untilMs;
  }

  /**
   * Runs until the condition holds, checked every millisecond; returns false if it did not in time.
   */
  boolean runUntil(java.util.function.BooleanSupplier condition, double untilSeconds) {
    while (!condition.getAsBoolean() && nowMs < untilSeconds * 1000) {
      runToMs(nowMs + 1);
    }
    return condition.getAsBoolean();
  }

  long eventsRun() {
    return eventsRun;
  }

  /**
   * Returns whether messages pass in this direction. Hosts are "n0", "n1", ..., "state", "cloud",
   * and machines by name.
   */
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

  /** Cuts the link in one direction; messages are held and delivered once it is healed. */
  void cut(String from, String to) {
    log(from, "link is cut to=" + to);
    cutLinks.add(new Link(from, to));
  }

  void cutBoth(String a, String b) {
    cut(a, b);
    cut(b, a);
  }

  void heal(String from, String to) {
    log(from, "link is healed to=" + to);
    cutLinks.remove(new Link(from, to));
    markConnectivityChanged();
    for (Link link : new ArrayList<>(heldMessages.keySet())) {
      if (isLinkUp(link.from(), link.to())) {
        heldMessages.remove(link).forEach(message -> after(drawBaseDelayMs(), message));
      }
    }
  }

  void healBoth(String a, String b) {
    heal(a, b);
    heal(b, a);
  }

  /** Returns how many messages are held because their link is cut. */
  int heldMessageCount() {
    return heldMessages.values().stream().mapToInt(List::size).sum();
  }

  /** Records that a link was healed or a paused process resumed. */
  void markConnectivityChanged() {
    connectivityChangedMs = nowMs;
  }

  long connectivityChangedMs() {
    return connectivityChangedMs;
  }

  /** Heals all cut links. */
  void healAll() {
    for (Link link : new ArrayList<>(cutLinks)) {
      heal(link.from(), link.to());
    }
  }

  /** Returns the running controllers that consider themselves the leader. */
  List<ControllerModel> leaders() {
    return controllers.stream()
        .filter(controller -> controller.isUp() && controller.leads())
        .toList();
  }

  /** Returns the only leader; fails the test if there is not exactly one. */
  ControllerModel onlyLeader() {
    List<ControllerModel> current = leaders();
    assertEquals(1, current.size(), recentLog());
    return current.get(0);
  }

  boolean reaches(String a, String b) {
    return isLinkUp(a, b) && isLinkUp(b, a);
  }

  private long drawBaseDelayMs() {
    return 1 + random.nextLong(4);
  }

  /**
   * Delays messages sent from now on in this direction by up to {@code maxDelayMs} more
   * milliseconds; 0 ends the delay.
   */
  void delayLink(String from, String to, long maxDelayMs) {
    log(from, "messages are delayed by up to " + maxDelayMs + " ms to=" + to);
    addedDelayMs.put(new Link(from, to), maxDelayMs);
  }

  /**
   * Draws the delay of a message in milliseconds. A message sent later may arrive earlier, over
   * another connection.
   */
  private long drawDelayMs(String from, String to) {
    long maxAddedMs =
        addedDelayMs.isEmpty()
            ? 0
            : Math.max(addedDelayMs(from, to), addedDelayMs(hostGroup(from), hostGroup(to)));
    return drawBaseDelayMs() + (maxAddedMs == 0 ? 0 : random.nextLong(maxAddedMs));
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

  /** Handles a request at its receiver; the answer may be given later. */
  interface Service<A> {
    void serve(Consumer<A> answer);
  }

  /**
   * Sends a request. {@code done} gets the answer, or null after the timeout; the receiver may
   * still execute the request after that.
   */
  <A> void call(String from, String to, long timeoutMs, Service<A> service, Consumer<A> done) {
    boolean[] isOver = new boolean[1];
    Consumer<A> once =
        value -> {
          if (!isOver[0]) {
            isOver[0] = true;
            done.accept(value);
          }
        };
    send(from, to, () -> service.serve(answer -> send(to, from, () -> once.accept(answer))));
    after(timeoutMs, () -> once.accept(null));
  }

  /** Submits a job, accepted at once; {@code runMs}: its tasks' run time, null for a service. */
  void submit(org.astershift.scheduler.JobSpec spec, Long runMs) {
    users.acceptDirectly(spec, runMs);
  }

  /** Has a user submit the job until it is accepted, and then runs {@code then}. */
  void submitAsUser(org.astershift.scheduler.JobSpec spec, Long runMs, Runnable then) {
    users.submit(spec, runMs, then);
  }

  /** Has the job's user cancel it, retrying at any controller until one answers. */
  void cancelAsUser(String job) {
    users.cancel(job);
  }

  /** Makes users ask each controller about each accepted job every five seconds from now on. */
  void pollAllJobs() {
    users.pollAll();
  }

  /** Returns the fencing token of the newest term; 0 if there was none. */
  long latestToken() {
    return checker.latestToken();
  }

  void log(String host, String message) {
    logLines.add(String.format(Locale.ROOT, "%9.3f %-6s %s", nowMs / 1000.0, host, message));
  }

  /** Returns the whole log of all hosts. */
  String fullLog() {
    return String.join("\n", logLines);
  }

  /** Returns the seed and the setup to replay a failure, and the end of the log. */
  String recentLog() {
    List<String> lastLines = logLines.subList(Math.max(0, logLines.size() - 60), logLines.size());
    return "seed " + seed + ", " + setup + "\n" + String.join("\n", lastLines);
  }
}
