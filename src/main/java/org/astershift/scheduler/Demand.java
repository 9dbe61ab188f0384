package org.astershift.scheduler;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The tasks of one job for which a scale-out plan looks for room. For a job that has to be in one
 * zone only the room of one zone counts, and for a spread job no more of a zone than the job may
 * use. Otherwise no machine would be requested for the job, and the job would wait next to room
 * that it cannot take.
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

  /** Assigns as many of the remaining tasks to these machines as may run and fit there. */
  void assignTo(List<PlannedMachine> machines) {
    for (PlannedMachine machine : machines) {
      if (remainingTasks == 0) {
        return;
      }
      if (!machine.hasRoomFor(job.spec)) {
        continue; // a cheap check first: most machines are full, and each job checks each machine
      }
      for (int taskRoom = maxTasksIn(machine.zone);
          taskRoom > 0 && machine.tryAllocate(job.spec);
          taskRoom--) {
        assignedTasksByZone.merge(machine.zone, 1, Integer::sum);
        remainingTasks--;
      }
    }
  }

  /**
   * Returns how many of the remaining tasks find room on those of the machines that are in this
   * zone.
   */
  int countFittingTasks(List<PlannedMachine> machines, String zone) {
    int fittingTasks = 0;
    int maxTasks = maxTasksIn(zone);
    for (PlannedMachine machine : machines) {
      if (fittingTasks < maxTasks && machine.zone.equals(zone)) {
        fittingTasks += machine.countAllowedTasks(job.spec, maxTasks - fittingTasks);
      }
    }
    return fittingTasks;
  }
}
