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
    double hourlyPrice,
    double spotHourlyPrice,
    double bootS,
    List<String> zones) {

  /** Price an hour of one kind of this type. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotHourlyPrice : hourlyPrice;
  }

  /** How many such tasks an empty machine can take. */
  public int capacity(JobSpec spec) {
    double count = Constants.MAX_TASKS_PER_MACHINE;
    count = spec.cpus() > 0 ? Math.min(count, cpus / spec.cpus()) : count;
    count = spec.gpus() > 0 ? Math.min(count, gpus / spec.gpus()) : count;
    count = spec.memoryGb() > 0 ? Math.min(count, memoryGb / spec.memoryGb()) : count;
    return (int) (count + 1e-6);
  }
}
