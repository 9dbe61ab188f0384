package org.astershift.scheduler;

import java.util.List;

/** Chooses the cheapest pools and zones for a demand within one scale-out plan. */
final class PoolSelector {
  /**
   * Lifetime over which the price of a machine's boot is spread, in seconds; most machines live for
   * some minutes.
   */
  private static final double EXPECTED_MACHINE_LIFETIME_S = 300;

  /**
   * Share of a machine's price that is added for each machine already in its zone, so that of zones
   * with equal prices the one with fewer machines is chosen.
   */
  private static final double ZONE_SPREAD_PRICE_SHARE = 0.001;

  private final MachineTypeCatalog types;
  private final PoolAvailability availability;
  private final ZoneLoad zoneLoad;
  private final long nowMs;

  PoolSelector(
      MachineTypeCatalog types, PoolAvailability availability, ZoneLoad zoneLoad, long nowMs) {
    this.types = types;
    this.availability = availability;
    this.zoneLoad = zoneLoad;
    this.nowMs = nowMs;
  }

  /**
   * Returns a request for the cheapest machines for the remaining demand; null if no machine can be
   * obtained now. If no reachable zone offers any, one machine in a partitioned zone is requested:
   * that machine shows when the zone is reachable again, which matters to jobs that may run nowhere
   * else.
   */
  Decision.ProvisionMachines selectCheapestRequest(Demand demand) {
    Decision.ProvisionMachines request = selectCheapestRequest(demand, false);
    return request == null ? selectCheapestRequest(demand, true) : request;
  }

  private Decision.ProvisionMachines selectCheapestRequest(
      Demand demand, boolean inPartitionedZone) {
    JobSpec spec = demand.job.spec;
    Decision.ProvisionMachines bestRequest = null;
    double bestCost = Double.MAX_VALUE;
    for (String name : demand.job.usableTypes) {
      MachineType type = types.all().get(name);
      int tasksPerMachine = Math.max(1, type.capacity(spec));
      int machinesNeeded = divideRoundingUp(demand.remainingTasks(), tasksPerMachine);
      for (boolean spot : spec.spotChoices()) {
        for (String zone : type.zones()) {
          CapacityPool pool = new CapacityPool(name, zone, spot);
          int allowedTasks = demand.maxTasksIn(zone);
          double cost = cost(type, pool, machinesNeeded);
          if (allowedTasks > 0 && canRequest(pool, inPartitionedZone) && cost < bestCost) {
            int allowedMachines =
                Math.min(machinesNeeded, divideRoundingUp(allowedTasks, tasksPerMachine));
            int count = machineCountInZone(spec, type, machinesNeeded, allowedMachines);
            bestCost = cost;
            bestRequest = pool.createRequest(inPartitionedZone ? 1 : count);
          }
        }
      }
    }
    return bestRequest;
  }

  private boolean canRequest(CapacityPool pool, boolean inPartitionedZone) {
    return inPartitionedZone
        ? availability.isAvailableInPartitionedZone(pool, nowMs)
            && !zoneLoad.hasPending(pool.zone())
        : availability.isAvailable(pool, nowMs);
  }

  private double cost(MachineType type, CapacityPool pool, int machines) {
    double price = type.hourlyPrice(pool.spot()) * (1 + type.bootS() / EXPECTED_MACHINE_LIFETIME_S);
    return machines * price * (1 + ZONE_SPREAD_PRICE_SHARE * zoneLoad.machineCountIn(pool.zone()));
  }

  /**
   * Returns how many machines to request in one zone: no more than the zone's even part of the
   * machines needed, unless the job has to be in one zone.
   */
  private static int machineCountInZone(
      JobSpec spec, MachineType type, int machinesNeeded, int allowedMachines) {
    int zoneShare = Math.max(1, divideRoundingUp(machinesNeeded, type.zones().size()));
    return spec.oneZone() ? allowedMachines : Math.min(allowedMachines, zoneShare);
  }

  private static int divideRoundingUp(int dividend, int divisor) {
    return (dividend + divisor - 1) / divisor;
  }

  /**
   * Returns the zone in which the machines that the demand still lacks cost least, among the zones
   * where they can be obtained now. If there is none, returns any zone that may take the demand, or
   * "" if none may.
   */
  String selectCheapestZone(
      Demand demand, List<PlannedMachine> freeMachines, List<PlannedMachine> pendingMachines) {
    String bestZone = "";
    String fallbackZone = "";
    double bestCost = Double.MAX_VALUE;
    for (String zone : types.zones()) {
      int maxTasks = demand.maxTasksIn(zone);
      // An array that is also spread runs in the zone one part after the other.
      boolean mayRunInParts = demand.job.spec.kind() == JobKind.ARRAY && maxTasks > 0;
      if (maxTasks < demand.remainingTasks() && !mayRunInParts) {
        continue;
      }
      fallbackZone = zone;
      int missingTasks =
          Math.max(
              0,
              maxTasks
                  - demand.countFittingTasks(freeMachines, zone)
                  - demand.countFittingTasks(pendingMachines, zone));
      double price = missingTasks == 0 ? 0 : lowestPrice(demand.job, zone);
      double cost = missingTasks * price;
      if (cost < bestCost) {
        bestZone = zone;
        bestCost = cost;
      }
    }
    return bestZone.isEmpty() ? fallbackZone : bestZone;
  }

  private double lowestPrice(Job job, String zone) {
    double lowest = Double.MAX_VALUE;
    for (String name : job.usableTypes) {
      MachineType type = types.all().get(name);
      for (boolean spot : job.spec.spotChoices()) {
        if (type.zones().contains(zone)
            && availability.isAvailable(new CapacityPool(name, zone, spot), nowMs)) {
          lowest = Math.min(lowest, type.hourlyPrice(spot));
        }
      }
    }
    return lowest;
  }
}
