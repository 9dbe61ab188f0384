package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which idle machines may be released: those idle for too long, and those that are surplus.
 */
final class IdleMachines {
  /** Time for which an idle machine is kept even if it is surplus, in milliseconds. */
  private static final long IDLE_MIN_MS = 10_000;

  /**
   * Share of the fleet's hourly price that idle machines may cost beyond those likely to be reused.
   */
  private static final double IDLE_COST_SHARE = 0.015;

  /** Multiple of its type's boot time for which an idle machine is kept at least. */
  private static final double IDLE_BOOT_FACTOR = 1.7;

  /**
   * Factor by which idle spot machines are kept longer, since their replacements may be on-demand
   * machines.
   */
  private static final double IDLE_SPOT_FACTOR = 2;

  private final ClusterState cluster;

  /** Minimum number of idle machines over a sliding window, by machine type. */
  private final Map<String, SlidingWindowMinimum> minimumIdleByType = new HashMap<>();

  IdleMachines(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Returns whether the machine has been idle beyond its timeout, which is no shorter than a
   * replacement takes to become available.
   */
  boolean isIdleTooLong(Machine machine, long nowMs) {
    return nowMs - machine.idleSinceMs > idleTimeoutMs(machine);
  }

  private double idleTimeoutMs(Machine machine) {
    double replacementS = machine.type == null ? 0 : machine.type.bootS() * IDLE_BOOT_FACTOR;
    double keepS = Math.max(cluster.policy.idleReleaseS(), replacementS);
    return keepS * (machine.spot ? IDLE_SPOT_FACTOR : 1) * 1000;
  }

  /**
   * Returns the idle machines that will probably not be needed within the time that a replacement
   * takes to become available. If idle machines of a type are reused at some rate, the tenth idle
   * machine waits for ten reuses, so once a queue has drained all idle machines are released
   * together. Tasks that run for seconds reuse each idle machine many times, so at least as many
   * machines are surplus as were idle throughout that time. The cheapest surplus machines are kept
   * as long as their total price is small compared with that of the fleet.
   *
   * <p>Has to be called at each plan, since it samples the number of idle machines.
   */
  Set<Machine> selectSurplus(long nowMs) {
    Map<String, List<Machine>> idleByType = new HashMap<>();
    double costAllowance = collectIdle(idleByType);
    minimumIdleByType.keySet().retainAll(idleByType.keySet());
    List<Machine> surplus = new ArrayList<>();
    for (Map.Entry<String, List<Machine>> entry : idleByType.entrySet()) {
      surplus.addAll(selectSurplusOfType(entry.getKey(), entry.getValue(), nowMs));
    }
    surplus.sort(Comparator.comparingDouble(machine -> machine.type.hourlyPrice(machine.spot)));
    Set<Machine> releasable = new HashSet<>();
    for (Machine machine : surplus) {
      costAllowance -= machine.type.hourlyPrice(machine.spot);
      if (costAllowance < 0 && nowMs - machine.idleSinceMs > IDLE_MIN_MS) {
        releasable.add(machine);
      }
    }
    return releasable;
  }

  /**
   * Collects the idle machines by type, for types with live machines; returns the hourly price up
   * to which surplus machines may be kept.
   */
  private double collectIdle(Map<String, List<Machine>> idleByType) {
    double costAllowance = 0;
    for (Machine machine : cluster.allMachines()) {
      if (machine.state == Machine.State.LIVE && machine.type != null) {
        costAllowance += machine.type.hourlyPrice(machine.spot) * IDLE_COST_SHARE;
        List<Machine> idleOfType =
            idleByType.computeIfAbsent(machine.typeName, t -> new ArrayList<>());
        if (machine.isIdle()) {
          idleOfType.add(machine);
        }
      }
    }
    return costAllowance;
  }

  /**
   * Returns the surplus machines of one type: on-demand machines before spot machines, and those
   * that have been idle for longest first.
   */
  private List<Machine> selectSurplusOfType(String typeName, List<Machine> idle, long nowMs) {
    MachineType type = cluster.machineTypes.all().get(typeName);
    double replacementS = type.bootS() * IDLE_BOOT_FACTOR;
    long windowMs = (long) (1000 * Math.max(cluster.policy.idleReleaseS(), replacementS));
    int leastIdle =
        minimumIdleByType
            .computeIfAbsent(typeName, t -> new SlidingWindowMinimum())
            .add(idle.size(), nowMs, windowMs);
    idle.sort(
        Comparator.comparing((Machine machine) -> machine.spot)
            .thenComparingLong(machine -> machine.idleSinceMs));
    double expectedReuse = cluster.reuseRatePerS(typeName, nowMs) * replacementS;
    int surplusCount =
        Math.max(leastIdle, idle.size() - (int) Math.min(expectedReuse, idle.size()));
    return idle.subList(0, surplusCount);
  }
}
