package org.astershift.scheduler;

import org.astershift.config.Constants;

/** Room on one machine that is there, booting or asked for, as a plan for renting fills it. */
final class PlannedMachine {
  private static final double TOLERANCE = 1e-6;
  final String zone;
  private final MachineType type;
  private final boolean spot;
  private double cpus;
  private double gpus;
  private double memory;
  private int tasks = Constants.TASKS_A_MACHINE;

  /** An empty machine. */
  PlannedMachine(MachineType type, String zone, boolean spot) {
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.cpus = type.cpus();
    this.gpus = type.gpus();
    this.memory = type.memoryGb();
  }

  /** What is free on a machine now. */
  PlannedMachine(Machine m) {
    this(m.kind, m.zone, m.spot);
    cpus -= m.usedCpus();
    gpus -= m.usedGpus();
    memory -= m.usedMemory();
    tasks -= m.runs.size();
  }

  /** With what its array tasks will have left at a time, as far as their estimates tell. */
  static PlannedMachine soon(Machine m, long atMs) {
    PlannedMachine bin = new PlannedMachine(m);
    for (TaskAttempt run : m.runs.values()) {
      JobSpec spec = run.job.spec;
      if (run.overBy(atMs)) {
        bin.cpus += spec.cpus();
        bin.gpus += spec.gpus();
        bin.memory += spec.memoryGb();
        bin.tasks++;
      }
    }
    return bin;
  }

  /** How many tasks like this find room, at most {@code most}. */
  int fits(JobSpec spec, int most) {
    if (!holds(spec) || !allows(spec)) {
      return 0;
    }
    double n = Math.min(most, tasks);
    n = spec.cpus() > 0 ? Math.min(n, (cpus + TOLERANCE) / spec.cpus()) : n;
    n = spec.gpus() > 0 ? Math.min(n, (gpus + TOLERANCE) / spec.gpus()) : n;
    n = spec.memoryGb() > 0 ? Math.min(n, (memory + TOLERANCE) / spec.memoryGb()) : n;
    return Math.max(0, (int) n);
  }

  private boolean allows(JobSpec spec) {
    return (!spot || spec.spot())
        && (type.gpus() == 0 || spec.gpus() > 0)
        && (spec.types() == null || spec.types().contains(type.name()))
        && (spec.zone() == null || spec.zone().equals(zone));
  }

  /** Whether there is room for one task, be it allowed or not. */
  boolean holds(JobSpec spec) {
    return tasks > 0
        && cpus + TOLERANCE >= spec.cpus()
        && gpus + TOLERANCE >= spec.gpus()
        && memory + TOLERANCE >= spec.memoryGb();
  }

  /** Takes one task, if it may and can. */
  boolean take(JobSpec spec) {
    if (!holds(spec) || !allows(spec)) {
      return false;
    }
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memory -= spec.memoryGb();
    tasks--;
    return true;
  }
}
