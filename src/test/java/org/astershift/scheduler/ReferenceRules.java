package org.astershift.scheduler;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The rules of the protocol, checked with a view of every machine: it knows nothing of leaders,
 * fencing tokens or records, only tasks that are on machines, jobs, and the ends that users saw.
 */
final class ReferenceRules {
  /** A machine as the rules look at it. */
  record MachineView(String machine, String type, String zone, boolean spot) {}

  /** Violations, with their times; the first is mostly the cause. */
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

  private void recordViolation(String rule, long nowMs, String what) {
    violations.add(rule + " at " + nowMs + ": " + what);
  }

  /** A task has its image and is on its machine from now on. */
  void onTaskBegun(String job, int index, MachineView where, long nowMs) {
    starts++;
    JobSpec spec = jobs.get(job);
    String task = job + "/" + index;
    Map<String, MachineView> places = machinesByTask.computeIfAbsent(task, t -> new HashMap<>());
    if (!places.isEmpty() && !places.containsKey(where.machine())) {
      recordViolation(
          "ran_twice", nowMs, task + " starts on " + where + " and is on " + places.values());
    }
    boolean type = spec.machineTypes() == null || spec.machineTypes().contains(where.type());
    boolean zone = spec.zone() == null || spec.zone().equals(where.zone());
    if (!type || !zone || (where.spot() && !spec.spotAllowed())) {
      recordViolation("wrong_place", nowMs, task + " on " + where);
    }
    int inZone = 0;
    for (Map.Entry<String, Map<String, MachineView>> entry : machinesByTask.entrySet()) {
      if (!entry.getKey().startsWith(job + "/") || entry.getKey().equals(task)) {
        continue;
      }
      for (MachineView place : entry.getValue().values()) {
        inZone += place.zone().equals(where.zone()) ? 1 : 0;
        if (spec.oneZone() && !place.zone().equals(where.zone())) {
          recordViolation(
              "wrong_place", nowMs, task + " on " + where + ", " + entry.getKey() + " on " + place);
        }
      }
    }
    if (spec.spread() && inZone + 1 > (spec.tasks() + 1) / 2) {
      recordViolation("wrong_place", nowMs, task + " on " + where + " is one too many in its zone");
    }
    if (cancelledMs.containsKey(job)) {
      recordViolation("ran_cancelled", nowMs, task + " starts after its confirmation");
    }
    places.put(where.machine(), where);
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
      recordViolation("quota", nowMs, name + " uses " + cpus + " and " + gpus);
    }
  }

  /** The task is off its machine. */
  void ended(String job, int index, String machine) {
    Map<String, MachineView> places = machinesByTask.get(job + "/" + index);
    if (places != null) {
      places.remove(machine);
      if (places.isEmpty()) {
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

  /** The end is durable: from now on users may see it. */
  void onJobEnded(String job, boolean cancelled, boolean requested, long nowMs) {
    Boolean before = publishedEnds.putIfAbsent(job, cancelled);
    if (before != null && before != cancelled) {
      recordViolation("went_back", nowMs, job);
    }
    if (cancelled && !requested) {
      recordViolation("went_back", nowMs, job + " was not cancelled by its user");
    }
    if (cancelled) {
      cancelledMs.put(job, nowMs);
    } else if (completedTasks.get(job).cardinality() < jobs.get(job).tasks()) {
      recordViolation("not_done", nowMs, job + " " + completedTasks.get(job));
    }
  }

  boolean ended(String job) {
    return publishedEnds.containsKey(job);
  }

  /** Checks that no task runs on beyond the time promised for a cancellation. */
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
        t ->
            recordViolation(
                "ran_cancelled", nowMs / 1000 * 1000, t + " on " + machinesByTask.get(t).values()));
  }
}
