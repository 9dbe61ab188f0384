package org.astershift.scheduler;

/** Room on one machine that is live, booting or requested; a scale-out plan fills it with tasks. */
final class PlannedMachine extends FreeCapacity {
  final String zone;
  private final MachineType type;
  private final boolean spot;

  /** Creates an empty machine. */
  PlannedMachine(MachineType type, String zone, boolean spot) {
    super(type.cpus(), type.gpus(), type.memoryGb(), MachineType.MAX_TASKS_PER_MACHINE);
    this.type = type;
    this.zone = zone;
    this.spot = spot;
  }

  /**
   * Creates the room that is free on a machine now; room that a pass has reserved counts as free.
   */
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

  /**
   * Returns the room on the machine, including the room that its array tasks will have freed by
   * {@code atMs} according to their estimates.
   */
  static PlannedMachine withExpectedReleases(Machine machine, long atMs) {
    PlannedMachine planned = new PlannedMachine(machine);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.isExpectedDoneBy(atMs)) {
        planned.add(attempt.job.spec);
      }
    }
    return planned;
  }

  /** Returns how many such tasks may run and fit here, at most {@code limit}. */
  int countAllowedTasks(JobSpec spec, int limit) {
    return isAllowed(spec) ? countFittingTasks(spec, limit) : 0;
  }

  /**
   * Takes the room of one task if the task may run and fits here; returns whether the room was
   * taken.
   */
  boolean tryAllocate(JobSpec spec) {
    if (!hasRoomFor(spec) || !isAllowed(spec)) {
      return false;
    }
    remove(spec);
    return true;
  }

  private boolean isAllowed(JobSpec spec) {
    return (!spot || spec.spotAllowed())
        && (type.gpus() == 0 || spec.gpus() > 0)
        && (spec.machineTypes() == null || spec.machineTypes().contains(type.name()))
        && (spec.zone() == null || spec.zone().equals(zone));
  }
}
