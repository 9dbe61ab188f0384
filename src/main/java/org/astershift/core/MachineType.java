package org.astershift.core;

import java.util.List;

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
}
