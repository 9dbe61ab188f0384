package org.astershift.scheduler;

import java.util.List;

/**
 * A job as specified by its user. A null value of {@code machineTypes} means any machine type, of
 * {@code zone} any zone, and of {@code deadlineS} no deadline.
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

  /** Returns whether one task could run on an empty machine of this type. */
  public boolean fits(MachineType type) {
    return (machineTypes == null || machineTypes.contains(type.name()))
        && cpus <= type.cpus() + 1e-9
        && gpus <= type.gpus() + 1e-9
        && memoryGb <= type.memoryGb() + 1e-9
        && (zone == null || type.zones().contains(zone));
  }

  /** Returns the allowed values of a machine's spot flag; spot comes first if it is allowed. */
  public List<Boolean> spotChoices() {
    return spotAllowed ? List.of(true, false) : List.of(false);
  }

  /** Returns how many tasks a spread job may have in one zone: half of them, rounded up. */
  public int spreadLimit() {
    return (tasks + 1) / 2;
  }
}
