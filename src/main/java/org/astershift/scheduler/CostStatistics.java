package org.astershift.scheduler;

import java.util.Collection;
import java.util.Locale;

/** Where this term's money goes, for the log: by what each machine does at the time. */
final class CostStatistics {
  private static final double MS_PER_HOUR = 3_600_000;
  private long lastMs = -1;
  private double bootingCost;
  private double idleCost;
  private double unusedCost;
  private double usedCost;
  private double silentCost;

  void accrue(Collection<Machine> machines, long nowMs) {
    double hours = lastMs < 0 ? 0 : (nowMs - lastMs) / MS_PER_HOUR;
    lastMs = nowMs;
    for (Machine machine : machines) {
      MachineType type = machine.type;
      if (type == null) {
        continue;
      }
      double cost = type.hourlyPrice(machine.spot) * hours;
      double share =
          Math.max(
              machine.usedCpus() / type.cpus(),
              Math.max(
                  machine.usedMemoryGb() / type.memoryGb(),
                  type.gpus() > 0 ? machine.usedGpus() / type.gpus() : 0));
      switch (machine.state) {
        case BOOTING -> bootingCost += cost;
        case LIVE -> {
          if (!machine.idle()) {
            usedCost += cost * share;
            unusedCost += cost * (1 - share);
          } else {
            idleCost += cost;
          }
        }
        default -> silentCost += cost;
      }
    }
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "spent %.2f on tasks, %.2f beside tasks, %.2f idle, %.2f booting, %.2f silent or returning",
        usedCost,
        unusedCost,
        idleCost,
        bootingCost,
        silentCost);
  }
}
