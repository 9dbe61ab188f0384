package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Places gangs: all tasks of a gang in one pass, or none. Also replaces tasks that were lost before
 * their gang started. For the first gang that has waited for too long, the room that becomes free
 * in one zone is reserved: otherwise smaller gangs would take each machine, and a large gang would
 * wait indefinitely.
 */
final class GangScheduler {
  private static final Logger LOG = LoggerFactory.getLogger(GangScheduler.class);

  /** Start objective of a gang whose class has none, in seconds. */
  private static final double GANG_START_OBJECTIVE_S = 150;

  /**
   * Multiple of its start objective after which free room is reserved for a gang that lacks room.
   */
  private static final double GANG_RESERVATION_OBJECTIVE_FACTOR = 2;

  private final ClusterState cluster;
  private final PlacementRules rules;

  /**
   * The machines among which all tasks of a gang have to find room: those of one zone, or all
   * machines.
   */
  private static final class PlacementDomain {
    /** Machines with room now where the image is cached, is being fetched or may be fetched. */
    final List<Machine> candidates = new ArrayList<>();

    /** All machines with room now. */
    final List<Machine> freeMachines = new ArrayList<>();

    /** Number of tasks that the candidates can take now. */
    int taskRoom;

    /** Number of tasks that all machines of the domain could take if they were empty. */
    int taskCapacity;
  }

  /**
   * Machines for a gang's tasks, by task index, with the number of tasks whose image is cached on
   * their machine and the number of tasks that the domain has room for.
   */
  private record Assignment(Map<Integer, Machine> machines, int imageHits, int domainRoom) {
    /** Prefers more image hits, and then the domain with less room left over. */
    boolean isBetterThan(Assignment other) {
      return other == null
          || imageHits > other.imageHits
          || (imageHits == other.imageHits && domainRoom < other.domainRoom);
    }
  }

  GangScheduler(ClusterState cluster, PlacementRules rules) {
    this.cluster = cluster;
    this.rules = rules;
  }

  /**
   * Places the gangs among these jobs, in the order of the jobs; reserves room for the first
   * starved gang that lacks room.
   */
  void place(List<Job> jobs, List<Machine> usable, long nowMs) {
    boolean roomReserved = false;
    for (Job job : jobs) {
      if (mayStart(job)) {
        Map<String, PlacementDomain> domains = findPlacementDomains(job, usable, nowMs);
        if (!place(job, domains.values(), nowMs)
            && !roomReserved
            && !job.isSuspect()
            && isStarved(job, nowMs)
            && isWithinTeamQuota(job)) {
          roomReserved = reserveRoom(job, domains, nowMs);
        }
      }
    }
  }

  /**
   * Places the gangs of a starved group until it holds its minimum share; reserves room for the
   * first gang that lacks room.
   */
  void placeStarved(MinimumShareGroup group, List<Machine> usable, long nowMs) {
    for (Job job : group.agedJobs()) {
      if (!group.isStarved()) {
        return;
      }
      if (mayStart(job) && isWithinTeamQuota(job)) {
        int tasks = job.waitingCount();
        Map<String, PlacementDomain> domains = findPlacementDomains(job, usable, nowMs);
        if (place(job, domains.values(), nowMs)) {
          group.onPlaced(job, tasks);
        } else if (reserveRoom(job, domains, nowMs)) {
          return;
        }
      }
    }
  }

  /** Places this gang if there is room for it now; reserves nothing. */
  void placeIfRoom(Job job, List<Machine> usable, long nowMs) {
    if (mayStart(job) && isWithinTeamQuota(job)) {
      place(job, findPlacementDomains(job, usable, nowMs).values(), nowMs);
    }
  }

  private static boolean mayStart(Job job) {
    return job.spec.kind() == JobKind.GANG
        && !job.waitingTasks.isEmpty()
        && !hasEarlierAttempt(job);
  }

  /**
   * Returns whether an earlier attempt of the gang is still held: that attempt has to be gone from
   * all machines before the next attempt starts.
   */
  private static boolean hasEarlierAttempt(Job job) {
    return !job.attempts.isEmpty() && (job.isGangAttemptClosed() || hasStoppingTask(job));
  }

