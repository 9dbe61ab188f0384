package org.astershift.scheduler;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The rules of the protocol as one who sees every machine checks them: knows nothing of leaders,
 * tokens or records, only of tasks that are on machines, jobs, and what users were told.
 */
final class ReferenceRules {
  /** A machine as the rules look at it. */
  record Place(String machine, String type, String zone, boolean spot) {}

  /** What broke, with its time; the first is the cause mostly. */
  final Set<String> broken = new java.util.LinkedHashSet<>();

  private final Map<String, Team> teams;
  private final long cancelMs;
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<String, Map<String, Place>> on = new LinkedHashMap<>();
  private final Map<String, Long> cancelledMs = new HashMap<>();
  private final Map<String, BitSet> completed = new HashMap<>();
  private final Map<String, Boolean> told = new HashMap<>();
  int starts;
  int completions;

  ReferenceRules(Map<String, Team> teams, long cancelMs) {
    this.teams = teams;
    this.cancelMs = cancelMs;
  }

  void job(JobSpec spec) {
    jobs.put(spec.id(), spec);
    completed.put(spec.id(), new BitSet());
  }

  private void fail(String rule, long nowMs, String what) {
    broken.add(rule + " at " + nowMs + ": " + what);
  }

  /** A task has its image and is on its machine from now on. */
  void begins(String job, int index, Place where, long nowMs) {
    starts++;
    JobSpec spec = jobs.get(job);
    String task = job + "/" + index;
    Map<String, Place> places = on.computeIfAbsent(task, t -> new HashMap<>());
    if (!places.isEmpty() && !places.containsKey(where.machine())) {
      fail("ran_twice", nowMs, task + " starts on " + where + " and is on " + places.values());
    }
    boolean type = spec.machineTypes() == null || spec.machineTypes().contains(where.type());
    boolean zone = spec.zone() == null || spec.zone().equals(where.zone());
    if (!type || !zone || (where.spot() && !spec.spotAllowed())) {
      fail("wrong_place", nowMs, task + " on " + where);
    }
    int inZone = 0;
    for (Map.Entry<String, Map<String, Place>> e : on.entrySet()) {
      if (!e.getKey().startsWith(job + "/") || e.getKey().equals(task)) {
        continue;
      }
      for (Place p : e.getValue().values()) {
        inZone += p.zone().equals(where.zone()) ? 1 : 0;
        if (spec.oneZone() && !p.zone().equals(where.zone())) {
          fail("wrong_place", nowMs, task + " on " + where + ", " + e.getKey() + " on " + p);
        }
      }
    }
    if (spec.spread() && inZone + 1 > (spec.tasks() + 1) / 2) {
      fail("wrong_place", nowMs, task + " on " + where + " is one too many in its zone");
    }
    if (cancelledMs.containsKey(job)) {
      fail("ran_cancelled", nowMs, task + " starts after its confirmation");
    }
    places.put(where.machine(), where);
    limit(spec.team(), nowMs);
  }

  private void limit(String name, long nowMs) {
    double cpus = 0;
    double gpus = 0;
    for (Map.Entry<String, Map<String, Place>> e : on.entrySet()) {
      JobSpec spec = jobs.get(e.getKey().substring(0, e.getKey().indexOf('/')));
      if (spec.team().equals(name)) {
        cpus += e.getValue().size() * spec.cpus();
        gpus += e.getValue().size() * spec.gpus();
      }
    }
    Team team = teams.get(name);
    if ((team.maxCpus() > 0 && cpus > team.maxCpus() + 1e-6)
        || (team.maxGpus() > 0 && gpus > team.maxGpus() + 1e-6)) {
      fail("quota", nowMs, name + " uses " + cpus + " and " + gpus);
    }
  }

  /** It is off its machine. */
  void over(String job, int index, String machine) {
    Map<String, Place> places = on.get(job + "/" + index);
    if (places != null) {
      places.remove(machine);
      if (places.isEmpty()) {
        on.remove(job + "/" + index);
      }
    }
  }

  void completed(String job, int index) {
    completions++;
    completed.get(job).set(index);
  }

  boolean isCompleted(String job, int index) {
    return completed.get(job).get(index);
  }

  /** From now on users may be told of this end. */
  void ended(String job, boolean cancelled, boolean wished, long nowMs) {
    Boolean before = told.putIfAbsent(job, cancelled);
    if (before != null && before != cancelled) {
      fail("went_back", nowMs, job);
    }
    if (cancelled && !wished) {
      fail("went_back", nowMs, job + " was not cancelled by its user");
    }
    if (cancelled) {
      cancelledMs.put(job, nowMs);
    } else if (completed.get(job).cardinality() < jobs.get(job).tasks()) {
      fail("not_done", nowMs, job + " " + completed.get(job));
    }
  }

  boolean over(String job) {
    return told.containsKey(job);
  }

  /** Looks for cancelled tasks that live on. */
  void look(long nowMs) {
    if (cancelledMs.isEmpty()) {
      return;
    }
    Set<String> late = new HashSet<>();
    for (String task : on.keySet()) {
      Long at = cancelledMs.get(task.substring(0, task.indexOf('/')));
      if (at != null && nowMs - at > cancelMs) {
        late.add(task);
      }
    }
    late.forEach(t -> fail("ran_cancelled", nowMs / 1000 * 1000, t + " on " + on.get(t).values()));
  }
}
