package org.astershift.scheduler;

import java.util.List;

/** A machine type of the cloud, with its current prices an hour. */
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
   * Tasks that a machine gets at most, however little they take. Its reports name them all, ended
   * ones too, with up to some 140 bytes each, and a body may have 64 KiB: a machine whose reports
   * are refused loses its lease, and with it all of its tasks, again and again.
   */
  static final int MAX_TASKS_PER_MACHINE = 400;

  /** Price an hour of one kind of this type. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotHourlyPrice : hourlyPrice;
  }

  /** How many such tasks an empty machine can take. */
  public int capacity(JobSpec spec) {
    double count = MAX_TASKS_PER_MACHINE;
    count = spec.cpus() > 0 ? Math.min(count, cpus / spec.cpus()) : count;
    count = spec.gpus() > 0 ? Math.min(count, gpus / spec.gpus()) : count;
    count = spec.memoryGb() > 0 ? Math.min(count, memoryGb / spec.memoryGb()) : count;
    return (int) (count + 1e-6);
  }
}
