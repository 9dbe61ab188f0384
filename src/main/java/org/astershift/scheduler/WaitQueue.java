package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;

/**
 * The wait queue's window: the first tasks that may start now, as jobs, since all tasks of a job
 * share image and needs. Sorted anew by each pass; between passes it is used as it was.
 */
final class WaitQueue {
  private final ClusterState c;
  private final Map<Priority, List<Job>> window = new EnumMap<>(Priority.class);

  /** Those of them for which something is aimed at, gangs apart. */
  private final List<Job> aimed = new ArrayList<>();

  private final DeadlineAdmission triage;

  /** Of all jobs in the window, as they were when it was sorted. */
  private MinimumRequirements smallest = new MinimumRequirements(List.of());

  WaitQueue(ClusterState cluster) {
    this.c = cluster;
    this.triage = new DeadlineAdmission(cluster);
  }

  /**
   * Jobs of this priority within the window, the first to serve first; some may be served by now.
   */
  List<Job> tier(Priority priority) {
    return window.getOrDefault(priority, List.of());
  }

  /**
   * Whether a job with an aim waits that may use the machine: then room that is too small for its
   * tasks must not go to those with no aim, or it would never become large enough.
   */
  boolean aimedWaits(Machine m) {
    for (Job job : aimed) {
      if (!job.waiting.isEmpty()
          && (job.spec.spot() || !m.spot)
          && job.usableTypes.contains(m.type)
          && job.zoneAllowed(m.zone)
          && c.teamAllows(job)) {
        return true;
      }
    }
    return false;
  }

  /** Whether the machine has room for anything in the window. */
  boolean mayUse(Machine m) {
    return smallest.fits(m);
  }

  boolean isEmpty() {
    return window.isEmpty();
  }

  void refresh(long nowMs) {
    window.clear();
    List<Job> queue = new ArrayList<>();
    Map<Priority, List<Job>> timed = new EnumMap<>(Priority.class);
    for (Job job : c.waiting) {
      FaultAttribution.lookAt(job, nowMs);
      if (startable(job, nowMs)) {
        boolean byAim = job.startAimS != null && !job.timed();
        job.urgencyMs = byAim ? job.submittedMs + job.startAimS * 1000 : job.startMs();
        job.spare = !job.aimed && !belowGuarantee(job);
        queue.add(job);
        if (job.timed() && !job.suspect()) {
          timed.computeIfAbsent(job.spec.priority(), p -> new ArrayList<>()).add(job);
        }
      }
    }
    c.floor.refresh(queue, nowMs);
    timed.forEach((priority, jobs) -> triage.sort(priority, jobs, nowMs));
    queue.sort(
        Comparator.comparing((Job j) -> j.spec.priority())
            .thenComparing(Job::suspect)
            .thenComparing(j -> !j.guaranteed)
            .thenComparing(j -> j.spare)
            .thenComparingDouble(j -> j.urgencyMs)
            .thenComparingLong(j -> j.submittedMs));
    window(queue);
  }

  private void window(List<Job> queue) {
    int tasks = 0;
    int held = 0;
    Map<Job.PlacementConstraints, Integer> looked = new HashMap<>();
    RemainingQuota allowance = new RemainingQuota(c);
    List<Job> all = new ArrayList<>();
    aimed.clear();
    for (Job job : queue) {
      // What its team's limit keeps from starting takes no place of what may start: the window was
      // full of one team's tasks while a tenth of the machines stood idle and others' waited.
      int startable = allowance.take(job, job.waitingCount());
      tasks += startable;
      held += job.waitingCount() - startable;
      if (startable == 0 && held >= c.policy.window()) {
        continue;
      }
      // Nor does what fits nowhere keep from it what may start elsewhere: of each kind of place and
      // need some are looked at beyond its end.
      int same = looked.merge(job.place, startable, Integer::sum) - startable;
      if (tasks - startable >= c.policy.window()
          && (startable == 0 || same >= Constants.WINDOW_BEYOND)) {
        continue;
      }
      if (job.aimed && job.spec.kind() != JobKind.GANG && !job.suspect()) {
        aimed.add(job);
      }
      window.computeIfAbsent(job.spec.priority(), p -> new ArrayList<>()).add(job);
      all.add(job);
    }
    // What is starved goes before the window, and most of it stands beyond its end.
    c.floor.starved().forEach(g -> all.addAll(g.old()));
    smallest = new MinimumRequirements(all);
  }

  /** Whether tasks of the job may be placed now. */
  boolean startable(Job job, long nowMs) {
    if (job.waiting.isEmpty()
        || job.cancelWanted
        || job.state != Job.State.LIVE
        || nowMs < job.pausedUntilMs) {
      return false;
    }
    // A broken job is probed by one task at a time.
    if (job.beingProbed()) {
      return false;
    }
    // What is not heard may hold tasks of opened jobs; what it may use of limits is in teamAllows.
    return !c.unheard() || !job.inherited;
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
}
