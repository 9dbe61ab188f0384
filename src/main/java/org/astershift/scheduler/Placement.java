package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Places waiting tasks on free machines by the good-cache-compute policy. Tasks from a window of
 * the queue go first to machines that have their image cached, then to machines that may be
 * fetching it. A machine without the image takes the first tasks while utilization is below the
 * threshold; above the threshold it stays free, unless a task has passed its waiting age. Not
 * thread-safe: runs under the lock of the {@link Scheduler}'s caller.
 */
final class Placement {
  private static final PlacementStep[] ALL_STEPS = {
    PlacementStep.IMAGE_CACHED, PlacementStep.IMAGE_FETCHING, PlacementStep.IMAGE_ABSENT
  };
  private static final PlacementStep[] ALL_STEPS_SPREADING = {
    PlacementStep.IMAGE_CACHED_SPREADING,
    PlacementStep.IMAGE_FETCHING_SPREADING,
    PlacementStep.IMAGE_ABSENT_SPREADING
  };

  private final ClusterState cluster;
  private final WaitQueue queue;
  private final PlacementRules rules;
  private final DeferralTracker deferrals = new DeferralTracker();
  private final TaskPlacer taskPlacer;
  private final GangScheduler gangs;
  private final Preemption preemption;

  Placement(ClusterState cluster) {
    this.cluster = cluster;
    this.queue = new WaitQueue(cluster);
    this.rules = new PlacementRules(cluster);
    this.taskPlacer = new TaskPlacer(cluster, queue, rules, deferrals);
    this.gangs = new GangScheduler(cluster, rules);
    this.preemption = new Preemption(cluster);
  }

  /** Runs one pass: offers all usable machines to all jobs in the window. */
  void runPass(long nowMs) {
    cluster.recomputeUtilization();
    deferrals.beginPass();
    queue.refresh(nowMs);
    if (!queue.isEmpty()) {
      placeWindow(nowMs);
    }
    deferrals.endPass();
  }

  private void placeWindow(long nowMs) {
    List<Machine> usable = prepareUsableMachines(nowMs);
    for (Priority priority : Priority.values()) {
      placeJobs(queue.jobsWithPriority(priority), usable, nowMs);
      if (priority == Priority.PRODUCTION) {
        cluster.minimumShare.starvedGroups().forEach(group -> placeStarved(group, usable, nowMs));
      }
    }
    placeInReservedRoom(usable, nowMs);
  }

  private List<Machine> prepareUsableMachines(long nowMs) {
    List<Machine> usable = new ArrayList<>();
    for (Machine machine : cluster.allMachines()) {
      machine.clearReservation();
      machine.tasksPlacedInPass = 0;
      if (cluster.isUsable(machine, nowMs)) {
        usable.add(machine);
      }
    }
    return usable;
  }

  private void placeJobs(List<Job> jobs, List<Machine> usable, long nowMs) {
    if (jobs.isEmpty()) {
      return;
    }
    gangs.place(jobs, usable, nowMs);
    List<Job> nonGangJobs = selectNonGangJobs(jobs);
    if (nonGangJobs.isEmpty()) {
      return;
    }
    List<Machine> candidates = selectMachinesWithRoom(usable, nonGangJobs);
    taskPlacer.offerMachines(
        candidates, nonGangJobs, PlacementStep.IMAGE_CACHED_SPREADING, null, nowMs);
    taskPlacer.offerMachines(candidates, nonGangJobs, PlacementStep.IMAGE_CACHED, null, nowMs);
    preemption.makeRoom(nonGangJobs, usable, true, nowMs);
    taskPlacer.offerMachines(candidates, nonGangJobs, PlacementStep.IMAGE_FETCHING, null, nowMs);
    taskPlacer.offerMachines(candidates, nonGangJobs, PlacementStep.IMAGE_ABSENT, null, nowMs);
    preemption.makeRoom(nonGangJobs, usable, false, nowMs);
  }

  /**
   * Serves the oldest jobs of a starved group until it holds its minimum share, and reserves room
   * for one of them if the group still holds less.
   */
  private void placeStarved(MinimumShareGroup group, List<Machine> usable, long nowMs) {
    gangs.placeStarved(group, usable, nowMs);
    List<Job> nonGangJobs = selectNonGangJobs(group.agedJobs());
    if (nonGangJobs.isEmpty() || !group.isStarved()) {
      return;
    }
    List<Machine> candidates = selectMachinesWithRoom(usable, nonGangJobs);
    for (PlacementStep step : ALL_STEPS) {
      taskPlacer.offerMachines(candidates, nonGangJobs, step, group, nowMs);
    }
    if (group.isStarved()) {
      reserveRoom(nonGangJobs, usable, nowMs);
    }
  }

  /**
   * Reserves one machine for the first job that found none. Without the reservation small tasks
   * would take each processor that becomes free, and a large task would wait indefinitely.
   */
  private void reserveRoom(List<Job> nonGangJobs, List<Machine> usable, long nowMs) {
    for (Job job : nonGangJobs) {
      if (!job.waitingTasks.isEmpty() && cluster.teamQuotaAllows(job)) {
        job.reservedMachine = chooseMachineToReserve(job, usable, nowMs);
        if (job.reservedMachine != null) {
          job.reservedMachine.reserve(job.spec, 1);
          return;
        }
      }
    }
  }

