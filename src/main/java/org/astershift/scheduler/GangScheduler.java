package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Seats gangs: all tasks in one pass or none; and replaces tasks lost before the gang started. The
 * first gang that has waited for too long has what becomes free in a zone kept for it: otherwise
 * smaller ones take each machine, and a large gang waits for ever.
 */
final class GangScheduler {
  private static final Logger LOG = LoggerFactory.getLogger(GangScheduler.class);

  /** Seconds in which a gang should start where no aim says so; ours. */
  private static final double GANG_START_OBJECTIVE_S = 150;

  /** Times its aim after which free room is kept for a gang that finds too little. */
  private static final double GANG_RESERVATION_OBJECTIVE_FACTOR = 2;

  private final ClusterState cluster;
  private final Placement placement;

  GangScheduler(ClusterState cluster, Placement placement) {
    this.cluster = cluster;
    this.placement = placement;
  }

  void place(List<Job> jobs, List<Machine> usable, long nowMs) {
    boolean roomReserved = false;
    for (Job job : jobs) {
      if (mayStart(job)) {
        Map<String, PlacementDomain> domains = findPlacementDomains(job, usable, nowMs);
        if (!place(job, domains, nowMs)
            && !roomReserved
            && !job.isSuspect()
            && isStarved(job, nowMs)
            && withinTeamLimit(job)) {
          roomReserved = reserveRoom(job, domains, nowMs);
        }
      }
    }
  }

  /**
   * The same for gangs of a class that is served too little: the first that finds no room has it
   * kept.
   */
  void placeStarved(MinimumShare.ShareGroup group, List<Machine> usable, long nowMs) {
    for (Job job : group.agedJobs()) {
      if (!group.isStarved()) {
        return;
      }
      if (mayStart(job) && withinTeamLimit(job)) {
        int tasks = job.waitingCount();
        Map<String, PlacementDomain> domains = findPlacementDomains(job, usable, nowMs);
        if (place(job, domains, nowMs)) {
          group.onPlaced(job, tasks);
        } else if (reserveRoom(job, domains, nowMs)) {
          return;
        }
      }
    }
  }

  /** Seats this gang if it finds room as it is. */
  void placeIfRoom(Job job, List<Machine> usable, long nowMs) {
    if (mayStart(job) && withinTeamLimit(job)) {
      place(job, findPlacementDomains(job, usable, nowMs), nowMs);
    }
  }

  private static boolean mayStart(Job job) {
    return job.spec.kind() == JobKind.GANG
        && !job.waitingTasks.isEmpty()
        && !earlierAttemptRemains(job);
  }

  /** The old attempt has to be gone everywhere before the next one starts. */
  private static boolean earlierAttemptRemains(Job job) {
    return !job.attempts.isEmpty() && (job.gangAttemptClosed() || hasStoppingTask(job));
  }

  /** Keeping room empty costs others their aims, so it begins late; but nobody waits for ever. */
  private static boolean isStarved(Job job, long nowMs) {
    double objectiveS = job.startObjectiveS == null ? GANG_START_OBJECTIVE_S : job.startObjectiveS;
    return nowMs - job.submittedMs >= objectiveS * 1000 * GANG_RESERVATION_OBJECTIVE_FACTOR;
  }

  private boolean withinTeamLimit(Job job) {
    return cluster.teamQuotaAllows(job, job.waitingCount());
  }

  /** Machines among which all tasks of a gang have to find room: one zone's, or all. */
  private static final class PlacementDomain {
    /** With room now, and with the image where that counts. */
    final List<Machine> candidates = new ArrayList<>();

    /** With room now. */
    final List<Machine> freeMachines = new ArrayList<>();

    /** Tasks that the candidates can take. */
    int taskRoom;

    /** Tasks that all machines here could take if they were empty. */
    int taskCapacity;
  }

