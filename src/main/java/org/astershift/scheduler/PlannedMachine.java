package org.astershift.scheduler;

/** Room on one machine that is live, booting or requested, as a scale-out plan fills it. */
final class PlannedMachine extends FreeCapacity {
  final String zone;
  private final MachineType type;
  private final boolean spot;

  /** An empty machine. */
  PlannedMachine(MachineType type, String zone, boolean spot) {
    super(type.cpus(), type.gpus(), type.memoryGb(), MachineType.MAX_TASKS_PER_MACHINE);
    this.type = type;
    this.zone = zone;
    this.spot = spot;
  }

  /** What is free on a machine now; what a pass reserved there counts as free. */
  PlannedMachine(Machine machine) {
    super(
        machine.type.cpus() - machine.usedCpus(),
        machine.type.gpus() - machine.usedGpus(),
        machine.type.memoryGb() - machine.usedMemoryGb(),
        MachineType.MAX_TASKS_PER_MACHINE - machine.attempts.size());
    this.type = machine.type;
    this.zone = machine.zone;
    this.spot = machine.spot;
  }

  /** With what its array tasks will have freed at a time, by their estimates. */
  static PlannedMachine withExpectedReleases(Machine machine, long atMs) {
    PlannedMachine planned = new PlannedMachine(machine);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.expectedDoneBy(atMs)) {
        planned.add(attempt.job.spec);
      }
    }
    return planned;
  }

  /** How many tasks like this may and can run here, at most {@code limit}. */
  int fittingTasks(JobSpec spec, int limit) {
    return allows(spec) ? fitCount(spec, limit) : 0;
  }

  /** Takes one task, if it may and can run here. */
  boolean take(JobSpec spec) {
    if (!hasRoomFor(spec) || !allows(spec)) {
      return false;
    }
    remove(spec);
    return true;
  }

  private boolean allows(JobSpec spec) {
    return (!spot || spec.spotAllowed())
        && (type.gpus() == 0 || spec.gpus() > 0)
        && (spec.machineTypes() == null || spec.machineTypes().contains(type.name()))
        && (spec.zone() == null || spec.zone().equals(zone));
  }
}