  /**
   * Returns the machine reserved for the job so far if it is still eligible, else the eligible
   * machine with the most free processors; null if no machine is eligible.
   */
  private static Machine chooseMachineToReserve(Job job, List<Machine> usable, long nowMs) {
    Machine emptiest = null;
    for (Machine machine : usable) {
      boolean eligible =
          job.usableTypes.contains(machine.typeName)
              && PlacementRules.isMachineAllowed(machine, job, nowMs)
              && machine.type.capacity(job.spec) > 0;
      if (eligible && machine == job.reservedMachine) {
        return machine;
      }
      if (eligible && (emptiest == null || machine.freeCpus() > emptiest.freeCpus())) {
        emptiest = machine;
      }
    }
    return emptiest;
  }

  /**
   * Places jobs whose deferral has expired in reserved room. The work that the room is reserved for
   * cannot start yet, possibly for minutes, because other tasks still run on the machine.
   */
  private void placeInReservedRoom(List<Machine> usable, long nowMs) {
    Map<Machine, Reservation> reservations = takeReservations(usable);
    if (reservations.isEmpty()) {
      return;
    }
    List<Machine> machines = new ArrayList<>(reservations.keySet());
    Map<Job.PlacementConstraints, Boolean> roomByConstraints = new HashMap<>();
    for (Priority priority : Priority.values()) {
      for (Job job : queue.jobsWithPriority(priority)) {
        if (!job.waitingTasks.isEmpty()
            && !job.isSuspect()
            && roomByConstraints.computeIfAbsent(
                job.placementConstraints, p -> anyHasRoomFor(machines, job))
            && deferrals.tryAdmit(job, nowMs)) {
          placeAdmitted(job, machines, usable, nowMs);
        }
      }
    }
    reservations.forEach(Machine::reserve);
  }

  private static Map<Machine, Reservation> takeReservations(List<Machine> usable) {
    Map<Machine, Reservation> reservations = new LinkedHashMap<>();
    for (Machine machine : usable) {
      if (machine.hasReservation()) {
        reservations.put(machine, machine.clearReservation());
      }
    }
    return reservations;
  }

  private boolean anyHasRoomFor(List<Machine> machines, Job job) {
    for (Machine machine : machines) {
      if (rules.hasRoomFor(machine, job)) {
        return true;
      }
    }
    return false;
  }

  private void placeAdmitted(Job job, List<Machine> machines, List<Machine> usable, long nowMs) {
    if (job.spec.kind() == JobKind.GANG) {
      gangs.placeIfRoom(job, usable, nowMs);
      return;
    }
    for (PlacementStep step : ALL_STEPS) {
      for (Machine machine : machines) {
        taskPlacer.placeTasks(machine, job, step, null, nowMs);
      }
    }
  }

  /**
   * Fills one machine whose heartbeat has just arrived; the start commands go out with the
   * heartbeat response.
   */
  void placeOnMachine(Machine machine, long nowMs) {
    if (queue.isEmpty() || !machine.isUsable(nowMs)) {
      return;
    }
    if (machine.hasReservation()) {
      cluster.requestPass(); // only a pass knows which task the room is reserved for
      return;
    }
    if (!queue.hasRoomForAny(machine)) {
      return; // most heartbeats come from full machines, and hundreds arrive a second
    }
    machine.tasksPlacedInPass = 0;
    List<Machine> machineOnly = List.of(machine);
    for (Priority priority : Priority.values()) {
      placeOnMachine(machine, machineOnly, queue.jobsWithPriority(priority), null, nowMs);
      if (priority == Priority.PRODUCTION) {
        for (MinimumShareGroup group : cluster.minimumShare.starvedGroups()) {
          if (group.isStarved()) {
            placeOnMachine(machine, machineOnly, group.agedJobs(), group, nowMs);
          }
        }
      }
    }
  }

  private void placeOnMachine(
      Machine machine,
      List<Machine> machineOnly,
      List<Job> jobsOfPriority,
      MinimumShareGroup starvedGroup,
      long nowMs) {
    List<Job> jobs = selectNonGangJobs(jobsOfPriority);
    jobs.removeIf(job -> !queue.isStartable(job, nowMs) || !rules.hasRoomFor(machine, job));
    if (!jobs.isEmpty()) {
      for (PlacementStep step : ALL_STEPS_SPREADING) {
        taskPlacer.offerMachines(machineOnly, jobs, step, starvedGroup, nowMs);
      }
    }
  }

  /** Returns whether a gang is waiting that may use machines of this machine's type. */
  boolean hasWaitingGang(Machine machine) {
    for (Job job : cluster.waitingJobs) {
      if (job.spec.kind() == JobKind.GANG && job.usableTypes.contains(machine.typeName)) {
        return true;
      }
    }
    return false;
  }

  private static List<Job> selectNonGangJobs(List<Job> jobs) {
    List<Job> nonGangJobs = new ArrayList<>(jobs.size());
    for (Job job : jobs) {
      if (job.spec.kind() != JobKind.GANG && !job.waitingTasks.isEmpty()) {
        nonGangJobs.add(job);
      }
    }
    return nonGangJobs;
  }

  /**
   * Returns the machines with room for any of the jobs: spot machines before on-demand machines,
   * and among both the fullest first, so that the others become empty and can be released.
   */
  private static List<Machine> selectMachinesWithRoom(List<Machine> usable, List<Job> jobs) {
    MinimumRequirements minimum = new MinimumRequirements(jobs);
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : usable) {
      if (minimum.isSatisfiedBy(machine)) {
        candidates.add(machine);
      }
    }
    candidates.sort(
        Comparator.comparing((Machine machine) -> !machine.spot)
            .thenComparingDouble(machine -> -machine.usedCpus() / machine.type.cpus()));
    return candidates;
  }
}
