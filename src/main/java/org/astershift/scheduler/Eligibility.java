package org.astershift.scheduler;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Determines whether a job could ever run, given all machines that the cloud offers and the whole
 * quota of its team. A job that might run is accepted, however unlikely that is; a job that never
 * can is rejected at once, since its user would otherwise wait indefinitely.
 *
 * <p>All tasks of a gang run at once, and so do all replicas of a service, so it has to be possible
 * to hold all of them together. The cloud publishes no capacity, so machines count as unlimited,
 * and only the team's quota and the zones restrict such a job. Of n spread tasks at most half,
 * rounded up, may be in one zone: two or more tasks need a second zone, and two zones always
 * suffice. So spread tasks can never run together if they are bound to one zone: by {@code
 * oneZone}, by {@code zone}, or because no other zone has a type that they fit. A single task may
 * be both in one zone and spread.
 *
 * <p>Tasks of an array need not run together, and only tasks held at the same time are spread: one
 * half may run after the other in the same zone. So room for one task is enough.
 */
public final class Eligibility {
  private Eligibility() {}

  /**
   * Returns why the job can never run on machines of these types, or null if it might run. {@code
   * team} is null if there is no such team.
   */
  public static String rejectionReason(JobSpec spec, Collection<MachineType> types, Team team) {
    if (team == null) {
      return "unknown team";
    }
    int tasks = concurrentTasks(spec);
    return team.allows(tasks * spec.cpus(), tasks * spec.gpus())
        ? noPlacementReason(spec, types)
        : "more than the team's limit";
  }

  /** Returns the same as {@link #rejectionReason} without a check of the team's quota. */
  static String noPlacementReason(JobSpec spec, Collection<MachineType> types) {
    Set<String> zones = new HashSet<>();
    for (MachineType type : types) {
      if (spec.fits(type)) {
        zones.addAll(spec.zone() == null ? type.zones() : Set.of(spec.zone()));
      }
    }
    if (zones.isEmpty()) {
      return "a task fits no allowed machine type";
    }
    boolean oneZone = spec.oneZone() || zones.size() == 1;
    return spec.spread() && oneZone && concurrentTasks(spec) > spec.spreadLimit()
        ? "its tasks have to be in two zones, and may be in one only"
        : null;
  }

  /** Returns the number of tasks that have to be held at the same time. */
  private static int concurrentTasks(JobSpec spec) {
    return spec.kind() == JobKind.ARRAY ? 1 : spec.tasks();
  }
}
