package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
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

  /** Processor seconds of stopped work that a second of image fetch is worth to a tight aim. */
  private static final double IMAGE_FETCH_LOSS_CPU_S_PER_S = 10;

  /**
   * Processor seconds of stopped work that it is worth to put a replica elsewhere than beyond that.
   */
  private static final double REPLICA_CROWDING_LOSS_CPU_S = 20;

  private static final double TOLERANCE = 1e-6;
  private static final Comparator<Choice> CHEAPEST =
      Comparator.comparingDouble(Choice::lossCpuS).thenComparingInt(Choice::order);
  private final ClusterState cluster;
  private final Placement placement;

  /** Room on a machine, free already or freed by what stops, less what other tasks wait for. */
  private static final class Room {
    double cpus;
    double gpus;
    double memoryGb;
    int tasks;

    void add(Room other) {
      tasks += other.tasks;
      cpus += other.cpus;
      gpus += other.gpus;
      memoryGb += other.memoryGb;
    }

    void addFree(Machine machine) {
      tasks += machine.freeTaskSlots();
      cpus += machine.freeCpus();
      gpus += machine.freeGpus();
      memoryGb += machine.freeMemoryGb();
    }

    void add(JobSpec spec) {
      tasks++;
      cpus += spec.cpus();
      gpus += spec.gpus();
      memoryGb += spec.memoryGb();
    }

    boolean hasRoomFor(JobSpec spec) {
      return tasks > 0
          && cpus + TOLERANCE >= spec.cpus()
          && gpus + TOLERANCE >= spec.gpus()
          && memoryGb + TOLERANCE >= spec.memoryGb();
    }
  }

  /** What to stop on one machine, and what that loses; {@code order} decides between equal ones. */
  private record Choice(Machine machine, List<TaskAttempt> victims, double lossCpuS, int order) {}

  /**
   * What a machine could give up for jobs of one priority, found once a pass: many jobs ask it of
   * the whole fleet, and the answer changes only where something is placed or stopped.
   */
  static final class Stoppable {
    private final Priority priority;
    private final boolean forTightObjective;

    /** Freed by what stops already. */
    private final Room stopping = new Room();

    /** Freed by these and if all candidates stop. */
    private final Room maximum = new Room();

    /** The cheapest first. */
    private final List<TaskAttempt> candidates = new ArrayList<>();

    private Stoppable(Machine machine, Priority priority, boolean tightObjective, long nowMs) {
      this.priority = priority;
      this.forTightObjective = tightObjective;
      for (TaskAttempt attempt : machine.attempts.values()) {
        if (attempt.exited()) {
          continue;
        }
        if (attempt.unwanted()) {
          stopping.add(attempt.job.spec);
          maximum.add(attempt.job.spec);
        } else if (attempt.job.spec.kind() != JobKind.SERVICE
            && (tightObjective || !attempt.job.hasObjective)
            && attempt.job.spec.priority().compareTo(priority) > 0
            && (priority == Priority.PRODUCTION || !MinimumShare.isProtected(attempt.job, nowMs))) {
          candidates.add(attempt);
          maximum.add(attempt.job.spec);
        }
      }
      if (candidates.size() > 1) {
        candidates.sort(Comparator.comparingDouble(r -> lostCpuS(r, nowMs)));
      }
    }

    /** Whether there would be room for a task if all candidates stopped. */
    private boolean canMakeRoomFor(Machine machine, JobSpec spec) {
      return machine.freeTaskSlots() + maximum.tasks > 0
          && machine.freeCpus() + maximum.cpus + TOLERANCE >= spec.cpus()
          && machine.freeGpus() + maximum.gpus + TOLERANCE >= spec.gpus()
          && machine.freeMemoryGb() + maximum.memoryGb + TOLERANCE >= spec.memoryGb();
    }

    private static Stoppable of(Machine machine, Job job, long nowMs) {
      boolean tightObjective = hasTightObjective(job);
      Priority priority = job.spec.priority();
      Stoppable stoppable = machine.preemptible;
      if (stoppable == null
          || stoppable.forTightObjective != tightObjective
          || stoppable.priority != priority) {
        stoppable = new Stoppable(machine, priority, tightObjective, nowMs);
        machine.preemptible = stoppable;
      }
      return stoppable;
    }
  }

  Preemption(ClusterState cluster, Placement placement) {
    this.cluster = cluster;
    this.placement = placement;
  }

  void makeRoom(List<Job> jobs, List<Machine> usable, boolean imageHitsOnly, long nowMs) {
    List<Machine> hosts = null;
    for (Job job : jobs) {
      if (imageHitsOnly) {
        job.tasksAwaitingPreemption = 0;
      }
      if (job.waitingTasks.isEmpty()
          || job.isSuspect()
          || !job.hasObjective
          || !cluster.teamQuotaAllows(job)) {
        continue;
      }
      if (!hasTightObjective(job) && hosts == null) {
        hosts = hostsOfWorkWithoutObjective(usable);
      }
      List<Machine> candidates = hasTightObjective(job) ? usable : hosts;
      int needed = job.waitingCount() - job.tasksAwaitingPreemption;
      if (needed > 0 && !candidates.isEmpty()) {
        job.tasksAwaitingPreemption += makeRoom(job, needed, candidates, imageHitsOnly, nowMs);
      }
    }
  }

  private static boolean hasTightObjective(Job job) {
    return job.startObjectiveS != null && job.startObjectiveS <= Job.TIGHT_START_OBJECTIVE_S;
  }

  /** Machines with tasks at which nobody aims. */
  private List<Machine> hostsOfWorkWithoutObjective(List<Machine> usable) {
    boolean anyWithoutObjective = false;
    for (Job job : cluster.jobs.values()) {
      anyWithoutObjective |= !job.hasObjective && !job.attempts.isEmpty();
    }
    List<Machine> hosts = new ArrayList<>();
    if (anyWithoutObjective) {
      for (Machine machine : usable) {
        for (TaskAttempt attempt : machine.attempts.values()) {
          if (!attempt.exited() && !attempt.job.hasObjective) {
            hosts.add(machine);
            break;
          }
        }
      }
    }
    return hosts;
  }

  /** Makes room for up to {@code needed} tasks where it loses least; says for how many. */
  private int makeRoom(
      Job job, int needed, List<Machine> usable, boolean imageHitsOnly, long nowMs) {
    PriorityQueue<Choice> choices = new PriorityQueue<>(CHEAPEST);
    int order = 0;
    for (Machine machine : usable) {
      Choice choice = cheapestChoice(machine, job, imageHitsOnly, order++, nowMs);
      if (choice != null) {
        choices.add(choice);
      }
    }
    int roomsMade = 0;
    while (roomsMade < needed && !choices.isEmpty()) {
      Choice best = choices.remove();
      reserveAndPreempt(best, job);
      roomsMade++;
      Choice next = cheapestChoice(best.machine(), job, imageHitsOnly, order++, nowMs);
      if (next != null) {
        choices.add(next);
      }
    }
    return roomsMade;
  }

  /** The cheapest way to make room for one task on this machine; null if there is none. */
  private Choice cheapestChoice(
      Machine machine, Job job, boolean imageHitsOnly, int order, long nowMs) {
    cluster.candidateChecks++;
    JobSpec spec = job.spec;
    if (!job.usableTypes.contains(machine.typeName)) {
      return null;
    }
    Stoppable stoppable = Stoppable.of(machine, job, nowMs);
    if (!stoppable.canMakeRoomFor(machine, spec)) {
      return null;
    }
    boolean imageHit = machine.hasCachedImage(spec.image());
    if ((imageHitsOnly && !imageHit) || !placement.isMachineAllowed(machine, job, nowMs)) {
      return null;
    }
    List<TaskAttempt> victims = victims(machine, spec, stoppable);
    if (victims == null) {
      return null;
    }
    double lossCpuS =
        imageHit ? 0 : IMAGE_FETCH_LOSS_CPU_S_PER_S * spec.imageGb() / machine.type.fetchGbPerS();
    lossCpuS += placement.exceedsReplicaShare(machine, job) ? REPLICA_CROWDING_LOSS_CPU_S : 0;
    for (TaskAttempt attempt : victims) {
      lossCpuS += lostCpuS(attempt, nowMs);
    }
    return new Choice(machine, victims, lossCpuS, order);
  }

  /** What has to stop for one task, the cheapest first; null if that would not be enough. */
  private static List<TaskAttempt> victims(Machine machine, JobSpec spec, Stoppable stoppable) {
    Room room = new Room();
    room.addFree(machine);
    room.add(stoppable.stopping);
    if (room.hasRoomFor(spec)) {
      return List.of();
    }
    List<TaskAttempt> victims = new ArrayList<>();
    for (TaskAttempt attempt : stoppable.candidates) {
      victims.add(attempt);
      room.add(attempt.job.spec);
      if (room.hasRoomFor(spec)) {
        return victims;
      }
    }
    return null;
  }

  private void reserveAndPreempt(Choice choice, Job job) {
    Machine machine = choice.machine();
    JobSpec spec = job.spec;
    machine.reserve(spec, 1);
    for (TaskAttempt attempt : choice.victims()) {
      cluster.stop(attempt);
      LOG.debug("task {} on {} stops for {}", attempt.name(), machine.name, spec.id());
    }
  }

  /** Work lost if the task stops now, in processor seconds. */
  private static double lostCpuS(TaskAttempt attempt, long nowMs) {
    double ranS = attempt.runningSinceMs < 0 ? 0 : (nowMs - attempt.runningSinceMs) / 1000.0;
    return 1 + ranS * Math.max(attempt.job.spec.cpus(), 1);
  }
}
