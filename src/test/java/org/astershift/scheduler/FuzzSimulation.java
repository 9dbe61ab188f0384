package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.astershift.EventDigest;

/** Clock, event queue and state that all parts of one seed of {@link SchedulerFuzzer} share. */
final class FuzzSimulation {
  static final long HEARTBEAT_INTERVAL_MS = 2000;
  static final long LEASE_MS = 14_000;
  static final long GANG_WAIT_MS = 30_000;
  static final long GANG_PEER_MS = 4000;
  static final long ANSWER_TIMEOUT_MS = 4000;
  static final long LEADER_LEASE_MS = 2000;
  static final long CANCELLATION_MS = 16_000;
  static final double LIST_LAG_S = 3;
  static final int MAX_MACHINES = 14;

  final ReferenceRules rules;
  final Map<String, Integer> eventCounts = new TreeMap<>();
  final Random random;

  /** Time from which no fault is injected, so that all jobs have to end. */
  final long faultsEndMs;

  final long endMs;
  long nowMs;

  /** Number of the last event or write; orders events of the same time, and writes. */
  long lastEventNumber;

  final DeploymentLimits limits;
  final Map<String, MachineType> types = new LinkedHashMap<>();
  final Map<String, Team> teams = new LinkedHashMap<>();
  final List<FuzzController> controllers = new ArrayList<>();
  final Map<String, FuzzWorker> workers = new TreeMap<>();
  final FuzzStore store = new FuzzStore(this);
  final FuzzCloud cloud = new FuzzCloud(this);
  final FuzzNetwork network;
  final FuzzUsers users = new FuzzUsers(this);
  final Map<String, JobSpec> specs = new LinkedHashMap<>();

  /** Run time in milliseconds of each task of the job, by job ID. */
  final Map<String, Long> taskDurationsMs = new HashMap<>();

  /** IDs of the jobs whose user requested a cancellation. */
  final Set<String> cancellationRequested = new HashSet<>();

  final Map<String, FuzzGang> gangs = new HashMap<>();

  /** Copies of heartbeats that are delivered when the next leader begins its term. */
  final List<Heartbeat> heartbeatsForNextLeader = new ArrayList<>();

  final List<String> log = new ArrayList<>();
  final EventDigest digest = new EventDigest();
  boolean storeDown;
  boolean cloudDown;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final boolean logsEvents;

  // Probability of each fault, drawn for the seed. Most seeds have some of the faults, few have
  // all.

  final double copies;
  final double slow;
  final double cuts;
  final double deaths;
  final double restarts;
  final double hangs;
  final double preemptions;
  final double failovers;
  final double pauses;
  final double outages;
  final double cancellations;
  final double errors;
  final double lostWrites;

  private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
    }
  }

  FuzzSimulation(long seed, boolean story) {
    this.logsEvents = story;
    this.network = new FuzzNetwork(this, seed);
    this.random = new Random(seed * 0x9E3779B97F4A7C15L + 1);
    copies = drawProbability(0.3);
    slow = drawProbability(0.15);
    cuts = drawProbability(0.25);
    deaths = drawProbability(0.05);
    restarts = drawProbability(0.15);
    hangs = drawProbability(0.1);
    preemptions = drawProbability(0.05);
    failovers = drawProbability(0.12);
    pauses = drawProbability(0.1);
    outages = drawProbability(0.1);
    cancellations = drawProbability(0.4);
    errors = drawProbability(0.1);
    lostWrites = drawProbability(0.2);
    faultsEndMs = 30_000 + random.nextInt(60_000);
    endMs = faultsEndMs + 240_000;
    types.put("p", new MachineType("p", 4, 0, 16, 20, 0.5, 1, 0.3, 8, List.of("a", "b")));
    types.put("g", new MachineType("g", 8, 2, 32, 20, 0.5, 4, 1.2, 8, List.of("a", "b")));
    teams.put("tight", new Team("tight", 2, 4 + random.nextInt(5), 0, 2));
    teams.put("free", new Team("free", 0, 0, 0, 0));
    teams.put("mixed", new Team("mixed", 4, 8 + random.nextInt(8), 0, random.nextInt(2) * 3));
    limits =
        new DeploymentLimits(
            teams,
            List.of(new ServiceLevelObjective("wait", "quick", 4, 0.9, 1)),
            HEARTBEAT_INTERVAL_MS / 1000.0,
            LEASE_MS / 1000.0,
            GANG_WAIT_MS / 1000.0,
            GANG_PEER_MS / 1000.0,
            CANCELLATION_MS / 1000.0,
            LIST_LAG_S);
    rules = new ReferenceRules(teams, CANCELLATION_MS);
  }

  private double drawProbability(double maxProbability) {
    return random.nextInt(3) == 0 ? 0 : random.nextDouble() * maxProbability;
  }

  boolean chance(double probability) {
    return nowMs < faultsEndMs && random.nextDouble() < probability;
  }

  void after(long ms, Runnable action) {
    events.add(new Event(nowMs + Math.max(0, ms), ++lastEventNumber, action));
  }

  void count(String action) {
    eventCounts.merge(action, 1, Integer::sum);
  }

  void logEvent(String action) {
    if (logsEvents) {
      log.add(nowMs + " " + action);
    }
  }

  /** Runs events in time order until there are none, a rule is violated or the end is reached. */
  void playEvents() {
    while (!events.isEmpty() && rules.violations.isEmpty()) {
      Event event = events.poll();
      nowMs = event.atMs();
      if (nowMs > endMs) {
        break;
      }
      event.action().run();
    }
  }

  void clearEvents() {
    events.clear();
  }
}
