package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.ThreadBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which machines to rent. It follows the length of the queue, counted as the tasks that neither
 * free nor booting machines cover.
 */
final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);

  /** Machines asked for in one rental; the cloud's limit. */
  static final int PROVISION_BATCH_MACHINES = 50;

  /**
   * Seconds for which a machine is rented, as far as its boot is weighed in its price: most live
   * for some minutes of a queue.
   */
  private static final double EXPECTED_MACHINE_LIFETIME_S = 300;

  /** Types, zones and kinds that one plan may rent for one job. */
  private static final int POOLS_PER_JOB = 20;

  /** Pause of a type, zone and kind that had no capacity. */
  private static final long NO_CAPACITY_BACKOFF_MS = 15_000;

  private final ClusterState cluster;
  private final Map<String, Decision.ProvisionMachines> pendingRequests = new LinkedHashMap<>();
  private final Map<CapacityPool, Long> noCapacityUntilMs = new HashMap<>();
  private final Map<String, Integer> machinesByZone = new HashMap<>();

  /** Within a plan: zones in which a machine boots or is asked for. */
  private final Set<String> zonesWithPendingMachines = new HashSet<>();

  private boolean planDue;

  /** Machines that the cloud gives or refuses together. */
  private record CapacityPool(String type, String zone, boolean spot) {
    static CapacityPool of(Decision.ProvisionMachines request) {
      return new CapacityPool(request.typeName(), request.zone(), request.spot());
    }
  }

  ScaleOut(ClusterState cluster) {
    this.cluster = cluster;
  }

  void onRequested(String requestId, Decision.ProvisionMachines request) {
    pendingRequests.put(requestId, request);
  }

  void onSettled(String requestId) {
    planDue |= pendingRequests.remove(requestId) != null;
  }

  void onNoCapacity(Decision.ProvisionMachines request, long nowMs) {
    noCapacityUntilMs.put(CapacityPool.of(request), nowMs + NO_CAPACITY_BACKOFF_MS);
  }

  /** Whether a call to the cloud has ended since the last plan, so that the next may go out. */
  boolean planDue() {
    return planDue;
  }

  /**
   * The calls to the cloud are few: while some are under way, demand gathers, and then each call
   * asks for as many machines as it may.
   */
  void plan(List<Decision> decisions, long nowMs) {
    planDue = false;
    int calls = ThreadBudget.PROVISION_THREADS - pendingRequests.size();
    if (calls <= 0) {
      return;
    }
    for (Decision.ProvisionMachines request : requestsForDemand(nowMs)) {
      if (calls-- == 0) {
        return;
      }
      int count = Math.min(request.count(), PROVISION_BATCH_MACHINES);
      decisions.add(
          new Decision.ProvisionMachines(
              request.typeName(), request.zone(), request.spot(), count));
      LOG.info(
          "renting {} {} in {}{}",
          count,
          request.typeName(),
          request.zone(),
          request.spot() ? ", spot" : "");
    }
  }

  private Collection<Decision.ProvisionMachines> requestsForDemand(long nowMs) {
    List<PlannedMachine> pendingMachines = new ArrayList<>();
    List<PlannedMachine> freeMachines = new ArrayList<>();
    List<PlannedMachine> soonFreeMachines = new ArrayList<>();
    long soonAtMs = nowMs + fastestBootMs();
    machinesByZone.clear();
    zonesWithPendingMachines.clear();
    RemainingQuota remainingQuota = new RemainingQuota(cluster);
    for (Machine machine : cluster.allMachines()) {
      machinesByZone.merge(machine.zone, 1, Integer::sum);
      if (machine.state == Machine.State.BOOTING) {
        zonesWithPendingMachines.add(machine.zone);
      }
      if (machine.type != null
          && machine.state == Machine.State.BOOTING
          && !cluster.isZonePartitioned(machine.zone, nowMs)) {
        pendingMachines.add(new PlannedMachine(machine.type, machine.zone, machine.spot));
      } else if (cluster.usable(machine, nowMs)) {
        freeMachines.add(new PlannedMachine(machine));
        soonFreeMachines.add(PlannedMachine.withExpectedReleases(machine, soonAtMs));
        for (TaskAttempt attempt : machine.attempts.values()) {
          if (attempt.expectedDoneBy(soonAtMs)) {
            remainingQuota.expectRelease(attempt);
          }
        }
      }
    }
    for (Decision.ProvisionMachines request : pendingRequests.values()) {
      addPending(request, pendingMachines);
    }
    Map<CapacityPool, Decision.ProvisionMachines> requests = new LinkedHashMap<>();
    for (Job job : waitingJobs(nowMs)) {
      // What is free before a new machine could be up needs no new machine.
      boolean mayUseSoonFree =
          job.spec.kind() != JobKind.GANG
              && (job.startObjectiveS == null || job.startObjectiveS * 1000 > soonAtMs - nowMs);
      int maxTasks = desiredConcurrency(job, nowMs);
      // What leaves room soon leaves as much of its team's limit. Counted as room alone, it covered
      // all that the limits still allowed: nothing was rented however many waited, with the teams
      // far below their limits (own day full-teams-hukkalampo).
      int tasks =
          mayUseSoonFree
              ? remainingQuota.takeIncludingSoonReleased(job, maxTasks)
              : remainingQuota.take(job, maxTasks);
      Demand demand = new Demand(job, tasks);
      if (job.spec.oneZone()) {
        demand.restrictToZone(cheapestZone(demand, freeMachines, pendingMachines, nowMs));
      }
      if (job.spec.kind() == JobKind.GANG) {
        demand.fill(freeMachines);
      } else if (mayUseSoonFree) {
        demand.fill(soonFreeMachines);
      }
      demand.fill(pendingMachines);
      for (int i = 0; demand.remaining() > 0 && i < POOLS_PER_JOB; i++) {
        Decision.ProvisionMachines request = cheapestRequest(demand, false, nowMs);
        request = request == null ? cheapestRequest(demand, true, nowMs) : request;
        if (request == null) {
          break;
        }
        int firstNew = pendingMachines.size();
        addPending(request, pendingMachines);
        demand.fill(pendingMachines.subList(firstNew, pendingMachines.size()));
        requests.merge(
            CapacityPool.of(request),
            request,
            (a, b) ->
                new Decision.ProvisionMachines(
                    a.typeName(), a.zone(), a.spot(), a.count() + b.count()));
      }
    }
    return requests.values();
  }

  /** The zone that lacks least of what the job needs, among those where the rest can be had. */
  private String cheapestZone(
      Demand demand,
      List<PlannedMachine> freeMachines,
      List<PlannedMachine> pendingMachines,
      long nowMs) {
    String best = "";
    String fallback = "";
    double bestCost = Double.MAX_VALUE;
    for (String zone : cluster.machineTypes.zones()) {
      int maxTasks = demand.allowedIn(zone);
      // Of an array that is spread as well a part runs there after the other.
      boolean mayRunInParts = demand.job.spec.kind() == JobKind.ARRAY && maxTasks > 0;
      if (maxTasks < demand.remaining() && !mayRunInParts) {
        continue;
      }
      fallback = zone;
      int missingTasks =
          Math.max(
              0,
              maxTasks
                  - demand.fittingTasks(freeMachines, zone)
                  - demand.fittingTasks(pendingMachines, zone));
      double price = missingTasks == 0 ? 0 : lowestPrice(demand.job, zone, nowMs);
      double cost = missingTasks * price;
      if (cost < bestCost) {
        best = zone;
        bestCost = cost;
      }
    }
    return best.isEmpty() ? fallback : best;
  }

  private double lowestPrice(Job job, String zone, long nowMs) {
    double lowest = Double.MAX_VALUE;
    for (String name : job.usableTypes) {
      MachineType type = cluster.machineTypes.all().get(name);
      for (boolean spot : job.spec.spotChoices()) {
        if (type.zones().contains(zone) && !isPaused(new CapacityPool(name, zone, spot), nowMs)) {
          lowest = Math.min(lowest, type.hourlyPrice(spot));
        }
      }
    }
    return lowest;
  }

  private boolean isPaused(CapacityPool pool, long nowMs) {
    // What is rented in a zone that is cut off does not come up.
    return recentlyRefused(pool, nowMs) || cluster.isZonePartitioned(pool.zone(), nowMs);
  }

  private boolean recentlyRefused(CapacityPool pool, long nowMs) {
    return noCapacityUntilMs.getOrDefault(pool, Long.MIN_VALUE) > nowMs;
  }

  private void addPending(
      Decision.ProvisionMachines request, List<PlannedMachine> pendingMachines) {
    MachineType type = cluster.machineTypes.all().get(request.typeName());
    for (int i = 0; type != null && i < request.count(); i++) {
      pendingMachines.add(new PlannedMachine(type, request.zone(), request.spot()));
    }
    machinesByZone.merge(request.zone(), request.count(), Integer::sum);
    zonesWithPendingMachines.add(request.zone());
  }

  private List<Job> waitingJobs(long nowMs) {
    List<Job> jobs = new ArrayList<>();
    for (Job job : cluster.waitingJobs) {
      // What may run on a machine not heard yet needs no other.
      boolean mayBeRunningUnobserved = cluster.anyUnreconciled() && job.inherited;
      if (!mayBeRunningUnobserved && !job.cancellationRequested && nowMs >= job.pausedUntilMs) {
        jobs.add(job);
      }
    }
    jobs.sort(
        Comparator.comparing((Job j) -> j.spec.priority()).thenComparing(j -> !j.hasObjective));
    return jobs;
  }

  /** Room that is left before the fastest new machine could be up counts as free. */
  private long fastestBootMs() {
    double fastestS = Double.MAX_VALUE;
    for (MachineType type : cluster.machineTypes.all().values()) {
      fastestS = Math.min(fastestS, type.bootS());
    }
    return (long) (fastestS * 1000);
  }

  /** How many of the waiting tasks should run at once for the job to be in time. */
  private int desiredConcurrency(Job job, long nowMs) {
    JobSpec spec = job.spec;
    if (job.isSuspect()) {
      // A probe needs no more; a gang that is probably broken waits for what is there.
      return spec.kind() == JobKind.GANG || job.probeInProgress() ? 0 : 1;
    }
    int tasks = job.waitingCount();
    Double endS = job.completionDueS();
    if (spec.kind() == JobKind.ARRAY && endS != null && spec.estimateS() > 0) {
      double leftS = endS - (nowMs - job.submittedMs) / 1000.0 - spec.estimateS() / 2;
      leftS -= job.hasLongStartObjective() ? startupDelayS(job) : 0;
      double rounds = Math.max(1, leftS / spec.estimateS());
      tasks = (int) Math.min(tasks, Math.ceil(tasks / rounds));
    }
    return tasks;
  }

  /** Seconds until a machine rented now could run a task of the job: its boot and its fetch. */
  private double startupDelayS(Job job) {
    double fastestS = Double.MAX_VALUE;
    for (String name : job.usableTypes) {
      MachineType type = cluster.machineTypes.all().get(name);
      fastestS = Math.min(fastestS, type.bootS() + job.spec.imageGb() / type.fetchGbPerS());
    }
    return fastestS == Double.MAX_VALUE ? 0 : fastestS;
  }

  /**
   * The cheapest machines for what is left of the need; null if none can be had now. {@code
   * inPartitionedZone}: one machine in a zone that is cut off, for what may go nowhere else. It
   * shows when the zone is back: where nothing was left in it to do that, such jobs waited for a
   * minute more.
   */
  private Decision.ProvisionMachines cheapestRequest(
      Demand demand, boolean inPartitionedZone, long nowMs) {
    JobSpec spec = demand.job.spec;
    Decision.ProvisionMachines best = null;
    double bestCost = Double.MAX_VALUE;
    for (String name : demand.job.usableTypes) {
      MachineType type = cluster.machineTypes.all().get(name);
      int tasksPerMachine = Math.max(1, type.capacity(spec));
      int machinesNeeded = (demand.remaining() + tasksPerMachine - 1) / tasksPerMachine;
      for (boolean spot : spec.spotChoices()) {
        for (String zone : type.zones()) {
          int allowedTasks = demand.allowedIn(zone);
          CapacityPool pool = new CapacityPool(name, zone, spot);
          boolean unavailable =
              inPartitionedZone
                  ? recentlyRefused(pool, nowMs)
                      || !cluster.isZonePartitioned(zone, nowMs)
                      || zonesWithPendingMachines.contains(zone)
                  : isPaused(pool, nowMs);
          if (allowedTasks <= 0 || unavailable) {
            continue;
          }
          int count =
              Math.min(machinesNeeded, (allowedTasks + tasksPerMachine - 1) / tasksPerMachine);
          count = spec.oneZone() ? count : Math.min(count, zoneShare(machinesNeeded, type));
          count = inPartitionedZone ? 1 : count;
          // A tie goes to the zone with the fewest machines, which spreads the fleet.
          // Its boot is paid for, too.
          double price = type.hourlyPrice(spot) * (1 + type.bootS() / EXPECTED_MACHINE_LIFETIME_S);
          double cost = machinesNeeded * price * (1 + 0.001 * machinesByZone.getOrDefault(zone, 0));
          if (cost < bestCost) {
            bestCost = cost;
            best = new Decision.ProvisionMachines(name, zone, spot, count);
          }
        }
      }
    }
    return best;
  }

  private static int zoneShare(int count, MachineType type) {
    return Math.max(1, (count + type.zones().size() - 1) / type.zones().size());
  }
}
