package org.astershift.scheduler;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The tasks of one job for which a scale-out plan looks for room. For a job that has to be in one
 * zone only the room of one zone counts, and for a spread job no more of a zone than the job may
 * use: otherwise no machine would be requested for the job, and it would wait next to room that it
 * cannot take.
 */
final class Demand {
  final Job job;
  private int remainingTasks;
  private String onlyZone;
  private final Map<String, Integer> assignedTasksByZone = new HashMap<>();

  Demand(Job job, int tasks) {
    this.job = job;
    this.remainingTasks = tasks;
  }

  int remainingTasks() {
    return remainingTasks;
  }

  /** Counts only the room of this zone from now on. */
  void restrictToZone(String zone) {
    onlyZone = zone;
  }

  /** Returns how many more tasks this zone may take. */
  int maxTasksIn(String zone) {
    if ((onlyZone != null && !onlyZone.equals(zone)) || !job.isZoneAllowed(zone)) {
      return 0;
    }
    return job.spec.spread()
        ? Math.min(
            remainingTasks,
            job.spec.spreadLimit()
                - job.attemptsInZone(zone)
                - assignedTasksByZone.getOrDefault(zone, 0))
        : remainingTasks;
  }

  /** Takes room for as many of the remaining tasks as may run and fit on these machines. */
  void assignTo(List<PlannedMachine> machines) {
    for (PlannedMachine machine : machines) {
      if (remainingTasks == 0) {
        return;
      }
      if (!machine.hasRoomFor(job.spec)) {
        continue; // most machines are full, and this runs for each job and machine
      }
      for (int n = maxTasksIn(machine.zone); n > 0 && machine.tryAllocate(job.spec); n--) {
        assignedTasksByZone.merge(machine.zone, 1, Integer::sum);
        remainingTasks--;
      }
    }
  }

  /** Returns how many of the remaining tasks find room in this zone. */
  int countFittingTasks(List<PlannedMachine> machines, String zone) {
    int fitting = 0;
    int limit = maxTasksIn(zone);
    for (PlannedMachine machine : machines) {
      if (fitting < limit && machine.zone.equals(zone)) {
        fitting += machine.countAllowedTasks(job.spec, limit - fitting);
      }
    }
    return fitting;
  }
}