  private Map<String, PlacementDomain> findPlacementDomains(
      Job job, List<Machine> usable, long nowMs) {
    Map<String, PlacementDomain> domains = new LinkedHashMap<>();
    boolean pastWaitingAge = placement.pastWaitingAge(job, nowMs);
    for (Machine machine : usable) {
      if (!job.usableTypes.contains(machine.typeName)
          || !placement.isMachineAllowed(machine, job, nowMs)) {
        continue;
      }
      PlacementDomain domain =
          domains.computeIfAbsent(
              job.spec.oneZone() ? machine.zone : "", zone -> new PlacementDomain());
      domain.taskCapacity += machine.type.capacity(job.spec);
      int fittingTasks = machine.fitCount(job.spec, job.waitingCount());
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

  /** Seats the gang where it finds most images, and among these where least room is left over. */
  private boolean place(Job job, Map<String, PlacementDomain> domains, long nowMs) {
    Map<Integer, Machine> bestPlan = null;
    int bestImageHits = -1;
    int bestRoom = 0;
    for (PlacementDomain domain : domains.values()) {
      if (domain.taskRoom < job.waitingCount()) {
        continue;
      }
      Map<Integer, Machine> plan = new LinkedHashMap<>();
      int imageHits = assignTasks(job, domain.candidates, plan);
      if (plan.size() == job.waitingCount()
          && (imageHits > bestImageHits
              || (imageHits == bestImageHits && domain.taskRoom < bestRoom))) {
        bestPlan = plan;
        bestImageHits = imageHits;
        bestRoom = domain.taskRoom;
      }
    }
    if (bestPlan == null) {
      return false;
    }
    if (job.attempts.isEmpty()) {
      job.gangAttemptNumber = cluster.nextAttemptNumber();
    }
    job.reservedZone = null;
    for (Map.Entry<Integer, Machine> entry : bestPlan.entrySet()) {
      cluster.place(job, entry.getKey(), entry.getValue(), job.gangAttemptNumber, nowMs);
      LOG.debug(
          "gang task {}/{} placed on {}", job.spec.id(), entry.getKey(), entry.getValue().name);
    }
    return true;
  }

  /** Keeps what is free for this gang in one zone. */
  private boolean reserveRoom(Job job, Map<String, PlacementDomain> domains, long nowMs) {
    String bestZone = null;
    for (Map.Entry<String, PlacementDomain> entry : domains.entrySet()) {
      if (entry.getValue().taskCapacity >= job.waitingCount()
          && (bestZone == null
              || entry.getKey().equals(job.reservedZone)
              || (!bestZone.equals(job.reservedZone)
                  && entry.getValue().freeMachines.size()
                      > domains.get(bestZone).freeMachines.size()))) {
        bestZone = entry.getKey();
      }
    }
    if (bestZone == null) {
      return false;
    }
    if (!bestZone.equals(job.reservedZone)) {
      LOG.info(
          "gang {} of {} finds no room for all: what becomes free in {} is kept for it",
          job.spec.id(),
          job.spec.tasks(),
          bestZone.isEmpty() ? "any zone" : bestZone);
      job.reservedZone = bestZone;
    }
    for (Machine machine : domains.get(bestZone).freeMachines) {
      machine.reserve(job.spec, machine.fitCount(job.spec, job.waitingCount()));
      machine.idleSinceMs = nowMs;
    }
    return true;
  }

  private static boolean hasStoppingTask(Job job) {
    for (TaskAttempt attempt : job.attempts.values()) {
      if (attempt.unwanted()) {
        return true;
      }
    }
    return false;
  }

  private int assignTasks(Job job, List<Machine> candidates, Map<Integer, Machine> plan) {
    String image = job.spec.image();
    candidates.sort(Comparator.comparingDouble(machine -> -machine.imageLocality(image)));
    Map<String, Integer> tasksByZone = new HashMap<>();
    int imageHits = 0;
    int placed = 0;
    int index = job.waitingTasks.nextSetBit(0);
    for (Machine machine : candidates) {
      int room = machine.fitCount(job.spec, job.waitingCount());
      for (int assignedHere = 0; assignedHere < room && index >= 0; assignedHere++) {
        boolean withinSpreadLimit =
            !job.spec.spread()
                || job.attemptsInZone(machine.zone) + tasksByZone.getOrDefault(machine.zone, 0)
                    < job.spec.spreadLimit();
        if (!withinSpreadLimit
            || Placement.hasAttemptOnMachine(machine, job, index)
            || !cluster.teamQuotaAllows(job, placed + 1)) {
          break;
        }
        plan.put(index, machine);
        tasksByZone.merge(machine.zone, 1, Integer::sum);
        placed++;
        imageHits += machine.imageLocality(image) == 1 ? 1 : 0;
        index = job.waitingTasks.nextSetBit(index + 1);
      }
    }
    return imageHits;
  }
}
