package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Which idle machines are needless: for how long one is kept, and which are surplus at once. */
final class IdleMachines {
  /** Milliseconds that a machine is kept idle even if it is surplus. */
  private static final long IDLE_MIN_MS = 10_000;

  /** Share of the fleet's price that idle machines may cost beyond those likely to be reused. */
  private static final double IDLE_COST_SHARE = 0.015;

  /** An idle machine is kept for at least this many times its type's boot time. */
  private static final double IDLE_BOOT_FACTOR = 1.7;

  /** Idle spot machines are kept this many times longer: what replaces them may be on demand. */
  private static final double IDLE_SPOT_FACTOR = 2;

  private final ClusterState cluster;

  /** By type, the fewest machines that were idle lately. */
  private final Map<String, SlidingWindowMinimum> minimumIdle = new HashMap<>();

  IdleMachines(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Whether an idle machine has been so for longer than a replacement takes to come. */
  boolean isIdleTooLong(Machine machine, long nowMs) {
    return nowMs - machine.idleSinceMs > idleTimeoutMs(machine);
  }

  private double idleTimeoutMs(Machine machine) {
    double bootS = machine.type == null ? 0 : machine.type.bootS() * IDLE_BOOT_FACTOR;
    double keepS = Math.max(cluster.policy.idleReleaseS(), bootS);
    return keepS * (machine.spot ? IDLE_SPOT_FACTOR : 1) * 1000;
  }

  /**
   * Idle machines that will not be wanted for longer than a new one takes to come. If machines of a
   * type are reused from idleness at some rate, the tenth idle one waits for ten of them: after a
   * queue has drained, all go at once. Tasks of seconds reuse each idle machine many times over, so
   * as many are surplus as were idle at every moment of that time. The cheap ones among them may
   * stay as long as all together cost little beside the fleet.
   *
   * <p>To be called at each plan: it samples how many machines are idle.
   */
  Set<Machine> surplus(long nowMs) {
    Map<String, List<Machine>> idleByType = new HashMap<>();
    double costAllowance = collectIdle(idleByType);
    minimumIdle.keySet().retainAll(idleByType.keySet());
    List<Machine> surplus = new ArrayList<>();
    for (Map.Entry<String, List<Machine>> entry : idleByType.entrySet()) {
      surplus.addAll(surplusOfType(entry.getKey(), entry.getValue(), nowMs));
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

  /** Collects the idle machines of each live type; returns what surplus ones may cost an hour. */
  private double collectIdle(Map<String, List<Machine>> idleByType) {
    double costAllowance = 0;
    for (Machine machine : cluster.allMachines()) {
      if (machine.state == Machine.State.LIVE && machine.type != null) {
        costAllowance += machine.type.hourlyPrice(machine.spot) * IDLE_COST_SHARE;
        List<Machine> idleOfType =
            idleByType.computeIfAbsent(machine.typeName, t -> new ArrayList<>());
        if (machine.idle()) {
          idleOfType.add(machine);
        }
      }
    }
    return costAllowance;
  }

  /** On-demand machines first, and those that have been idle for longest. */
  private List<Machine> surplusOfType(String typeName, List<Machine> idle, long nowMs) {
    MachineType type = cluster.machineTypes.all().get(typeName);
    double bootsS = type.bootS() * IDLE_BOOT_FACTOR;
    long windowMs = (long) (1000 * Math.max(cluster.policy.idleReleaseS(), bootsS));
    int leastIdle =
        minimumIdle
            .computeIfAbsent(typeName, t -> new SlidingWindowMinimum())
            .add(idle.size(), nowMs, windowMs);
    idle.sort(
        Comparator.comparing((Machine machine) -> machine.spot)
            .thenComparingLong(machine -> machine.idleSinceMs));
    double expectedReuse = cluster.reuseRatePerS(typeName, nowMs) * bootsS;
    int surplusCount =
        Math.max(leastIdle, idle.size() - (int) Math.min(expectedReuse, idle.size()));
    return idle.subList(0, surplusCount);
  }
}
