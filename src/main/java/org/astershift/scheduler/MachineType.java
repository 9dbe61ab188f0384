package org.astershift.scheduler;

import java.util.List;

/** A machine type of the cloud, with its current prices per hour. */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double hourlyPrice,
    double spotHourlyPrice,
    double bootS,
    List<String> zones) {
  /**
   * Maximum number of tasks on one machine, however small they are. A heartbeat lists all of them,
   * including exited ones, in a body of limited size: a machine whose heartbeats are rejected loses
   * its lease and all of its tasks.
   */
  static final int MAX_TASKS_PER_MACHINE = 400;

  /** Returns the price per hour as a spot or an on-demand machine. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotHourlyPrice : hourlyPrice;
  }

  /** Returns how many such tasks an empty machine can hold. */
  public int capacity(JobSpec spec) {
    double count = MAX_TASKS_PER_MACHINE;
    count = spec.cpus() > 0 ? Math.min(count, cpus / spec.cpus()) : count;
    count = spec.gpus() > 0 ? Math.min(count, gpus / spec.gpus()) : count;
    count = spec.memoryGb() > 0 ? Math.min(count, memoryGb / spec.memoryGb()) : count;
    return (int) (count + 1e-6);
  }
}
