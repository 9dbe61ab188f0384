package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops work of lower priority for tasks with a tight aim that found no room. First where their
 * image is: fetching it may take longer than the aim. These tasks then wait for the room made. Work
 * at which nobody aims makes room for any of higher priority with an aim: it only fills gaps, and
 * its long tasks would else hold the machines for as long as they run.
 */
final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);
  private static final double TOLERANCE = 1e-6;
  private static final Comparator<Choice> CHEAPEST =
      Comparator.comparingDouble(Choice::loss).thenComparingInt(Choice::order);
  private final ClusterState c;
  private final Placement placement;

  /** Room on a machine, free already or freed by what stops, less what other tasks wait for. */
  private static final class Room {
    double cpus;
    double gpus;
    double memory;
    int tasks;

    void add(Room r) {
      tasks += r.tasks;
      cpus += r.cpus;
      gpus += r.gpus;
      memory += r.memory;
    }

    void addFree(Machine m) {
      tasks += m.freeTasks();
      cpus += m.freeCpus();
      gpus += m.freeGpus();
      memory += m.freeMemory();
    }

    void add(JobSpec s) {
      tasks++;
      cpus += s.cpus();
      gpus += s.gpus();
      memory += s.memoryGb();
    }

    boolean holds(JobSpec s) {
      return tasks > 0
          && cpus + TOLERANCE >= s.cpus()
          && gpus + TOLERANCE >= s.gpus()
          && memory + TOLERANCE >= s.memoryGb();
    }
  }

  /** What to stop on one machine, and what that loses; {@code order} decides between equal ones. */
  private record Choice(Machine machine, List<TaskAttempt> victims, double loss, int order) {}

  /**
   * What a machine could give up for jobs of one priority, found once a pass: many jobs ask it of
   * the whole fleet, and the answer changes only where something is placed or stopped.
   */
  static final class Stoppable {
    private final Priority priority;
    private final boolean tight;

    /** Freed by what stops already. */
    private final Room ending = new Room();

    /** Freed by these and if all candidates stop. */
    private final Room most = new Room();

    /** The cheapest first. */
    private final List<TaskAttempt> candidates = new ArrayList<>();

    private Stoppable(Machine m, Priority priority, boolean tight, long nowMs) {
      this.priority = priority;
      this.tight = tight;
      for (TaskAttempt run : m.runs.values()) {
        if (run.exited()) {
          continue;
        }
        if (run.unwanted()) {
          ending.add(run.job.spec);
          most.add(run.job.spec);
        } else if (run.job.spec.kind() != JobKind.SERVICE
            && (tight || !run.job.aimed)
            && run.job.spec.priority().compareTo(priority) > 0
            && (priority == Priority.PRODUCTION || !MinimumShare.keeps(run.job, nowMs))) {
          candidates.add(run);
          most.add(run.job.spec);
        }
      }
      if (candidates.size() > 1) {
        candidates.sort(Comparator.comparingDouble(r -> lost(r, nowMs)));
      }
    }

    /** Whether there would be room for a task if all candidates stopped. */
    private boolean mayHold(Machine m, JobSpec s) {
      return m.freeTasks() + most.tasks > 0
          && m.freeCpus() + most.cpus + TOLERANCE >= s.cpus()
          && m.freeGpus() + most.gpus + TOLERANCE >= s.gpus()
          && m.freeMemory() + most.memory + TOLERANCE >= s.memoryGb();
    }

    private static Stoppable of(Machine m, Job job, long nowMs) {
      boolean tight = tight(job);
      Priority priority = job.spec.priority();
      Stoppable s = m.stoppable;
      if (s == null || s.tight != tight || s.priority != priority) {
        s = new Stoppable(m, priority, tight, nowMs);
        m.stoppable = s;
      }
      return s;
    }
  }

  Preemption(ClusterState cluster, Placement placement) {
    this.c = cluster;
    this.placement = placement;
  }

  void makeRoom(List<Job> jobs, List<Machine> usable, boolean onlyHits, long nowMs) {
    List<Machine> filled = null;
    for (Job job : jobs) {
      if (onlyHits) {
        job.covered = 0;
      }
      if (job.waiting.isEmpty() || job.suspect() || !job.aimed || !c.teamAllows(job)) {
        continue;
      }
      if (!tight(job) && filled == null) {
        filled = filled(usable);
      }
      List<Machine> where = tight(job) ? usable : filled;
      int need = job.waitingCount() - job.covered;
      if (need > 0 && !where.isEmpty()) {
        job.covered += makeRoom(job, need, where, onlyHits, nowMs);
      }
    }
  }

  private static boolean tight(Job job) {
    return job.startAimS != null && job.startAimS <= Constants.TIGHT_START_S;
  }

  /** Machines with tasks at which nobody aims. */
  private List<Machine> filled(List<Machine> usable) {
    boolean any = false;
    for (Job job : c.jobs.values()) {
      any |= !job.aimed && !job.runs.isEmpty();
    }
    List<Machine> filled = new ArrayList<>();
    if (any) {
      for (Machine m : usable) {
        for (TaskAttempt run : m.runs.values()) {
          if (!run.exited() && !run.job.aimed) {
            filled.add(m);
            break;
          }
        }
      }
    }
    return filled;
  }

  /** Makes room for up to {@code need} tasks where it loses least; says for how many. */
  private int makeRoom(Job job, int need, List<Machine> usable, boolean onlyHits, long nowMs) {
    PriorityQueue<Choice> choices = new PriorityQueue<>(CHEAPEST);
    int order = 0;
    for (Machine m : usable) {
      Choice choice = choice(m, job, onlyHits, order++, nowMs);
      if (choice != null) {
        choices.add(choice);
      }
    }
    int made = 0;
    while (made < need && !choices.isEmpty()) {
      Choice best = choices.remove();
      take(best, job);
      made++;
      Choice again = choice(best.machine(), job, onlyHits, order++, nowMs);
      if (again != null) {
        choices.add(again);
      }
    }
    return made;
  }

  /** The cheapest way to make room for one task on this machine; null if there is none. */
  private Choice choice(Machine m, Job job, boolean onlyHits, int order, long nowMs) {
    c.looks++;
    JobSpec spec = job.spec;
    if (!job.usableTypes.contains(m.type)) {
      return null;
    }
    Stoppable stoppable = Stoppable.of(m, job, nowMs);
    if (!stoppable.mayHold(m, spec)) {
      return null;
    }
    boolean hit = m.images.containsKey(spec.image());
    if ((onlyHits && !hit) || !placement.allowed(m, job, nowMs)) {
      return null;
    }
    List<TaskAttempt> victims = victims(m, spec, stoppable);
    if (victims == null) {
      return null;
    }
    double loss = hit ? 0 : Constants.FETCH_LOSS * spec.imageGb() / m.kind.fetchGbPerS();
    loss += placement.crowded(m, job) ? Constants.CROWDED_LOSS : 0;
    for (TaskAttempt run : victims) {
      loss += lost(run, nowMs);
    }
    return new Choice(m, victims, loss, order);
  }

  /** What has to stop for one task, the cheapest first; null if that would not be enough. */
  private static List<TaskAttempt> victims(Machine m, JobSpec spec, Stoppable s) {
    Room room = new Room();
    room.addFree(m);
    room.add(s.ending);
    if (room.holds(spec)) {
      return List.of();
    }
    List<TaskAttempt> victims = new ArrayList<>();
    for (TaskAttempt run : s.candidates) {
      victims.add(run);
      room.add(run.job.spec);
      if (room.holds(spec)) {
        return victims;
      }
    }
    return null;
  }

  private void take(Choice choice, Job job) {
    Machine m = choice.machine();
    JobSpec spec = job.spec;
    m.reserve(spec, 1);
    for (TaskAttempt run : choice.victims()) {
      c.stop(run);
      LOG.debug("task {} on {} stops for {}", run.name(), m.name, spec.id());
    }
  }

  /** Work lost if the task stops now, in processor seconds. */
  private static double lost(TaskAttempt run, long nowMs) {
    double ran = run.runningSinceMs < 0 ? 0 : (nowMs - run.runningSinceMs) / 1000.0;
    return 1 + ran * Math.max(run.job.spec.cpus(), 1);
  }
}
