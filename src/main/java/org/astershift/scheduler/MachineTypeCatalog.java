package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The machine types of the cloud, and which of them a job may use. */
final class MachineTypeCatalog {
  private static final double TOLERANCE = 1e-6;

  private Map<String, MachineType> types = Map.of();
  private final Map<String, UnusedCapacity> unusedBesideAccelerators = new HashMap<>();

  /** What is left of a machine with accelerators by the work that needs these. */
  private static final class UnusedCapacity {
    private double cpus;
    private double memoryGb;

    UnusedCapacity(MachineType type) {
      cpus = type.cpus();
      memoryGb = type.memoryGb();
    }

    void reduceBy(MachineType type, JobSpec spec) {
      int count = type.capacity(spec);
      cpus = Math.min(cpus, type.cpus() - count * spec.cpus());
      memoryGb = Math.min(memoryGb, type.memoryGb() - count * spec.memoryGb());
    }
  }

  /** All types, by name. */
  Map<String, MachineType> all() {
    return types;
  }

  /** The types are known now, or have changed: jobs have to be fitted anew. */
  void update(Map<String, MachineType> newTypes) {
    types = newTypes;
    unusedBesideAccelerators.clear();
  }

  /** Finds the types for the job, and what it leaves over on those with accelerators. */
  void resolveTypes(Job job) {
    JobSpec spec = job.spec;
    job.usableTypes = usableTypes(spec);
    job.placementConstraints =
        new Job.PlacementConstraints(
            job.usableTypes,
            spec.zone(),
            spec.spotAllowed(),
            spec.cpus(),
            spec.gpus(),
            spec.memoryGb());
    job.backfillTypes = new LinkedHashSet<>();
    for (MachineType type : types.values()) {
      if (type.gpus() > 0 && job.spec.fits(type)) {
        if (job.spec.gpus() > 0) {
          unusedBesideAccelerators
              .computeIfAbsent(type.name(), n -> new UnusedCapacity(type))
              .reduceBy(type, job.spec);
        } else if (job.spec.kind() == JobKind.ARRAY && !job.usableTypes.contains(type.name())) {
          job.backfillTypes.add(type.name());
        }
      }
    }
  }

  /**
   * Whether a task without accelerators fits beside those with, on what these cannot use anyway: it
   * never keeps one of them from the machine. Only while one is there, so that it may go when idle.
   */
  boolean fitsBesideAccelerators(Machine machine, Job job) {
    UnusedCapacity unused = unusedBesideAccelerators.get(machine.typeName);
    return unused != null
        && machine.usedGpus() > 0
        && job.backfillTypes.contains(machine.typeName)
        && machine.nonGpuCpus() + job.spec.cpus() <= unused.cpus + TOLERANCE
        && machine.nonGpuMemoryGb() + job.spec.memoryGb() <= unused.memoryGb + TOLERANCE;
  }

  /** Zones in which the cloud has machines. */
  Set<String> zones() {
    Set<String> zones = new TreeSet<>();
    for (MachineType type : types.values()) {
      zones.addAll(type.zones());
    }
    return zones;
  }

  /** Types that a task of the job may go to; those with accelerators only if it needs them. */
  private Set<String> usableTypes(JobSpec spec) {
    Set<String> fitting = new LinkedHashSet<>();
    List<MachineType> withoutAccelerators = new ArrayList<>();
    for (MachineType type : types.values()) {
      if (spec.fits(type)) {
        fitting.add(type.name());
        if (type.gpus() == 0) {
          withoutAccelerators.add(type);
        }
      }
    }
    // Work without accelerators stays off machines with them, where others are enough for it.
    if (spec.gpus() == 0 && Eligibility.noPlacementReason(spec, withoutAccelerators) == null) {
      fitting.retainAll(withoutAccelerators.stream().map(MachineType::name).toList());
    }
    return fitting;
  }
}
