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
 * Once all troubles are over no job is left waiting for 90 s while a machine that fits has room and
 * its team is under its limit. Looked at once a second, by what is on the machines and not by what
 * any controller believes: what nobody can use any more, because somebody holds it in doubt, is
 * room. A gang waits for room for all of its tasks. Room counts once it has been there for some
 * seconds: where there is more work than room, some is always between two tasks.
 */
final class StarvationCheck {
  /** The operators' page. */
  static final long MOST_MS = 90_000;

  private static final long LOOK_MS = 1000;

  /** A report, the pass and the order that follow, and the task's start. */
  private static final long SETTLED_MS = 5000;

  private static final double TOLERANCE = 1e-6;
  private final Simulation world;

  /** By job, since when it has waited beside room without a start. */
  private final Map<String, Long> sinceMs = new HashMap<>();

  /** By job, since when each machine has had room for a task of it. */
  private final Map<String, Map<String, Long>> roomSinceMs = new HashMap<>();

  private final Set<String> told = new HashSet<>();

  private long longestMs;

  private String longest = "none";

  StarvationCheck(Simulation world) {
    this.world = world;
  }

  /** What is left of a live machine. */
  private static final class Room {
    final String machine;
    final CloudModel.Kind kind;
    double cpus;
    double gpus;
    double memory;

    Room(String machine, CloudModel.Kind kind, MachineType t) {
      this.machine = machine;
      this.kind = kind;
      cpus = t.cpus();
      gpus = t.gpus();
      memory = t.memoryGb();
    }

    void take(JobSpec s) {
      cpus -= s.cpus();
      gpus -= s.gpus();
      memory -= s.memoryGb();
    }

    /** How many such tasks find room, at most {@code most}. */
    int fits(JobSpec s, int most) {
      int n = 0;
      while (n < most
          && cpus + TOLERANCE >= (n + 1) * s.cpus()
          && gpus + TOLERANCE >= (n + 1) * s.gpus()
          && memory + TOLERANCE >= (n + 1) * s.memoryGb()) {
        n++;
      }
      return n;
    }

    boolean allows(JobSpec s) {
      return (s.machineTypes() == null || s.machineTypes().contains(kind.type()))
          && (!kind.spot() || s.spotAllowed())
          && (s.zone() == null || s.zone().equals(kind.zone()));
    }
  }

  /** From now on no trouble is left. */
  void troublesAreOver() {
    sinceMs.clear();
    look();
  }

  /** The longest that any job waited beside room once the troubles were over, and which. */
  String longest() {
    return longest;
  }

  long longestMs() {
    return longestMs;
  }

  private void look() {
    Map<String, Room> rooms = rooms();
    for (String job : world.users.accepted()) {
      JobSpec spec = world.users.spec(job);
      List<Integer> waiting = world.checker.waiting(spec);
      if (waiting.isEmpty() || !mayStart(spec, waiting.size(), rooms)) {
        sinceMs.remove(job);
        continue;
      }
      long since = Math.max(sinceMs.getOrDefault(job, world.now()), world.checker.lastStart(job));
      sinceMs.put(job, since);
      if (world.now() - since > longestMs) {
        longestMs = world.now() - since;
        longest = job + " for " + longestMs + " ms";
      }
      if (world.now() - since >= MOST_MS && told.add(job)) {
        world.checker.broken.add(
            "left waiting: " + waiting.size() + " of " + spec + " since " + since);
      }
    }
    world.after(LOOK_MS, this::look);
  }

  private Map<String, Room> rooms() {
    Map<String, Room> rooms = new LinkedHashMap<>();
    world.workers.forEach(
        (name, w) -> {
          if (w.alive() && !w.hung()) {
            rooms.put(name, new Room(name, w.kind, world.cloud.types().get(w.kind.type())));
          }
        });
    world.checker.eachOnMachine(
        (task, machine) -> {
          if (rooms.containsKey(machine)) {
            rooms.get(machine).take(world.users.spec(task.substring(0, task.indexOf('/'))));
          }
        });
    return rooms;
  }

  /** Whether one of the waiting tasks could start, or all of a gang's together. */
  private boolean mayStart(JobSpec spec, int waiting, Map<String, Room> rooms) {
    int need = spec.kind() == JobKind.GANG ? waiting : 1;
    double[] use = world.checker.use(spec.team());
    Team team = world.teams().get(spec.team());
    if (!team.allows(use[0] + need * spec.cpus(), use[1] + need * spec.gpus())) {
      return false;
    }
    Map<String, Integer> zones = new HashMap<>();
    world.checker.eachOnMachine(
        (task, machine) -> {
          if (task.startsWith(spec.id() + "/")) {
            zones.merge(world.workers.get(machine).zone, 1, Integer::sum);
          }
        });
    Map<String, Integer> found = new HashMap<>();
    Map<String, Long> since = roomSinceMs.computeIfAbsent(spec.id(), j -> new HashMap<>());
    since.keySet().retainAll(rooms.keySet());
    for (Room r : rooms.values()) {
      String zone = r.kind.zone();
      if (r.allows(spec) && (!spec.oneZone() || zones.isEmpty() || zones.containsKey(zone))) {
        int fits = r.fits(spec, need);
        if (fits == 0) {
          since.remove(r.machine);
        } else if (world.now() - since.computeIfAbsent(r.machine, n -> world.now()) >= SETTLED_MS) {
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
