package org.astershift.scheduler;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Tasks of one attempt of a gang that wait for one another, or run together. */
final class FuzzGang {
  final Map<FuzzTask, FuzzWorker> members = new LinkedHashMap<>();
  boolean running;
  boolean broken;

  /** A gang that still runs, undisturbed, completes as a whole. */
  void complete(FuzzSimulation sim) {
    for (FuzzWorker member : List.copyOf(members.values())) {
      member.endTasksIfLeaseExpired(); // takes what its lease no longer covers out of the gang
    }
    boolean fine = !broken;
    for (Map.Entry<FuzzTask, FuzzWorker> entry : members.entrySet()) {
      fine &= !entry.getKey().stopped && !entry.getValue().hung && entry.getValue().alive;
    }
    if (!fine) {
      // Whoever hangs is gone for the others; these exit, and the last leases end the rest.
      for (Map.Entry<FuzzTask, FuzzWorker> entry : new LinkedHashMap<>(members).entrySet()) {
        entry
            .getValue()
            .afterInIncarnation(0, () -> entry.getValue().exit(entry.getKey(), "peers"));
      }
      return;
    }
    broken = true;
    Map<FuzzTask, FuzzWorker> all = new LinkedHashMap<>(members);
    all.keySet().forEach(t -> sim.rules.onTaskCompleted(t.job, t.index));
    all.keySet().forEach(t -> sim.digest.completed(sim.nowMs, t.taskName()));
    all.forEach((t, w) -> w.exit(t, "done"));
  }
}
