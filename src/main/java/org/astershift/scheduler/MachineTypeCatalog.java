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
  private final Map<String, UnusedCapacity> unusedByAcceleratorJobs = new HashMap<>();

  /** The least capacity of a machine type that jobs with accelerators leave unused. */
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

  /** Returns all types, by name. */
  Map<String, MachineType> all() {
    return types;
  }

  /** Replaces the types; the caller then has to call {@link #resolveTypes} again for all jobs. */
  void update(Map<String, MachineType> newTypes) {
    types = newTypes;
    unusedByAcceleratorJobs.clear();
  }

  /**
   * Sets the types that the job may use, those that it may backfill, and its placement constraints.
   */
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
          unusedByAcceleratorJobs
              .computeIfAbsent(type.name(), n -> new UnusedCapacity(type))
              .reduceBy(type, job.spec);
        } else if (job.spec.kind() == JobKind.ARRAY && !job.usableTypes.contains(type.name())) {
          job.backfillTypes.add(type.name());
        }
      }
    }
  }

  /**
   * Returns whether a task without accelerators fits into the capacity that jobs with accelerators
   * cannot use anyway, so that it never keeps such a job from the machine. True only while
   * accelerators are in use there: an idle machine with accelerators should be released.
   */
  boolean canBackfill(Machine machine, Job job) {
    UnusedCapacity unused = unusedByAcceleratorJobs.get(machine.typeName);
    return unused != null
        && machine.usedGpus() > 0
        && job.backfillTypes.contains(machine.typeName)
        && machine.nonGpuCpus() + job.spec.cpus() <= unused.cpus + TOLERANCE
        && machine.nonGpuMemoryGb() + job.spec.memoryGb() <= unused.memoryGb + TOLERANCE;
  }

  /** Returns the zones in which the cloud offers machines. */
  Set<String> zones() {
    Set<String> zones = new TreeSet<>();
    for (MachineType type : types.values()) {
      zones.addAll(type.zones());
    }
    return zones;
  }

  /**
   * Returns the types that the job may use; types with accelerators only if the job needs
   * accelerators or other types do not suffice.
   */
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
    // A job without accelerators stays off machines with accelerators where other types suffice.
    if (spec.gpus() == 0 && Eligibility.noPlacementReason(spec, withoutAccelerators) == null) {
      fitting.retainAll(withoutAccelerators.stream().map(MachineType::name).toList());
    }
    return fitting;
  }
}
