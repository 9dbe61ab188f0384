package org.astershift.scheduler;

import java.util.Collection;
import java.util.Locale;

/** Sums the cost of machines in this leader's term, for the log, by what each machine was doing. */
final class CostStatistics {
  private static final double MS_PER_HOUR = 3_600_000;
  private long lastAccrualMs = -1; // -1: nothing is accrued yet
  private double bootingCost;
  private double idleCost;
  private double unusedCapacityCost;
  private double usedCost;

  /** Cost of machines in any other state: unreconciled, with an expired lease, or releasing. */
  private double otherCost;

  /** Adds the cost since the last call according to what each machine is doing now. */
  void accrue(Collection<Machine> machines, long nowMs) {
    double hours = lastAccrualMs < 0 ? 0 : (nowMs - lastAccrualMs) / MS_PER_HOUR;
    lastAccrualMs = nowMs;
    for (Machine machine : machines) {
      MachineType type = machine.type;
      if (type == null) {
        continue;
      }
      double cost = type.hourlyPrice(machine.spot) * hours;
      switch (machine.state) {
        case BOOTING -> bootingCost += cost;
        case LIVE -> accrueLive(machine, cost);
        default -> otherCost += cost;
      }
    }
  }

  private void accrueLive(Machine machine, double cost) {
    if (machine.isIdle()) {
      idleCost += cost;
    } else {
      double share = usedShare(machine);
      usedCost += cost * share;
      unusedCapacityCost += cost * (1 - share);
    }
  }

  /** Returns the used share of the resource that the machine's tasks use most. */
  private static double usedShare(Machine machine) {
    MachineType type = machine.type;
    return Math.max(
        machine.usedCpus() / type.cpus(),
        Math.max(
            machine.usedMemoryGb() / type.memoryGb(),
            type.gpus() > 0 ? machine.usedGpus() / type.gpus() : 0));
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "cost: %.2f used by tasks, %.2f unused beside tasks, %.2f idle, %.2f booting, %.2f other",
        usedCost,
        unusedCapacityCost,
        idleCost,
        bootingCost,
        otherCost);
  }
}
