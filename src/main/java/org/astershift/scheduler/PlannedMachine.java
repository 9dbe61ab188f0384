package org.astershift.scheduler;

/** Room on one machine that is there, booting or asked for, as a plan for renting fills it. */
final class PlannedMachine {
  private static final double TOLERANCE = 1e-6;
  final String zone;
  private final MachineType type;
  private final boolean spot;
  private double freeCpus;
  private double freeGpus;
  private double freeMemoryGb;
  private int freeTasks = MachineType.MAX_TASKS_PER_MACHINE;

  /** An empty machine. */
  PlannedMachine(MachineType type, String zone, boolean spot) {
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.freeCpus = type.cpus();
    this.freeGpus = type.gpus();
    this.freeMemoryGb = type.memoryGb();
  }

  /** What is free on a machine now. */
  PlannedMachine(Machine machine) {
    this(machine.type, machine.zone, machine.spot);
    freeCpus -= machine.usedCpus();
    freeGpus -= machine.usedGpus();
    freeMemoryGb -= machine.usedMemoryGb();
    freeTasks -= machine.attempts.size();
  }

  /** With what its array tasks will have left at a time, as far as their estimates tell. */
  static PlannedMachine withExpectedReleases(Machine machine, long atMs) {
    PlannedMachine planned = new PlannedMachine(machine);
    for (TaskAttempt attempt : machine.attempts.values()) {
      JobSpec spec = attempt.job.spec;
      if (attempt.expectedDoneBy(atMs)) {
        planned.freeCpus += spec.cpus();
        planned.freeGpus += spec.gpus();
        planned.freeMemoryGb += spec.memoryGb();
        planned.freeTasks++;
      }
    }
    return planned;
  }

  /** How many tasks like this find room, at most {@code limit}. */
  int fittingTasks(JobSpec spec, int limit) {
    if (!hasRoomFor(spec) || !allows(spec)) {
      return 0;
    }
    double count = Math.min(limit, freeTasks);
    count = spec.cpus() > 0 ? Math.min(count, (freeCpus + TOLERANCE) / spec.cpus()) : count;
    count = spec.gpus() > 0 ? Math.min(count, (freeGpus + TOLERANCE) / spec.gpus()) : count;
    count =
        spec.memoryGb() > 0 ? Math.min(count, (freeMemoryGb + TOLERANCE) / spec.memoryGb()) : count;
    return Math.max(0, (int) count);
  }

  private boolean allows(JobSpec spec) {
    return (!spot || spec.spotAllowed())
        && (type.gpus() == 0 || spec.gpus() > 0)
        && (spec.machineTypes() == null || spec.machineTypes().contains(type.name()))
        && (spec.zone() == null || spec.zone().equals(zone));
  }

  /** Whether there is room for one task, be it allowed or not. */
  boolean hasRoomFor(JobSpec spec) {
    return freeTasks > 0
        && freeCpus + TOLERANCE >= spec.cpus()
        && freeGpus + TOLERANCE >= spec.gpus()
        && freeMemoryGb + TOLERANCE >= spec.memoryGb();
  }

  /** Takes one task, if it may and can. */
  boolean take(JobSpec spec) {
    if (!hasRoomFor(spec) || !allows(spec)) {
      return false;
    }
    freeCpus -= spec.cpus();
    freeGpus -= spec.gpus();
    freeMemoryGb -= spec.memoryGb();
    freeTasks--;
    return true;
  }
}
