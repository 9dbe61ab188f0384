package org.astershift.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.ListedMachine;
import org.astershift.scheduler.MachineType;

/**
 * Models the cloud: named provisioning requests, machines that boot, lists that lag and may be
 * older than the list before, and dead machines that are listed as running for 30 s and then as
 * failed.
 */
final class CloudModel {
  static final String TYPE = "small";
  private static final long LIST_LAG_MS = 3000;
  private static final long LISTED_AS_FAILED_AFTER_MS = 30_000;
  private static final long BOOT_MS = 10_000;

  /** Time until a new machine's first heartbeat, in milliseconds; null if it never comes. */
  Supplier<Long> bootMs = () -> BOOT_MS;

  /** Longest delay of a provisioning answer, in milliseconds; the machines are added at once. */
  long answerDelayMs;

  /** Machines that were already alive, or had tasks, when their request was answered. */
  int aliveBeforeAnswer;

  int busyBeforeAnswer;

  /** Machines preempted, and those of them that had tasks. */
  int preempted;

  int preemptedWithTasks;

  private final Simulation simulation;
  private final Map<String, List<String>> provisioned = new HashMap<>();
  private final Map<String, Long> diedMs = new HashMap<>();
  private final Set<String> released = new HashSet<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private final List<String> machineNames = new ArrayList<>();
  private final Map<String, Kind> kinds = new HashMap<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Most machines of a type at once, in all zones together; unlimited for types not listed. */
  final Map<String, Integer> capacity = new HashMap<>();

  private int nextMachineNumber = 100_000;

  /** A machine's type, its zone, and whether it is a spot machine. */
  record Kind(String type, String zone, boolean spot) {}

  private record Snapshot(long atMs, List<ListedMachine> listed) {}

  CloudModel(Simulation simulation) {
    this.simulation = simulation;
    addType(new MachineType(TYPE, 4, 0, 16, 50, 0.5, 1, 0.3, 10, simulation.setup.zones()));
    takeSnapshot();
  }

  /** Adds a machine type. */
  void addType(MachineType type) {
    types.put(type.name(), type);
  }

  Map<String, MachineType> types() {
    return types;
  }

  Kind kind(String name) {
    return kinds.get(name);
  }

  void addMachine(String name, String zone, boolean alreadyUp) {
    addMachine(name, new Kind(TYPE, zone, false), alreadyUp);
  }

  void addMachine(String name, Kind kind, boolean alreadyUp) {
    machineNames.add(name);
    kinds.put(name, kind);
    WorkerModel worker = new WorkerModel(simulation, name, kind);
    simulation.workers.put(name, worker);
    Long firstHeartbeatMs =
        alreadyUp
            ? Long.valueOf(simulation.random.nextLong(simulation.setup.heartbeatMs()))
            : bootMs.get();
    if (firstHeartbeatMs != null) {
      simulation.after(firstHeartbeatMs, () -> startUnlessGone(worker));
    }
  }

  private void startUnlessGone(WorkerModel worker) {
    if (!released.contains(worker.name) && !diedMs.containsKey(worker.name)) {
      worker.start();
    }
  }

  void provision(
      String request, Decision.ProvisionMachines provisioning, Consumer<List<String>> answer) {
    List<String> names = provision(request, provisioning);
    if (answerDelayMs == 0) {
      answer.accept(names);
    } else {
      simulation.after(
          simulation.random.nextLong(answerDelayMs),
          () -> {
            for (String name : names) {
              WorkerModel worker = simulation.workers.get(name);
              aliveBeforeAnswer += worker.isAlive() ? 1 : 0;
              busyBeforeAnswer += worker.liveTasks().isEmpty() ? 0 : 1;
            }
            answer.accept(names);
          });
    }
  }

  void killMachine(String name) {
    diedMs.put(name, simulation.now());
    simulation.workers.get(name).kill();
  }

  private List<String> provision(String request, Decision.ProvisionMachines provisioning) {
    return provisioned.computeIfAbsent(
        request,
        key -> {
          List<String> added = new ArrayList<>();
          for (int i = 0; i < provisioning.count() && hasCapacity(provisioning.typeName()); i++) {
            String name = "vm-" + nextMachineNumber++;
            addMachine(
                name,
                new Kind(provisioning.typeName(), provisioning.zone(), provisioning.spot()),
                false);
            added.add(name);
          }
          return added;
        });
  }

  private boolean hasCapacity(String type) {
    long existing =
        machineNames.stream()
            .filter(name -> !released.contains(name) && kinds.get(name).type().equals(type))
            .count();
    return existing < capacity.getOrDefault(type, Integer.MAX_VALUE);
  }

  /** Preempts a spot machine without notice. */
  void preempt(String name) {
    if (released.add(name)) {
      simulation.log(name, "is preempted");
      preempted++;
      preemptedWithTasks += simulation.workers.get(name).liveTasks().isEmpty() ? 0 : 1;
      simulation.workers.get(name).kill();
    }
  }

  /**
   * Announces a preemption; it comes after {@code noticeMs} times {@code noticeFactor}, which is
   * between one half and one and a half. The worker's heartbeats show the announced time.
   */
  void announcePreemption(String name, long noticeMs, double noticeFactor) {
    WorkerModel worker = simulation.workers.get(name);
    if (worker.isAlive()) {
      worker.onPreemptionNotice(noticeMs);
      simulation.after(Math.round(noticeMs * noticeFactor), () -> preempt(name));
    }
  }

  void release(List<String> machines, boolean silent) {
    for (String name : machines) {
      if (kinds.containsKey(name) && released.add(name)) {
        WorkerModel worker = simulation.workers.get(name);
        if (silent) {
          simulation.checker.releasedAsSilent.add(name);
        }
        worker.kill();
      }
    }
  }

  private void takeSnapshot() {
    List<ListedMachine> listed = new ArrayList<>();
    for (String name : machineNames) {
      if (!released.contains(name)) {
        Long deathMs = diedMs.get(name);
        boolean failed = deathMs != null && simulation.now() - deathMs > LISTED_AS_FAILED_AFTER_MS;
        listed.add(
            new ListedMachine(
                name,
                name,
                kinds.get(name).type(),
                kinds.get(name).zone(),
                kinds.get(name).spot(),
                failed ? "failed" : "running",
                60));
      }
    }
    snapshots.addLast(new Snapshot(simulation.now(), listed));
    while (snapshots.peekFirst().atMs() < simulation.now() - 2 * LIST_LAG_MS) {
      snapshots.removeFirst();
    }
    simulation.after(500, this::takeSnapshot);
  }

  /**
   * Returns the state at a random time within the last six seconds, possibly older than the list
   * before.
   */
  List<ListedMachine> listMachines() {
    List<Snapshot> all = new ArrayList<>(snapshots);
    return all.get(simulation.random.nextInt(all.size())).listed();
  }
}
