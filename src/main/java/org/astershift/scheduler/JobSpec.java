package org.astershift.scheduler;

import java.util.List;

/**
 * A job as its user described it. {@code machineTypes} null means any machine type, {@code zone}
 * null any zone, {@code deadlineS} null no deadline.
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    JobKind kind,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> machineTypes,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    double estimateS,
    double checkpointIntervalS,
    double checkpointSaveS,
    Double deadlineS) {

  /** Whether one task could ever run on an empty machine of this type. */
  public boolean fits(MachineType type) {
    return (machineTypes == null || machineTypes.contains(type.name()))
        && cpus <= type.cpus() + 1e-9
        && gpus <= type.gpus() + 1e-9
        && memoryGb <= type.memoryGb() + 1e-9
        && (zone == null || type.zones().contains(zone));
  }

  /** Whether machines may be spot: the choices that the job has, spot first. */
  public List<Boolean> spotChoices() {
    return spotAllowed ? List.of(true, false) : List.of(false);
  }

  /** How many tasks a spread job may have in one zone: half of them, rounded up. */
  public int spreadLimit() {
    return (tasks + 1) / 2;
  }
}
