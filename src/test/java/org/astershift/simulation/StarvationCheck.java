package org.astershift.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Team;

/**
 * Once all faults are healed no job is left waiting for 90 s while a machine that fits has room and
 * its team is under its limit. Looked at once a second, by what is on the machines and not by what
 * any controller believes: what nobody can use any more, because a controller with an uncertain
 * lease holds it, is room. A gang waits for room for all of its tasks. Room counts once it has been
 * there for some seconds: where there is more work than room, some is always between two tasks.
 */
final class StarvationCheck {
  /** The operators' bound. */
  static final long MAX_WAIT_MS = 90_000;

  private static final long CHECK_INTERVAL_MS = 1000;

  /** A heartbeat, the pass and the command that follow, and the task's start. */
  private static final long ROOM_SETTLED_MS = 5000;

  private static final double TOLERANCE = 1e-6;
  private final Simulation simulation;

  /** By job, since when it has waited beside room without a start. */
  private final Map<String, Long> waitingSinceMs = new HashMap<>();

  /** By job, since when each machine has had room for a task of it. */
  private final Map<String, Map<String, Long>> roomSinceMs = new HashMap<>();

  private final Set<String> reported = new HashSet<>();

  private long longestWaitMs;

  private String longestWait = "none";

  StarvationCheck(Simulation simulation) {
    this.simulation = simulation;
  }

  /** What is left of a live machine. */
  private static final class Room {
    final String machine;
    final CloudModel.Kind kind;
    double cpus;
    double gpus;
    double memory;

    Room(String machine, CloudModel.Kind kind, MachineType type) {
      this.machine = machine;
      this.kind = kind;
      cpus = type.cpus();
      gpus = type.gpus();
      memory = type.memoryGb();
    }

    void take(JobSpec spec) {
      cpus -= spec.cpus();
      gpus -= spec.gpus();
      memory -= spec.memoryGb();
    }

    /** How many such tasks find room, at most {@code most}. */
    int countFitting(JobSpec spec, int most) {
      int n = 0;
      while (n < most
          && cpus + TOLERANCE >= (n + 1) * spec.cpus()
          && gpus + TOLERANCE >= (n + 1) * spec.gpus()
          && memory + TOLERANCE >= (n + 1) * spec.memoryGb()) {
        n++;
      }
      return n;
    }

    boolean allows(JobSpec spec) {
      return (spec.machineTypes() == null || spec.machineTypes().contains(kind.type()))
          && (!kind.spot() || spec.spotAllowed())
          && (spec.zone() == null || spec.zone().equals(kind.zone()));
    }
  }

  /** From now on no fault is left. */
  void onFaultsHealed() {
    waitingSinceMs.clear();
    check();
  }

  /** Which job waited longest beside room once the faults were healed, and for how long. */
  String longestWait() {
    return longestWait;
  }

  long longestWaitMs() {
    return longestWaitMs;
  }

  private void check() {
    Map<String, Room> rooms = rooms();
    for (String job : simulation.users.accepted()) {
      JobSpec spec = simulation.users.spec(job);
      List<Integer> waiting = simulation.checker.waiting(spec);
      if (waiting.isEmpty() || !canStart(spec, waiting.size(), rooms)) {
        waitingSinceMs.remove(job);
        continue;
      }
      long since =
          Math.max(
              waitingSinceMs.getOrDefault(job, simulation.now()),
              simulation.checker.lastStart(job));
      waitingSinceMs.put(job, since);
      if (simulation.now() - since > longestWaitMs) {
        longestWaitMs = simulation.now() - since;
        longestWait = job + " for " + longestWaitMs + " ms";
      }
      if (simulation.now() - since >= MAX_WAIT_MS && reported.add(job)) {
        simulation.checker.violations.add(
            "left waiting: " + waiting.size() + " of " + spec + " since " + since);
      }
    }
    simulation.after(CHECK_INTERVAL_MS, this::check);
  }

  private Map<String, Room> rooms() {
    Map<String, Room> rooms = new LinkedHashMap<>();
    simulation.workers.forEach(
        (name, worker) -> {
          if (worker.alive() && !worker.paused()) {
            rooms.put(
                name,
                new Room(name, worker.kind, simulation.cloud.types().get(worker.kind.type())));
          }
        });
    simulation.checker.eachOnMachine(
        (task, machine) -> {
          if (rooms.containsKey(machine)) {
            rooms.get(machine).take(simulation.users.spec(task.substring(0, task.indexOf('/'))));
          }
        });
    return rooms;
  }

  /** Whether one of the waiting tasks could start, or all of a gang's together. */
  private boolean canStart(JobSpec spec, int waiting, Map<String, Room> rooms) {
    int need = spec.kind() == JobKind.GANG ? waiting : 1;
    double[] use = simulation.checker.usage(spec.team());
    Team team = simulation.teams().get(spec.team());
    if (!team.allows(use[0] + need * spec.cpus(), use[1] + need * spec.gpus())) {
      return false;
    }
    Map<String, Integer> zones = new HashMap<>();
    simulation.checker.eachOnMachine(
        (task, machine) -> {
          if (task.startsWith(spec.id() + "/")) {
            zones.merge(simulation.workers.get(machine).zone, 1, Integer::sum);
          }
        });
    Map<String, Integer> found = new HashMap<>();
    Map<String, Long> since = roomSinceMs.computeIfAbsent(spec.id(), j -> new HashMap<>());
    since.keySet().retainAll(rooms.keySet());
    for (Room room : rooms.values()) {
      String zone = room.kind.zone();
      if (room.allows(spec) && (!spec.oneZone() || zones.isEmpty() || zones.containsKey(zone))) {
        int fits = room.countFitting(spec, need);
        if (fits == 0) {
          since.remove(room.machine);
        } else if (simulation.now() - since.computeIfAbsent(room.machine, n -> simulation.now())
            >= ROOM_SETTLED_MS) {
          found.merge(zone, fits, Integer::sum);
        }
      }
    }
    int all = 0;
    int most = 0;
    for (Map.Entry<String, Integer> e : found.entrySet()) {
      int here = e.getValue();
      if (spec.spread()) {
        here = Math.min(here, spec.spreadLimit() - zones.getOrDefault(e.getKey(), 0));
      }
      all += Math.max(0, here);
      most = Math.max(most, here);
    }
    return (spec.oneZone() ? most : all) >= need;
  }
}
