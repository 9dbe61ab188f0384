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
 * Checks that, once all faults are healed, no job is left waiting for 90 s while a suitable machine
 * has room for it and its team is under its limit.
 *
 * <p>The check runs once a second and looks at what is on the machines, not at what any controller
 * believes: capacity that nobody can use any more, because a controller with an uncertain lease
 * holds it, counts as room. A gang waits for room for all of its tasks. Room counts only once it
 * has existed for some seconds: where there is more work than room, some room is always between two
 * tasks.
 */
final class StarvationCheck {
  /** Bound that the operators set on the wait of a job while there is room, in milliseconds. */
  static final long MAX_WAIT_MS = 90_000;

  private static final long CHECK_INTERVAL_MS = 1000;

  /**
   * How long room must have existed to count, in milliseconds: enough for a heartbeat, the
   * following pass and command, and the task's start.
   */
  private static final long ROOM_SETTLED_MS = 5000;

  private static final double TOLERANCE = 1e-6;
  private final Simulation simulation;

  /** By job, since when it has waited without a start while there was room. */
  private final Map<String, Long> waitingSinceMs = new HashMap<>();

  /** By job, since when each machine has had room for one of its tasks. */
  private final Map<String, Map<String, Long>> roomSinceMs = new HashMap<>();

  private final Set<String> reported = new HashSet<>();

  private long longestWaitMs;

  private String longestWait = "none";

  StarvationCheck(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Free capacity of a live machine. */
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

    /** Returns how many tasks of the job fit, at most {@code max}. */
    int countFitting(JobSpec spec, int max) {
      int count = 0;
      while (count < max
          && cpus + TOLERANCE >= (count + 1) * spec.cpus()
          && gpus + TOLERANCE >= (count + 1) * spec.gpus()
          && memory + TOLERANCE >= (count + 1) * spec.memoryGb()) {
        count++;
      }
      return count;
    }

    boolean allows(JobSpec spec) {
      return (spec.machineTypes() == null || spec.machineTypes().contains(kind.type()))
          && (!kind.spot() || spec.spotAllowed())
          && (spec.zone() == null || spec.zone().equals(kind.zone()));
    }
  }

  /** Starts the check: from now on no fault is left. */
  void onFaultsHealed() {
    waitingSinceMs.clear();
    check();
  }

  /**
   * Returns which job waited longest while there was room after the faults were healed, and for how
   * long.
   */
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
      List<Integer> waiting = simulation.checker.waitingTasks(spec);
      if (waiting.isEmpty() || !canStart(spec, waiting.size(), rooms)) {
        waitingSinceMs.remove(job);
        continue;
      }
      long since =
          Math.max(
              waitingSinceMs.getOrDefault(job, simulation.now()),
              simulation.checker.lastStartMs(job));
      waitingSinceMs.put(job, since);
      if (simulation.now() - since > longestWaitMs) {
        longestWaitMs = simulation.now() - since;
        longestWait = job + " for " + longestWaitMs + " ms";
      }
      if (simulation.now() - since >= MAX_WAIT_MS && reported.add(job)) {
        simulation.checker.violations.add(
            "starvation: "
                + waiting.size()
                + " tasks wait while there is room, since "
                + since
                + ": "
                + spec);
      }
    }
    simulation.after(CHECK_INTERVAL_MS, this::check);
  }

  private Map<String, Room> rooms() {
    Map<String, Room> rooms = new LinkedHashMap<>();
    simulation.workers.forEach(
        (name, worker) -> {
          if (worker.isAlive() && !worker.isPaused()) {
            rooms.put(
                name,
                new Room(name, worker.kind, simulation.cloud.types().get(worker.kind.type())));
          }
        });
    simulation.checker.forEachPlacement(
        (task, machine) -> {
          if (rooms.containsKey(machine)) {
            rooms.get(machine).take(simulation.users.spec(task.substring(0, task.indexOf('/'))));
          }
        });
    return rooms;
  }

  /**
   * Returns whether one of the waiting tasks could start, or all waiting tasks of a gang together.
   */
  private boolean canStart(JobSpec spec, int waiting, Map<String, Room> rooms) {
    int needed = spec.kind() == JobKind.GANG ? waiting : 1;
    double[] usage = simulation.checker.usage(spec.team());
    Team team = simulation.teams().get(spec.team());
    if (!team.allows(usage[0] + needed * spec.cpus(), usage[1] + needed * spec.gpus())) {
      return false;
    }
    Map<String, Integer> tasksByZone = new HashMap<>();
    simulation.checker.forEachPlacement(
        (task, machine) -> {
          if (task.startsWith(spec.id() + "/")) {
            tasksByZone.merge(simulation.workers.get(machine).zone, 1, Integer::sum);
          }
        });
    Map<String, Integer> fittingByZone = new HashMap<>();
    Map<String, Long> sinceByMachineMs =
        roomSinceMs.computeIfAbsent(spec.id(), j -> new HashMap<>());
    sinceByMachineMs.keySet().retainAll(rooms.keySet());
    for (Room room : rooms.values()) {
      String zone = room.kind.zone();
      if (room.allows(spec)
          && (!spec.oneZone() || tasksByZone.isEmpty() || tasksByZone.containsKey(zone))) {
        int fits = room.countFitting(spec, needed);
        if (fits == 0) {
          sinceByMachineMs.remove(room.machine);
        } else if (simulation.now()
                - sinceByMachineMs.computeIfAbsent(room.machine, n -> simulation.now())
            >= ROOM_SETTLED_MS) {
          fittingByZone.merge(zone, fits, Integer::sum);
        }
      }
    }
    int total = 0;
    int mostInOneZone = 0;
    for (Map.Entry<String, Integer> entry : fittingByZone.entrySet()) {
      int fitting = entry.getValue();
      if (spec.spread()) {
        fitting =
            Math.min(fitting, spec.spreadLimit() - tasksByZone.getOrDefault(entry.getKey(), 0));
      }
      total += Math.max(0, fitting);
      mostInOneZone = Math.max(mostInOneZone, fitting);
    }
    return (spec.oneZone() ? mostInOneZone : total) >= needed;
  }
}
