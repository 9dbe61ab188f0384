package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What a machine could give up for jobs of one priority. Found once a pass and kept in {@link
 * Machine#preemptible}: many jobs ask for it on the whole fleet, and it changes only where
 * something is placed or stopped.
 */
final class PreemptibleWork {
  private final Priority priority;
  private final boolean forTightObjective;

  /** Freed by attempts that are stopping already. */
  private final FreeCapacity freedByStopping = new FreeCapacity();

  /** Freed by these and if all candidates stop. */
  private final FreeCapacity freedIfAllStop = new FreeCapacity();

  /** Those with the least work to lose first. */
  private final List<TaskAttempt> candidates = new ArrayList<>();

  private PreemptibleWork(Machine machine, Priority priority, boolean tightObjective, long nowMs) {
    this.priority = priority;
    this.forTightObjective = tightObjective;
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.exited()) {
        continue;
      }
      if (attempt.unwanted()) {
        freedByStopping.add(attempt.job.spec);
        freedIfAllStop.add(attempt.job.spec);
      } else if (isPreemptible(attempt.job, nowMs)) {
        candidates.add(attempt);
        freedIfAllStop.add(attempt.job.spec);
      }
    }
    if (candidates.size() > 1) {
      candidates.sort(Comparator.comparingDouble(attempt -> lostCpuS(attempt, nowMs)));
    }
  }

  /** Found now, or earlier in this pass for the same priority and kind of objective. */
  static PreemptibleWork of(Machine machine, Job job, long nowMs) {
    boolean tightObjective = job.hasTightStartObjective();
    Priority priority = job.spec.priority();
    PreemptibleWork work = machine.preemptible;
    if (work == null || work.forTightObjective != tightObjective || work.priority != priority) {
      work = new PreemptibleWork(machine, priority, tightObjective, nowMs);
      machine.preemptible = work;
    }
    return work;
  }

  private boolean isPreemptible(Job job, long nowMs) {
    return job.spec.kind() != JobKind.SERVICE
        && (forTightObjective || !job.hasObjective)
        && job.spec.priority().compareTo(priority) > 0
        && (priority == Priority.PRODUCTION || !MinimumShare.isProtected(job, nowMs));
  }

  /** Whether there would be room for a task if all candidates stopped. */
  boolean canMakeRoomFor(Machine machine, JobSpec spec) {
    return freedIfAllStop.hasRoomCombinedWith(machine, spec);
  }

  /** What has to stop for one task, the least loss first; null if all would not be enough. */
  List<TaskAttempt> victimsFor(Machine machine, JobSpec spec) {
    FreeCapacity room = new FreeCapacity();
    room.addFree(machine);
    room.add(freedByStopping);
    if (room.hasRoomFor(spec)) {
      return List.of();
    }
    List<TaskAttempt> victims = new ArrayList<>();
    for (TaskAttempt attempt : candidates) {
      victims.add(attempt);
      room.add(attempt.job.spec);
      if (room.hasRoomFor(spec)) {
        return victims;
      }
    }
    return null;
  }

  /** Work lost if the task stops now, in processor seconds. */
  static double lostCpuS(TaskAttempt attempt, long nowMs) {
    double ranS = attempt.runningSinceMs < 0 ? 0 : (nowMs - attempt.runningSinceMs) / 1000.0;
    return 1 + ranS * Math.max(attempt.job.spec.cpus(), 1);
  }
}
