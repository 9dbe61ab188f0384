package org.astershift.scheduler;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Whether a job could ever run, on paper: with all machines that the cloud offers and all of its
 * team's limit free. What might run is accepted, however unlikely it is; what cannot is refused at
 * once, since its user would wait for ever.
 *
 * <p>Gangs and services run as a whole: all tasks of a gang at once, all replicas of a service from
 * its start until it is cancelled. So all of them have to be possible together. Machines are as
 * many as wanted (capacity is not published), so what binds them is the team's limit and the zones.
 * Of n tasks at most half, rounded up, may be in one zone: of two or more a part has to be in a
 * second one, and two always suffice, as twice the half rounded up is n or more. So if they are
 * bound to one zone, by {@code oneZone}, by {@code zone}, or since no other has a type that one
 * fits, they never run together; otherwise two zones can be had, and they may. Both flags of a
 * single task agree.
 *
 * <p>Of an array each task counts alone, and only those held at the same time are spread: the first
 * half of them runs in one zone, and then the next. So for it a place for one task is enough.
 */
public final class Eligibility {
  private Eligibility() {}

  /**
   * Why the job can never run on machines of these types, or null; {@code team} null if there is no
   * such team.
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

  /** The same whatever its team may have. */
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

  /** Tasks that have to be held at the same time. */
  private static int concurrentTasks(JobSpec spec) {
    return spec.kind() == JobKind.ARRAY ? 1 : spec.tasks();
  }
}
