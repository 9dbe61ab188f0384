package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The attempts on one machine that may be preempted for jobs of one priority. Computed once a pass
 * and cached in {@link Machine#preemptible}: many jobs need it for the whole fleet, and it changes
 * only on machines where a task is placed or stopped.
 */
final class PreemptibleWork {
  private final Priority priority;
  private final boolean forTightObjective;

  /** Capacity that attempts which are stopping already will free. */
  private final FreeCapacity freedByStopping = new FreeCapacity();

  /** {@link #freedByStopping}, and the capacity that all candidates would free. */
  private final FreeCapacity freedIfAllStop = new FreeCapacity();

  /** Attempts that may be preempted, those with the least work to lose first. */
  private final List<TaskAttempt> candidates = new ArrayList<>();

  private PreemptibleWork(Machine machine, Priority priority, boolean tightObjective, long nowMs) {
    this.priority = priority;
    this.forTightObjective = tightObjective;
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.isExited()) {
        continue;
      }
      if (attempt.isUnwanted()) {
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

  /**
   * Returns the work on the machine that may be preempted for jobs of this job's priority and kind
   * of objective. Uses the result cached earlier in this pass, if any.
   */
  static PreemptibleWork getOrCreate(Machine machine, Job job, long nowMs) {
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

  /** Returns whether a task would find room if all candidates stopped. */
  boolean canMakeRoomFor(Machine machine, JobSpec spec) {
    return freedIfAllStop.hasRoomTogetherWith(machine, spec);
  }

  /**
   * Returns the attempts to preempt for one task, those with the least loss first: none if the task
   * fits without, null if all candidates would not be enough.
   */
  List<TaskAttempt> selectVictims(Machine machine, JobSpec spec) {
    FreeCapacity available = new FreeCapacity();
    available.addFree(machine);
    available.add(freedByStopping);
    if (available.hasRoomFor(spec)) {
      return List.of();
    }
    List<TaskAttempt> victims = new ArrayList<>();
    for (TaskAttempt attempt : candidates) {
      victims.add(attempt);
      available.add(attempt.job.spec);
      if (available.hasRoomFor(spec)) {
        return victims;
      }
    }
    return null;
  }

  /** Returns the work that is lost if the attempt stops now, in processor seconds. */
  static double lostCpuS(TaskAttempt attempt, long nowMs) {
    double ranS = attempt.runningSinceMs < 0 ? 0 : (nowMs - attempt.runningSinceMs) / 1000.0;
    return 1 + ranS * Math.max(attempt.job.spec.cpus(), 1);
  }
}
