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
  private final Map<String, Spare> spare = new HashMap<>();

  /** What is left of a machine with accelerators by the work that needs these. */
  private static final class Spare {
    private double cpus;
    private double memory;

    Spare(MachineType t) {
      cpus = t.cpus();
      memory = t.memoryGb();
    }

    void leave(MachineType t, JobSpec s) {
      int n = t.capacity(s);
      cpus = Math.min(cpus, t.cpus() - n * s.cpus());
      memory = Math.min(memory, t.memoryGb() - n * s.memoryGb());
    }
  }

  /** All types, by name. */
  Map<String, MachineType> all() {
    return types;
  }

  /** The types are known now, or have changed: jobs have to be fitted anew. */
  void become(Map<String, MachineType> known) {
    types = known;
    spare.clear();
  }

  /** Finds the types for the job, and what it leaves over on those with accelerators. */
  void fit(Job job) {
    JobSpec spec = job.spec;
    job.usableTypes = usableTypes(spec);
    job.place =
        new Job.PlacementConstraints(
            job.usableTypes, spec.zone(), spec.spot(), spec.cpus(), spec.gpus(), spec.memoryGb());
    job.spareTypes = new LinkedHashSet<>();
    for (MachineType t : types.values()) {
      if (t.gpus() > 0 && job.spec.fits(t)) {
        if (job.spec.gpus() > 0) {
          spare.computeIfAbsent(t.name(), n -> new Spare(t)).leave(t, job.spec);
        } else if (job.spec.kind() == JobKind.ARRAY && !job.usableTypes.contains(t.name())) {
          job.spareTypes.add(t.name());
        }
      }
    }
  }

  /**
   * Whether a task without accelerators fits beside those with, on what these cannot use anyway: it
   * never keeps one of them from the machine. Only while one is there, so that it may go when idle.
   */
  boolean spareHolds(Machine m, Job job) {
    Spare s = spare.get(m.type);
    return s != null
        && m.usedGpus() > 0
        && job.spareTypes.contains(m.type)
        && m.plainCpus() + job.spec.cpus() <= s.cpus + TOLERANCE
        && m.plainMemory() + job.spec.memoryGb() <= s.memory + TOLERANCE;
  }

  /** Zones in which the cloud has machines. */
  Set<String> zones() {
    Set<String> zones = new TreeSet<>();
    for (MachineType t : types.values()) {
      zones.addAll(t.zones());
    }
    return zones;
  }

  /** Types that a task of the job may go to; those with accelerators only if it needs them. */
  private Set<String> usableTypes(JobSpec spec) {
    Set<String> fitting = new LinkedHashSet<>();
    List<MachineType> plain = new ArrayList<>();
    for (MachineType t : types.values()) {
      if (spec.fits(t)) {
        fitting.add(t.name());
        if (t.gpus() == 0) {
          plain.add(t);
        }
      }
    }
    // Work without accelerators stays off machines with them, where others are enough for it.
    if (spec.gpus() == 0 && Eligibility.noPlace(spec, plain) == null) {
      fitting.retainAll(plain.stream().map(MachineType::name).toList());
    }
    return fitting;
  }
}
