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
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Scheduler;

/**
 * The cloud: request names, machines that boot, lists that lag and go back, dead machines that are
 * listed as running for 30 s and then as failed.
 */
final class CloudModel {
  static final String TYPE = "small";
  private static final long LAG_MS = 3000;
  private static final long FAILED_AFTER_MS = 30_000;
  private static final long BOOT_MS = 10_000;

  /** How long the next machines take until they report; null: never. */
  Supplier<Long> boots = () -> BOOT_MS;

  /** Rentals are carried out at once, and their answers take up to so long. */
  long slowMs;

  /** Machines that were up, and that had tasks, as the answer to their rental was given. */
  int upBeforeAnswer;

  int busyBeforeAnswer;

  /** Machines that it took back, and those of them that had tasks. */
  int taken;

  int takenWithTasks;

  private final Simulation world;
  private final Map<String, List<String>> answered = new HashMap<>();
  private final Map<String, Long> diedMs = new HashMap<>();
  private final Set<String> gone = new HashSet<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private final List<String> names = new ArrayList<>();
  private final Map<String, Kind> kinds = new HashMap<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Machines that there may be at once of a type, in all zones; none named: as many as asked. */
  final Map<String, Integer> capacity = new HashMap<>();

  private int next = 100_000;

  /** What a machine is: type, zone, and whether the cloud may take it any time. */
  record Kind(String type, String zone, boolean spot) {}

  private record Snapshot(long atMs, List<Scheduler.ListedMachine> listed) {}

  CloudModel(Simulation world) {
    this.world = world;
    offer(new MachineType(TYPE, 4, 0, 16, 50, 0.5, 1, 0.3, 10, world.setup.zones()));
    snap();
  }

  /** One more type of machines. */
  void offer(MachineType type) {
    types.put(type.name(), type);
  }

  Map<String, MachineType> types() {
    return types;
  }

  Kind kind(String name) {
    return kinds.get(name);
  }

  void add(String name, String zone, boolean up) {
    add(name, new Kind(TYPE, zone, false), up);
  }

  void add(String name, Kind kind, boolean up) {
    names.add(name);
    kinds.put(name, kind);
    WorkerModel w = new WorkerModel(world, name, kind);
    world.workers.put(name, w);
    Long ms = up ? Long.valueOf(world.random.nextLong(world.setup.reportMs())) : boots.get();
    if (ms != null) {
      world.after(ms, () -> up(w));
    }
  }

  private void up(WorkerModel w) {
    if (!gone.contains(w.name) && !diedMs.containsKey(w.name)) {
      w.start();
    }
  }

  void rent(String request, Decision.ProvisionMachines r, Consumer<List<String>> answer) {
    List<String> names = rent(request, r);
    if (slowMs == 0) {
      answer.accept(names);
    } else {
      world.after(
          world.random.nextLong(slowMs),
          () -> {
            for (String name : names) {
              WorkerModel w = world.workers.get(name);
              upBeforeAnswer += w.alive() ? 1 : 0;
              busyBeforeAnswer += w.holds().isEmpty() ? 0 : 1;
            }
            answer.accept(names);
          });
    }
  }

  void die(String name) {
    diedMs.put(name, world.now());
    world.workers.get(name).die();
  }

  private List<String> rent(String request, Decision.ProvisionMachines r) {
    return answered.computeIfAbsent(
        request,
        n -> {
          List<String> out = new ArrayList<>();
          for (int i = 0; i < r.count() && hasMore(r.typeName()); i++) {
            String name = "vm-" + next++;
            add(name, new Kind(r.typeName(), r.zone(), r.spot()), false);
            out.add(name);
          }
          return out;
        });
  }

  private boolean hasMore(String type) {
    long there =
        names.stream().filter(n -> !gone.contains(n) && kinds.get(n).type().equals(type)).count();
    return there < capacity.getOrDefault(type, Integer.MAX_VALUE);
  }

  /** The cloud takes a spot machine back, without a notice. */
  void take(String name) {
    if (gone.add(name)) {
      world.note(name, "is taken back by the cloud");
      taken++;
      takenWithTasks += world.workers.get(name).holds().isEmpty() ? 0 : 1;
      world.workers.get(name).die();
    }
  }

  /**
   * It takes one back after a notice, that much later times half to one and a half: what its worker
   * says is the time that was told.
   */
  void recall(String name, long noticeMs, double times) {
    WorkerModel w = world.workers.get(name);
    if (w.alive()) {
      w.recalled(noticeMs);
      world.after(Math.round(noticeMs * times), () -> take(name));
    }
  }

  void giveBack(List<String> machines, boolean silent) {
    for (String name : machines) {
      if (kinds.containsKey(name) && gone.add(name)) {
        WorkerModel w = world.workers.get(name);
        if (silent) {
          world.checker.returned.add(name);
        }
        w.die();
      }
    }
  }

  private void snap() {
    List<Scheduler.ListedMachine> listed = new ArrayList<>();
    for (String name : names) {
      if (!gone.contains(name)) {
        Long died = diedMs.get(name);
        boolean failed = died != null && world.now() - died > FAILED_AFTER_MS;
        listed.add(
            new Scheduler.ListedMachine(
                name,
                name,
                kinds.get(name).type(),
                kinds.get(name).zone(),
                kinds.get(name).spot(),
                failed ? "failed" : "running",
                60));
      }
    }
    snapshots.addLast(new Snapshot(world.now(), listed));
    while (snapshots.peekFirst().atMs() < world.now() - 2 * LAG_MS) {
      snapshots.removeFirst();
    }
    world.after(500, this::snap);
  }

  /** Any state of the last six seconds, so a list may be older than the one before it. */
  List<Scheduler.ListedMachine> list() {
    List<Snapshot> all = new ArrayList<>(snapshots);
    return all.get(world.random.nextInt(all.size())).listed();
  }
}
