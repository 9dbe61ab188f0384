import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * What the platform can see of the tasks: which of them are on which machine ("from the moment it has
 * its image until it exits, is killed or its machine is gone"). Finds broken rules of
 * PROTOCOL-astershift.md, "Rules".
 */
final class Rules {
  private final Log log;
  private final double cancelS;

  /** The machines on which a task is, by task. */
  private final Map<String, List<String>> onMachines = new HashMap<>();

  /** The most that a team's tasks may use, as {processors, accelerators}; 0 is no limit. */
  final Map<String, double[]> teamLimits = new HashMap<>();

  private final Map<String, double[]> teamUsage = new HashMap<>();

  /** The zones in which tasks of a job are, by job, with their number. */
  private final Map<String, Map<String, Integer>> zones = new HashMap<>();

  private final Map<String, Double> cancelledAtS = new HashMap<>();
  private final Map<String, TreeSet<Integer>> doneTasks = new HashMap<>();

  /** The broken rules. */
  final List<String> broken = new ArrayList<>();

  int starts;

  Rules(Log log, double cancelS) {
    this.log = log;
    this.cancelS = cancelS;
  }

  synchronized void broken(String rule, String what) {
    broken.add(rule + ": " + what);
    log.line("RULE BROKEN " + rule + ": " + what);
  }

  /** A task has its image on a machine. */
  synchronized void onStart(String task, Worker worker, Map<String, Object> spec) {
    String machine = worker.name;
    starts++;
    checkPlace(task, worker, spec);
    addUsage(spec, 1);
    double[] usage = teamUsage.get((String) spec.get("crew"));
    double[] limit = teamLimits.getOrDefault((String) spec.get("crew"), new double[2]);
    for (int i = 0; i < 2; i++) {
      if (limit[i] > 0 && usage[i] > limit[i] + 1e-6) {
        broken("quota", spec.get("crew") + " uses " + usage[i] + " of " + limit[i] + " with " + task);
      }
    }
    List<String> machines = onMachines.computeIfAbsent(task, t -> new ArrayList<>());
    if (!machines.isEmpty()) {
      broken("ran_twice", task + " starts on " + machine + " while it is on " + machines);
    }
    machines.add(machine);
    checkCancelled(task, machine + " starts it");
  }

  synchronized void onGone(String task, Worker worker, Map<String, Object> spec) {
    onMachines.get(task).remove(worker.name);
    addUsage(spec, -1);
    Map<String, Integer> counts = zones.get(task.split("/")[0]);
    counts.merge(worker.zone, -1, Integer::sum);
    counts.values().removeIf(count -> count == 0);
  }

  private void addUsage(Map<String, Object> spec, int sign) {
    double[] usage = teamUsage.computeIfAbsent((String) spec.get("crew"), c -> new double[2]);
    usage[0] += sign * Json.number(spec.get("vcpus"));
    usage[1] += sign * Json.number(spec.get("gpus"));
  }

  private void checkPlace(String task, Worker worker, Map<String, Object> spec) {
    Map<String, Integer> counts = zones.computeIfAbsent(task.split("/")[0], j -> new HashMap<>());
    counts.merge(worker.zone, 1, Integer::sum);
    long shards = Json.integer(spec.get("shards"));
    List<?> hulls = spec.get("hulls") == null ? null : Json.list(spec.get("hulls"));
    boolean wrong =
        (hulls != null && !hulls.contains(worker.hull.name()))
            || (spec.get("harbor") != null && !spec.get("harbor").equals(worker.zone))
            || (worker.spot && !Boolean.TRUE.equals(spec.get("ebbtide")))
            || (Boolean.TRUE.equals(spec.get("one_zone")) && counts.size() > 1)
            || (Boolean.TRUE.equals(spec.get("apart")) && counts.get(worker.zone) > (shards + 1) / 2);
    if (wrong) {
      broken("wrong_place", task + " starts on " + worker.name + " in " + worker.zone + ", tasks by zone " + counts);
    }
  }

  synchronized void onDone(String task) {
    String[] parts = task.split("/");
    doneTasks.computeIfAbsent(parts[0], j -> new TreeSet<>()).add(Integer.parseInt(parts[1]));
  }

  /** Returns how many tasks of the job have completed on a machine. */
  synchronized int doneCount(String job) {
    return doneTasks.getOrDefault(job, new TreeSet<>()).size();
  }

  synchronized boolean isOnMachine(String task) {
    return !onMachines.getOrDefault(task, List.of()).isEmpty();
  }

  /** The user was told that the job is cancelled. */
  synchronized void onCancelTold(String job) {
    cancelledAtS.putIfAbsent(job, log.seconds());
  }

  private void checkCancelled(String task, String what) {
    Double atS = cancelledAtS.get(task.split("/")[0]);
    if (atS != null && log.seconds() > atS + cancelS) {
      broken("ran_cancelled", task + ": " + what + ", told " + (log.seconds() - atS) + " s ago");
    }
  }

  /** To be called now and then. */
  synchronized void checkCancelled() {
    for (Map.Entry<String, List<String>> entry : new LinkedHashMap<>(onMachines).entrySet()) {
      if (!entry.getValue().isEmpty()) {
        checkCancelled(entry.getKey(), "is on " + entry.getValue());
      }
    }
  }
}
