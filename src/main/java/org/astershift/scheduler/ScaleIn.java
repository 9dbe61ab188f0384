package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which machines to give back: idle, silent, faulty or late to boot. */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** A machine costs at least so many milliseconds, so it is not given back sooner; protocol's. */
  private static final long MIN_CHARGE_MS = 60_000;

  /** Milliseconds that a machine is kept idle even if nothing speaks for its use. */
  private static final long IDLE_MIN_MS = 10_000;

  /** Share of the fleet's price that idle machines may cost beyond what is likely to be taken. */
  private static final double IDLE_COST_SHARE = 0.015;

  /** An idle machine is kept for at least this many times its type's boot time. */
  private static final double IDLE_BOOT_FACTOR = 1.7;

  /** Idle spot machines are kept this many times longer: what replaces them may be ordinary. */
  private static final double IDLE_SPOT_FACTOR = 2;

  /** A boot this many times longer than the type's usual one is given up. */
  private static final double BOOT_TIMEOUT_FACTOR = 2.2;

  /** Milliseconds on top of that: worker start and first report. */
  private static final long BOOT_TIMEOUT_MARGIN_MS = 8000;

  /** Milliseconds after which a boot is given up where nothing is known of its type. */
  private static final double BOOT_TIMEOUT_UNKNOWN_TYPE_MS = 60_000;

  /** The cloud takes no more names in one call. */
  private static final int RELEASE_BATCH_MACHINES = 100;

  private final ClusterState cluster;
  private final FailureDetector failureDetector;
  private final Set<String> failedMachines = new HashSet<>();
  private final Set<String> releaseRequested = new HashSet<>();

  /** By type, how many machines were idle at the least lately. */
  private final Map<String, WindowMinimum> minimumIdle = new HashMap<>();

  ScaleIn(ClusterState cluster, FailureDetector failureDetector) {
    this.cluster = cluster;
    this.failureDetector = failureDetector;
  }

  /** A failed machine stays listed until it is deleted. */
  void onFailed(String name) {
    failedMachines.add(name);
  }

  /** The cloud answered 200 to the return of these. */
  void onReleased(List<String> names, long nowMs) {
    for (String name : names) {
      releaseRequested.remove(name);
      failedMachines.remove(name);
      cluster.removeMachine(name, "returned", nowMs);
    }
  }

  /** A return did not get its answer: it is asked for again by a later plan. */
  void onReleaseFailed(List<String> names) {
    releaseRequested.removeAll(names);
  }

  /**
   * {@code leaseCertainlyHeld}: no other node can lead. Otherwise another leader may use what seems
   * needless here, and only silence counts, which it may be that nobody else can end.
   */
  void plan(List<Decision> decisions, boolean leaseCertainlyHeld, long nowMs) {
    List<String> toRelease = new ArrayList<>();
    List<String> silentToRelease = new ArrayList<>();
    for (String name : failedMachines) {
      if (releaseRequested.add(name)) {
        toRelease.add(name);
      }
    }
    failureDetector.assessFleet(nowMs);
    Set<Machine> surplus = surplusMachines(nowMs);
    for (Machine machine : cluster.allMachines()) {
      String reason = null;
      if (machine.state != Machine.State.RELEASING) {
        if (failureDetector.isSilent(machine, nowMs)) {
          machine.releasedAsSilent = failureDetector.tryRelease(machine, nowMs);
          reason =
              machine.releasedAsSilent
                  ? "silent with " + machine.heldAttemptCount() + " tasks"
                  : null;
        } else if (leaseCertainlyHeld) {
          reason = releaseReason(machine, surplus, nowMs);
        }
      }
      if (reason != null) {
        LOG.info(
            "machine {} ({} in {}) is returned: {}",
            machine.name,
            machine.typeName,
            machine.zone,
            reason);
        cluster.enterState(machine, Machine.State.RELEASING);
      }
      if (machine.state == Machine.State.RELEASING && releaseRequested.add(machine.name)) {
        (machine.releasedAsSilent ? silentToRelease : toRelease).add(machine.name);
      }
    }
    failureDetector.logRetained(nowMs);
    addReleases(decisions, toRelease, false);
    addReleases(decisions, silentToRelease, true);
  }

  private static void addReleases(List<Decision> decisions, List<String> names, boolean silent) {
    for (int i = 0; i < names.size(); i += RELEASE_BATCH_MACHINES) {
      List<String> batch = names.subList(i, Math.min(names.size(), i + RELEASE_BATCH_MACHINES));
      decisions.add(new Decision.ReleaseMachines(batch, silent));
    }
  }

  private String releaseReason(Machine machine, Set<Machine> surplus, long nowMs) {
    MachineType type = machine.type;
    switch (machine.state) {
      case BOOTING -> {
        double limitMs =
            type == null
                ? BOOT_TIMEOUT_UNKNOWN_TYPE_MS
                : type.bootS() * 1000 * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN_MS;
        return nowMs - machine.firstKnownMs > limitMs
            ? "not up after " + (nowMs - machine.firstKnownMs) + " ms"
            : null;
      }
      case LIVE -> {
        if (machine.quarantined) {
          for (TaskAttempt attempt : machine.heldAttempts()) {
            cluster.stop(attempt);
          }
          return machine.hasAttempts() ? null : "faulty";
        }
        boolean idle =
            machine.idle()
                && (nowMs - machine.idleSinceMs > idleTimeoutMs(machine)
                    || surplus.contains(machine))
                && nowMs - machine.firstKnownMs > MIN_CHARGE_MS;
        return idle ? "idle" : null;
      }
      default -> {
        return null;
      }
    }
  }

  /**
   * How long an idle machine is kept: about as long as one takes to come back, since that is what
   * giving it back too early costs; longer where it is spot and its replacement may not be.
   */
  private double idleTimeoutMs(Machine machine) {
    double bootS = machine.type == null ? 0 : machine.type.bootS() * IDLE_BOOT_FACTOR;
    double keepS = Math.max(cluster.policy.idleReleaseS(), bootS);
    return keepS * (machine.spot ? IDLE_SPOT_FACTOR : 1) * 1000;
  }

  /**
   * Idle machines that will not be wanted for longer than a new one takes to come. If machines of a
   * type are taken from idleness at some rate, the tenth idle one waits for ten of them: after a
   * queue, from which none was ever idle, all go at once. Tasks of seconds take each idle one many
   * times over, though, and then as many are needless as were idle at every moment of that time.
   * The cheap ones among them may stay as long as all together cost little beside the fleet.
   */
  private Set<Machine> surplusMachines(long nowMs) {
    Map<String, List<Machine>> idleByType = new HashMap<>();
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
    minimumIdle.keySet().retainAll(idleByType.keySet());
    List<Machine> surplusMachines = new ArrayList<>();
    for (Map.Entry<String, List<Machine>> entry : idleByType.entrySet()) {
      List<Machine> machines = entry.getValue();
      MachineType type = cluster.machineTypes.all().get(entry.getKey());
      double bootsS = type.bootS() * IDLE_BOOT_FACTOR;
      long windowMs = (long) (1000 * Math.max(cluster.policy.idleReleaseS(), bootsS));
      int leastIdle =
          minimumIdle
              .computeIfAbsent(entry.getKey(), t -> new WindowMinimum())
              .add(machines.size(), nowMs, windowMs);
      machines.sort(
          Comparator.comparing((Machine machine) -> machine.spot)
              .thenComparingLong(machine -> machine.idleSinceMs));
      double expectedReuse = cluster.reuseRatePerS(entry.getKey(), nowMs) * bootsS;
      int surplusCount =
          Math.max(leastIdle, machines.size() - (int) Math.min(expectedReuse, machines.size()));
      surplusMachines.addAll(machines.subList(0, surplusCount));
    }
    surplusMachines.sort(
        Comparator.comparingDouble(machine -> machine.type.hourlyPrice(machine.spot)));
    Set<Machine> releasable = new HashSet<>();
    for (Machine machine : surplusMachines) {
      costAllowance -= machine.type.hourlyPrice(machine.spot);
      if (costAllowance < 0 && nowMs - machine.idleSinceMs > IDLE_MIN_MS) {
        releasable.add(machine);
      }
    }
    return releasable;
  }

  /** The least of a number within a window of time; nothing before the window is full. */
  private static final class WindowMinimum {
    /** Times and values, both rising: what a later and smaller value makes needless is left out. */
    private final ArrayDeque<long[]> values = new ArrayDeque<>();

    private long fromMs = -1;

    int add(int value, long nowMs, long windowMs) {
      fromMs = fromMs < 0 ? nowMs : fromMs;
      while (!values.isEmpty() && values.peekLast()[1] >= value) {
        values.removeLast();
      }
      values.addLast(new long[] {nowMs, value});
      while (nowMs - values.peekFirst()[0] > windowMs) {
        values.removeFirst();
      }
      return nowMs - fromMs < windowMs ? 0 : (int) values.peekFirst()[1];
    }
  }
}
