package org.astershift.scheduler;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The tasks of one attempt of a gang, which wait for one another or run together. */
final class FuzzGang {
  final Map<FuzzTask, FuzzWorker> members = new LinkedHashMap<>();
  boolean running;
  boolean broken;

  /**
   * Completes the whole gang if all its members still run undisturbed; otherwise ends the members.
   */
  void complete(FuzzSimulation sim) {
    for (FuzzWorker member : List.copyOf(members.values())) {
      // Removes the tasks that the member's lease no longer covers from the gang.
      member.endTasksIfLeaseExpired();
    }
    boolean isIntact = !broken;
    for (Map.Entry<FuzzTask, FuzzWorker> entry : members.entrySet()) {
      isIntact &= !entry.getKey().stopped && !entry.getValue().hung && entry.getValue().alive;
    }
    if (!isIntact) {
      // A member that hangs counts as lost for the others, which exit. Tasks of hung workers end
      // when their leases expire.
      for (Map.Entry<FuzzTask, FuzzWorker> entry : new LinkedHashMap<>(members).entrySet()) {
        entry
            .getValue()
            .afterInIncarnation(0, () -> entry.getValue().exit(entry.getKey(), "peers"));
      }
      return;
    }
    broken = true;
    Map<FuzzTask, FuzzWorker> completed = new LinkedHashMap<>(members);
    completed.keySet().forEach(task -> sim.rules.onTaskCompleted(task.job, task.index));
    completed.keySet().forEach(task -> sim.digest.taskCompleted(sim.nowMs, task.taskName()));
    completed.forEach((task, worker) -> worker.exit(task, "done"));
  }
}
