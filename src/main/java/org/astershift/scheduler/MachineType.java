package org.astershift.scheduler;

import java.util.List;
import org.astershift.config.Constants;

/** A machine type of the cloud, with its current prices an hour. */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  /** Price an hour of one kind of this type. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }

  /** How many such tasks an empty machine can take. */
  public int capacity(JobSpec s) {
    double n = Constants.TASKS_A_MACHINE;
    n = s.cpus() > 0 ? Math.min(n, cpus / s.cpus()) : n;
    n = s.gpus() > 0 ? Math.min(n, gpus / s.gpus()) : n;
    n = s.memoryGb() > 0 ? Math.min(n, memoryGb / s.memoryGb()) : n;
    return (int) (n + 1e-6);
  }
}
