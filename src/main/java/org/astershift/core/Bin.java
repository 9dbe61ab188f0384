package org.astershift.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Room on one machine that is there, booting or asked for, as a plan for renting fills it. */
final class Bin {
  private static final double TOLERANCE = 1e-6;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private double cpus;
  private double gpus;
  private double memory;

  /** An empty machine. */
  Bin(MachineType type, String zone, boolean spot) {
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.cpus = type.cpus();
    this.gpus = type.gpus();
    this.memory = type.memoryGb();
  }

  /**
   * What is free on a machine now, and what its array tasks will have left {@code soonMs} later, as
   * far as their estimates tell.
   */
  Bin(Machine m, long soonMs, long nowMs) {
    this(m.kind, m.zone, m.spot);
    for (Run run : m.runs.values()) {
      JobSpec spec = run.job.spec;
      boolean ends =
          spec.kind() == JobKind.ARRAY && run.placedMs + spec.estimateS() * 1000 < nowMs + soonMs;
      if (!run.exited() && !ends) {
        cpus -= spec.cpus();
        gpus -= spec.gpus();
        memory -= spec.memoryGb();
      }
    }
  }

  private int fits(Job job) {
    if (!allows(job.spec)) {
      return 0;
    }
    JobSpec spec = job.spec;
    double n = spec.tasks();
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

  /** Takes one task, if it may and can. */
  boolean take(JobSpec spec) {
    if (cpus + TOLERANCE < spec.cpus()
        || gpus + TOLERANCE < spec.gpus()
        || memory + TOLERANCE < spec.memoryGb()
        || !allows(spec)) {
      return false;
    }
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memory -= spec.memoryGb();
    return true;
  }

  /**
   * How many of the tasks find no place in this room. What has to be in one zone is covered only by
   * one zone's room, and what is spread by no more of a zone than it may use: else such a job would
   * wait for ever beside room that it cannot take.
   */
  static int uncovered(Job job, List<Bin> bins, int tasks) {
    JobSpec spec = job.spec;
    String only = null;
    if (spec.oneZone()) {
      Map<String, Integer> fits = new HashMap<>();
      for (Bin bin : bins) {
        int n = bin.fits(job);
        if (n > 0 && job.zoneAllowed(bin.zone)) {
          fits.merge(bin.zone, n, Integer::sum);
        }
      }
      for (Map.Entry<String, Integer> e : fits.entrySet()) {
        only = e.getValue() >= tasks ? e.getKey() : only;
      }
      if (only == null) {
        return tasks;
      }
    }
    Map<String, Integer> taken = new HashMap<>();
    int left = tasks;
    for (Bin bin : bins) {
      if (left == 0) {
        return 0;
      }
      if (only != null && !only.equals(bin.zone)) {
        continue;
      }
      while (left > 0
          && (!spec.spread()
              || job.inZone(bin.zone) + taken.getOrDefault(bin.zone, 0) < spec.spreadLimit())
          && bin.take(spec)) {
        if (spec.spread()) {
          taken.merge(bin.zone, 1, Integer::sum);
        }
        left--;
      }
    }
    return left;
  }
}
