package org.astershift.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;

/**
 * The wait queue's window: the first tasks that may start now, as jobs, since all tasks of a job
 * share image and needs. Sorted anew by each pass; between passes it is used as it was.
 */
final class Queue {
  private final Cluster c;
  private final Map<Priority, List<Job>> window = new EnumMap<>(Priority.class);

  Queue(Cluster cluster) {
    this.c = cluster;
  }

  /**
   * Jobs of this priority within the window, the first to serve first; some may be served by now.
   */
  List<Job> tier(Priority priority) {
    return window.getOrDefault(priority, List.of());
  }

  boolean isEmpty() {
    return window.isEmpty();
  }

  void refresh(long nowMs) {
    window.clear();
    List<Job> queue = new ArrayList<>();
    for (Job job : c.waiting) {
      if (startable(job, nowMs)) {
        job.urgencyMs = urgencyMs(job, nowMs);
        job.belowGuarantee = belowGuarantee(job);
        queue.add(job);
      }
    }
    queue.sort(
        Comparator.comparing((Job j) -> j.spec.priority())
            .thenComparing(j -> !j.belowGuarantee)
            .thenComparingDouble(j -> j.urgencyMs)
            .thenComparingLong(j -> j.submittedMs));
    int tasks = 0;
    for (Job job : queue) {
      window.computeIfAbsent(job.spec.priority(), p -> new ArrayList<>()).add(job);
      tasks += job.waitingCount();
      if (tasks >= c.policy.window()) {
        return;
      }
    }
  }

  /** Whether tasks of the job may be placed now. */
  boolean startable(Job job, long nowMs) {
    if (job.waiting.isEmpty()
        || job.cancelWanted
        || job.state != Job.State.LIVE
        || nowMs < job.pausedUntilMs) {
      return false;
    }
    // What is not heard may hold tasks of opened jobs, or use up the limit of a team.
    return !c.unheard() || !(job.inherited || limitTouches(job));
  }

  /** Whether its team's limit concerns what the job takes. */
  private boolean limitTouches(Job job) {
    Team team = c.facts.teams().get(job.spec.team());
    return team != null && (team.cpusMax() > 0 || (team.gpusMax() > 0 && job.spec.gpus() > 0));
  }

  private boolean belowGuarantee(Job job) {
    Team team = c.facts.teams().get(job.spec.team());
    if (team == null) {
      return false;
    }
    double[] use = c.teamUse(team.name());
    JobSpec spec = job.spec;
    return spec.gpus() > 0
        ? use[1] + spec.gpus() <= team.gpus() + 1e-9
        : use[0] + spec.cpus() <= team.cpus() + 1e-9;
  }

  /** When the job should be started, on the steady clock; later is less urgent. */
  private static double urgencyMs(Job job, long nowMs) {
    JobSpec spec = job.spec;
    if (job.startAimS != null) {
      return job.submittedMs + job.startAimS * 1000;
    }
    double deadline = spec.deadlineS() != null ? spec.deadlineS() : Constants.NO_DEADLINE_S;
    double start = job.submittedMs + (deadline - spec.estimateS()) * 1000;
    // A job that cannot be in time any more must not make others late as well.
    double hopeless = start + spec.estimateS() * Constants.HOPELESS_SHARE * 1000;
    return nowMs > hopeless ? start + Constants.OVERDUE_BEHIND_MS : start;
  }
}
