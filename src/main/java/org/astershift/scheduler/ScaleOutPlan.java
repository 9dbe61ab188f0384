package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One scale-out plan: determines which machines the waiting jobs lack, the most urgent job first.
 */
final class ScaleOutPlan {
  /** Maximum number of pools from which one plan requests machines for one job. */
  private static final int POOLS_PER_JOB = 20;

  private final ClusterState cluster;
  private final ConcurrencyEstimator concurrency;
  private final PoolSelector selector;
  private final long nowMs;

  /** When the fastest-booting machine would be up if it were requested now. */
  private final long earliestReadyMs;

  private final ZoneLoad zoneLoad = new ZoneLoad();
  private final RemainingQuota remainingQuota;
  private final List<PlannedMachine> pendingMachines = new ArrayList<>();
  private final List<PlannedMachine> freeMachines = new ArrayList<>();

  /**
   * The free machines, including the room that tasks will have left by {@link #earliestReadyMs}.
   */
  private final List<PlannedMachine> soonFreeMachines = new ArrayList<>();

  private final Map<CapacityPool, Decision.ProvisionMachines> requests = new LinkedHashMap<>();

  ScaleOutPlan(ClusterState cluster, PoolAvailability availability, long nowMs) {
    this.cluster = cluster;
    this.concurrency = new ConcurrencyEstimator(cluster.machineTypes);
    this.selector = new PoolSelector(cluster.machineTypes, availability, zoneLoad, nowMs);
    this.nowMs = nowMs;
    this.earliestReadyMs = nowMs + concurrency.fastestBootMs();
    this.remainingQuota = new RemainingQuota(cluster);
  }

  /**
   * Returns one request for each pool; {@code pendingRequests} are the calls to the cloud in
   * flight.
   */
  Collection<Decision.ProvisionMachines> planRequests(
      Collection<Decision.ProvisionMachines> pendingRequests) {
    for (Machine machine : cluster.allMachines()) {
      addMachine(machine);
    }
    for (Decision.ProvisionMachines request : pendingRequests) {
      addPending(request);
    }
    for (Job job : collectWaitingJobs()) {
      requestMachinesFor(job);
    }
    return requests.values();
  }

  private void addMachine(Machine machine) {
    zoneLoad.add(machine);
    if (machine.type != null
        && machine.state == Machine.State.BOOTING
        && !cluster.isZonePartitioned(machine.zone, nowMs)) {
      pendingMachines.add(new PlannedMachine(machine.type, machine.zone, machine.spot));
    } else if (cluster.isUsable(machine, nowMs)) {
      freeMachines.add(new PlannedMachine(machine));
      soonFreeMachines.add(PlannedMachine.withExpectedReleases(machine, earliestReadyMs));
      for (TaskAttempt attempt : machine.attempts.values()) {
        if (attempt.isExpectedDoneBy(earliestReadyMs)) {
          remainingQuota.expectRelease(attempt);
        }
      }
    }
  }

  private void addPending(Decision.ProvisionMachines request) {
    MachineType type = cluster.machineTypes.all().get(request.typeName());
    for (int i = 0; type != null && i < request.count(); i++) {
      pendingMachines.add(new PlannedMachine(type, request.zone(), request.spot()));
    }
    zoneLoad.addPending(request);
  }

  private List<Job> collectWaitingJobs() {
    List<Job> jobs = new ArrayList<>();
    for (Job job : cluster.waitingJobs) {
      // Tasks that may be running on an unreconciled machine need no other machine.
      boolean mayBeRunningUnobserved = cluster.hasUnreconciledMachines() && job.inherited;
      if (!mayBeRunningUnobserved && !job.cancellationRequested && nowMs >= job.pausedUntilMs) {
        jobs.add(job);
      }
    }
    jobs.sort(
        Comparator.comparing((Job job) -> job.spec.priority())
            .thenComparing(job -> !job.hasObjective));
    return jobs;
  }

  private void requestMachinesFor(Job job) {
    Demand demand = findUncoveredDemand(job);
    for (int i = 0; demand.remainingTasks() > 0 && i < POOLS_PER_JOB; i++) {
      Decision.ProvisionMachines request = selector.selectCheapestRequest(demand);
      if (request == null) {
        break;
      }
      int firstNew = pendingMachines.size();
      addPending(request);
      demand.assignTo(pendingMachines.subList(firstNew, pendingMachines.size()));
      requests.merge(
          CapacityPool.of(request),
          request,
          (a, b) -> CapacityPool.of(a).createRequest(a.count() + b.count()));
    }
  }

  /** Returns the tasks of the job that neither free nor pending machines can take. */
  private Demand findUncoveredDemand(Job job) {
    boolean mayUseSoonFree = mayUseSoonFree(job);
    int maxTasks = concurrency.desiredConcurrency(job, nowMs);
    // Tasks that end soon free their team's quota as well as their room. If only the room counted,
    // it would cover all tasks that the quota allows now, and no machine would be requested.
    int tasks =
        mayUseSoonFree
            ? remainingQuota.allocateIncludingSoonReleased(job, maxTasks)
            : remainingQuota.allocate(job, maxTasks);
    Demand demand = new Demand(job, tasks);
    if (job.spec.oneZone()) {
      demand.restrictToZone(selector.selectCheapestZone(demand, freeMachines, pendingMachines));
    }
    if (job.spec.kind() == JobKind.GANG) {
      demand.assignTo(freeMachines);
    } else if (mayUseSoonFree) {
      demand.assignTo(soonFreeMachines);
    }
    demand.assignTo(pendingMachines);
    return demand;
  }

  /**
   * Returns whether the job can use room that becomes free before a new machine could be up, and so
   * needs no new machine for it.
   */
  private boolean mayUseSoonFree(Job job) {
    return job.spec.kind() != JobKind.GANG
        && (job.startObjectiveS == null || job.startObjectiveS * 1000 > earliestReadyMs - nowMs);
  }
}