  private static boolean hasStoppingTask(Job job) {
    for (TaskAttempt attempt : job.attempts.values()) {
      if (attempt.isUnwanted()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether the gang has waited long enough for a reservation. Reserved room makes other
   * jobs miss their objectives, so the reservation begins late, but early enough that no gang waits
   * indefinitely.
   */
  private static boolean isStarved(Job job, long nowMs) {
    double objectiveS = job.startObjectiveS == null ? GANG_START_OBJECTIVE_S : job.startObjectiveS;
    return nowMs - job.submittedMs >= objectiveS * 1000 * GANG_RESERVATION_OBJECTIVE_FACTOR;
  }

  private boolean isWithinTeamQuota(Job job) {
    return cluster.teamQuotaAllows(job, job.waitingCount());
  }

  /**
   * Returns the placement domains by zone if the gang has to run in one zone, else a single domain
   * under the empty name.
   */
  private Map<String, PlacementDomain> findPlacementDomains(
      Job job, List<Machine> usable, long nowMs) {
    Map<String, PlacementDomain> domains = new LinkedHashMap<>();
    boolean pastWaitingAge = rules.isPastWaitingAge(job, nowMs);
    for (Machine machine : usable) {
      if (!job.usableTypes.contains(machine.typeName)
          || !PlacementRules.isMachineAllowed(machine, job, nowMs)) {
        continue;
      }
      PlacementDomain domain =
          domains.computeIfAbsent(
              job.spec.oneZone() ? machine.zone : "", zone -> new PlacementDomain());
      domain.taskCapacity += machine.type.capacity(job.spec);
      int fittingTasks = machine.countFittingTasks(job.spec, job.waitingCount());
      if (fittingTasks > 0) {
        domain.freeMachines.add(machine);
        if (pastWaitingAge
            || machine.imageLocality(job.spec.image()) > 0
            || cluster.utilization.of(machine) < cluster.policy.utilizationThreshold()) {
          domain.candidates.add(machine);
          domain.taskRoom += fittingTasks;
        }
      }
    }
    return domains;
  }

  /**
   * Places all waiting tasks in the best domain; returns false if no domain has room for all of
   * them.
   */
  private boolean place(Job job, Collection<PlacementDomain> domains, long nowMs) {
    Assignment assignment = findBestAssignment(job, domains);
    if (assignment == null) {
      return false;
    }
    if (job.attempts.isEmpty()) {
      job.gangAttemptNumber = cluster.nextAttemptNumber();
    }
    job.reservedZone = null;
    for (Map.Entry<Integer, Machine> entry : assignment.machines().entrySet()) {
      cluster.place(job, entry.getKey(), entry.getValue(), job.gangAttemptNumber, nowMs);
      LOG.debug(
          "gang task placed: job={} index={} machine={}",
          job.spec.id(),
          entry.getKey(),
          entry.getValue().name);
    }
    return true;
  }

  private Assignment findBestAssignment(Job job, Collection<PlacementDomain> domains) {
    Assignment best = null;
    for (PlacementDomain domain : domains) {
      if (domain.taskRoom >= job.waitingCount()) {
        Assignment assignment = assignTasks(job, domain);
        if (assignment.machines().size() == job.waitingCount() && assignment.isBetterThan(best)) {
          best = assignment;
        }
      }
    }
    return best;
  }

  /**
   * Assigns as many waiting tasks as the spread limit, the team's quota and earlier attempts on the
   * machines allow.
   */
  private Assignment assignTasks(Job job, PlacementDomain domain) {
    String image = job.spec.image();
    domain.candidates.sort(Comparator.comparingDouble(machine -> -machine.imageLocality(image)));
    Map<Integer, Machine> machines = new LinkedHashMap<>();
    Map<String, Integer> tasksByZone = new HashMap<>();
    int imageHits = 0;
    int index = job.waitingTasks.nextSetBit(0);
    for (Machine machine : domain.candidates) {
      int taskRoom = machine.countFittingTasks(job.spec, job.waitingCount());
      for (int assignedHere = 0; assignedHere < taskRoom && index >= 0; assignedHere++) {
        if (!isWithinSpreadLimit(job, machine.zone, tasksByZone)
            || PlacementRules.hasAttemptOnMachine(machine, job, index)
            || !cluster.teamQuotaAllows(job, machines.size() + 1)) {
          break;
        }
        machines.put(index, machine);
        tasksByZone.merge(machine.zone, 1, Integer::sum);
        imageHits += machine.imageLocality(image) == 1 ? 1 : 0;
        index = job.waitingTasks.nextSetBit(index + 1);
      }
    }
    return new Assignment(machines, imageHits, domain.taskRoom);
  }

  private static boolean isWithinSpreadLimit(
      Job job, String zone, Map<String, Integer> assignedByZone) {
    return !job.spec.spread()
        || job.attemptsInZone(zone) + assignedByZone.getOrDefault(zone, 0) < job.spec.spreadLimit();
  }

  /**
   * Reserves the free room of one zone for this gang; returns false if no zone could hold the gang
   * even with all machines empty.
   */
  private static boolean reserveRoom(Job job, Map<String, PlacementDomain> domains, long nowMs) {
    String zone = chooseZoneToReserve(job, domains);
    if (zone == null) {
      return false;
    }
    if (!zone.equals(job.reservedZone)) {
      LOG.info(
          "gang lacks room, reserving free machines: job={} tasks={} zone={}",
          job.spec.id(),
          job.spec.tasks(),
          zone.isEmpty() ? "any" : zone);
      job.reservedZone = zone;
    }
    for (Machine machine : domains.get(zone).freeMachines) {
      machine.reserve(job.spec, machine.countFittingTasks(job.spec, job.waitingCount()));
      machine.idleSinceMs = nowMs;
    }
    return true;
  }

  /**
   * Returns the zone reserved so far if it can still hold the gang, else the zone with the most
   * free machines among those that can; null if none can.
   */
  private static String chooseZoneToReserve(Job job, Map<String, PlacementDomain> domains) {
    String bestZone = null;
    int bestFreeMachines = 0;
    for (Map.Entry<String, PlacementDomain> entry : domains.entrySet()) {
      PlacementDomain domain = entry.getValue();
      if (domain.taskCapacity < job.waitingCount()) {
        continue;
      }
      if (entry.getKey().equals(job.reservedZone)) {
        return entry.getKey();
      }
      if (bestZone == null || domain.freeMachines.size() > bestFreeMachines) {
        bestZone = entry.getKey();
        bestFreeMachines = domain.freeMachines.size();
      }
    }
    return bestZone;
  }
}
