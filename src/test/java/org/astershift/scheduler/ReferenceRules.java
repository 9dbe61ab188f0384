package org.astershift.scheduler;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks the rules of the protocol with a global view of all machines. The checks know only the
 * tasks that are on machines, the jobs, and the job ends that users saw; they use no leaders,
 * fencing tokens or records.
 */
final class ReferenceRules {
  /** The properties of a machine that the rules depend on. */
  record MachineView(String machine, String type, String zone, boolean spot) {}

  /** Violations with their times, in order; usually the first one caused the others. */
  final Set<String> violations = new LinkedHashSet<>();

  private final Map<String, Team> teams;
  private final long cancellationMs;
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<String, Map<String, MachineView>> machinesByTask = new LinkedHashMap<>();
  private final Map<String, Long> cancelledMs = new HashMap<>();
  private final Map<String, BitSet> completedTasks = new HashMap<>();
  private final Map<String, Boolean> publishedEnds = new HashMap<>();
  int starts;
  int completions;

  ReferenceRules(Map<String, Team> teams, long cancellationMs) {
    this.teams = teams;
    this.cancellationMs = cancellationMs;
  }

  void addJob(JobSpec spec) {
    jobs.put(spec.id(), spec);
    completedTasks.put(spec.id(), new BitSet());
  }

  private void recordViolation(String rule, long nowMs, String details) {
    violations.add(rule + " at " + nowMs + ": " + details);
  }

  /** Records that a task has fetched its image and is on its machine from now on. */
  void onTaskBegun(String job, int index, MachineView machine, long nowMs) {
    starts++;
    JobSpec spec = jobs.get(job);
    String task = job + "/" + index;
    Map<String, MachineView> machines = machinesByTask.computeIfAbsent(task, t -> new HashMap<>());
    if (!machines.isEmpty() && !machines.containsKey(machine.machine())) {
      recordViolation(
          "ran_twice",
          nowMs,
          task + " starts on " + machine + " and is already on " + machines.values());
    }
    boolean typeAllowed =
        spec.machineTypes() == null || spec.machineTypes().contains(machine.type());
    boolean zoneAllowed = spec.zone() == null || spec.zone().equals(machine.zone());
    if (!typeAllowed || !zoneAllowed || (machine.spot() && !spec.spotAllowed())) {
      recordViolation("wrong_place", nowMs, task + " on " + machine);
    }
    int othersInZone = 0;
    for (Map.Entry<String, Map<String, MachineView>> entry : machinesByTask.entrySet()) {
      if (!entry.getKey().startsWith(job + "/") || entry.getKey().equals(task)) {
        continue;
      }
      for (MachineView other : entry.getValue().values()) {
        othersInZone += other.zone().equals(machine.zone()) ? 1 : 0;
        if (spec.oneZone() && !other.zone().equals(machine.zone())) {
          recordViolation(
              "wrong_place",
              nowMs,
              task + " on " + machine + ", " + entry.getKey() + " on " + other);
        }
      }
    }
    if (spec.spread() && othersInZone + 1 > (spec.tasks() + 1) / 2) {
      recordViolation(
          "wrong_place", nowMs, task + " on " + machine + " exceeds the spread limit of its zone");
    }
    if (cancelledMs.containsKey(job)) {
      recordViolation(
          "ran_cancelled", nowMs, task + " starts after its cancellation was confirmed");
    }
    machines.put(machine.machine(), machine);
    checkQuota(spec.team(), nowMs);
  }

  private void checkQuota(String name, long nowMs) {
    double cpus = 0;
    double gpus = 0;
    for (Map.Entry<String, Map<String, MachineView>> entry : machinesByTask.entrySet()) {
      JobSpec spec = jobs.get(entry.getKey().substring(0, entry.getKey().indexOf('/')));
      if (spec.team().equals(name)) {
        cpus += entry.getValue().size() * spec.cpus();
        gpus += entry.getValue().size() * spec.gpus();
      }
    }
    Team team = teams.get(name);
    if ((team.maxCpus() > 0 && cpus > team.maxCpus() + 1e-6)
        || (team.maxGpus() > 0 && gpus > team.maxGpus() + 1e-6)) {
      recordViolation("quota", nowMs, name + " uses " + cpus + " cpus and " + gpus + " gpus");
    }
  }

  /** Records that the task is no longer on the machine. */
  void ended(String job, int index, String machine) {
    Map<String, MachineView> machines = machinesByTask.get(job + "/" + index);
    if (machines != null) {
      machines.remove(machine);
      if (machines.isEmpty()) {
        machinesByTask.remove(job + "/" + index);
      }
    }
  }

  void onTaskCompleted(String job, int index) {
    completions++;
    completedTasks.get(job).set(index);
  }

  boolean isCompleted(String job, int index) {
    return completedTasks.get(job).get(index);
  }

  /** Records that the job's end is durable, so that users may see it from now on. */
  void onJobEnded(String job, boolean cancelled, boolean requested, long nowMs) {
    Boolean earlierEnd = publishedEnds.putIfAbsent(job, cancelled);
    if (earlierEnd != null && earlierEnd != cancelled) {
      recordViolation("went_back", nowMs, job + " ended a second time in another way");
    }
    if (cancelled && !requested) {
      recordViolation(
          "went_back", nowMs, job + " ended as cancelled without a request by its user");
    }
    if (cancelled) {
      cancelledMs.put(job, nowMs);
    } else if (completedTasks.get(job).cardinality() < jobs.get(job).tasks()) {
      recordViolation(
          "not_done",
          nowMs,
          job + " ended as done with only these tasks completed: " + completedTasks.get(job));
    }
  }

  boolean ended(String job) {
    return publishedEnds.containsKey(job);
  }

  /** Checks that no task of a cancelled job runs beyond the time promised for cancellations. */
  void checkCancelled(long nowMs) {
    if (cancelledMs.isEmpty()) {
      return;
    }
    Set<String> late = new HashSet<>();
    for (String task : machinesByTask.keySet()) {
      Long confirmedMs = cancelledMs.get(task.substring(0, task.indexOf('/')));
      if (confirmedMs != null && nowMs - confirmedMs > cancellationMs) {
        late.add(task);
      }
    }
    late.forEach(
        task ->
            recordViolation(
                "ran_cancelled",
                nowMs / 1000 * 1000,
                task + " on " + machinesByTask.get(task).values()));
  }
}
