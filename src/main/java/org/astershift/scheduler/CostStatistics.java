package org.astershift.scheduler;

import java.util.Collection;
import java.util.Locale;

/** Where this term's money goes, for the log: by what each machine does at the time. */
final class CostStatistics {
  private static final double MS_PER_HOUR = 3_600_000;
  private long lastMs = -1;
  private double booting;
  private double idle;
  private double unused;
  private double used;
  private double silent;

  void add(Collection<Machine> machines, long nowMs) {
    double hours = lastMs < 0 ? 0 : (nowMs - lastMs) / MS_PER_HOUR;
    lastMs = nowMs;
    for (Machine m : machines) {
      MachineType t = m.kind;
      if (t == null) {
        continue;
      }
      double cost = t.price(m.spot) * hours;
      double share =
          Math.max(
              m.usedCpus() / t.cpus(),
              Math.max(m.usedMemory() / t.memoryGb(), t.gpus() > 0 ? m.usedGpus() / t.gpus() : 0));
      switch (m.state) {
        case BOOTING -> booting += cost;
        case LIVE -> {
          if (!m.idle()) {
            used += cost * share;
            unused += cost * (1 - share);
          } else {
            idle += cost;
          }
        }
        default -> silent += cost;
      }
    }
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "spent %.2f on tasks, %.2f beside tasks, %.2f idle, %.2f booting, %.2f silent or returning",
        used,
        unused,
        idle,
        booting,
        silent);
  }
}
