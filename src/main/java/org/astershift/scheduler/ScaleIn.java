package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases machines to the cloud that are idle, silent, faulty, failed or too slow to boot. Not
 * thread-safe: runs under the lock of the {@link Scheduler}'s caller.
 */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** Minimum time for which the cloud charges a machine, in milliseconds. */
  private static final long MIN_CHARGE_MS = 60_000;

  /** Multiple of the type's usual boot time after which a boot is given up. */
  private static final double BOOT_TIMEOUT_FACTOR = 2.2;

  /**
   * Margin added to the boot timeout for the worker's start and first heartbeat, in milliseconds.
   */
  private static final long BOOT_TIMEOUT_MARGIN_MS = 8000;

  /** Boot timeout of a machine whose type is not known, in milliseconds. */
  private static final double BOOT_TIMEOUT_UNKNOWN_TYPE_MS = 60_000;

  /** Maximum number of machine names that the cloud accepts in one call. */
  private static final int RELEASE_BATCH_MACHINES = 100;

  private final ClusterState cluster;
  private final FailureDetector failureDetector;
  private final IdleMachines idleMachines;

  /** Machines that the cloud lists as failed; it lists them until they are released. */
  private final Set<String> failedMachines = new HashSet<>();

  /** Machines whose release is in flight. */
  private final Set<String> machinesBeingReleased = new HashSet<>();

  ScaleIn(ClusterState cluster, FailureDetector failureDetector) {
    this.cluster = cluster;
    this.failureDetector = failureDetector;
    this.idleMachines = new IdleMachines(cluster);
  }

  /** Records that the cloud lists the machine as failed. */
  void onFailed(String name) {
    failedMachines.add(name);
  }

  /** Removes machines whose release the cloud has confirmed. */
  void onReleased(List<String> names, long nowMs) {
    for (String name : names) {
      machinesBeingReleased.remove(name);
      failedMachines.remove(name);
      cluster.removeMachine(name, "returned", nowMs);
    }
  }

  /** Records that a release got no response, so that a later plan requests it again. */
  void onReleaseFailed(List<String> names) {
    machinesBeingReleased.removeAll(names);
  }

  /**
   * Adds the releases that are due. {@code leaseCertain}: no other node can be the leader.
   * Otherwise another leader may be using machines that seem unneeded here. Then only machines that
   * the cloud lists as failed and silent machines are released; possibly no other leader can
   * release the silent ones.
   */
  void plan(List<Decision> decisions, boolean leaseCertain, long nowMs) {
    List<String> toRelease = new ArrayList<>();
    List<String> silentToRelease = new ArrayList<>();
    for (String name : failedMachines) {
      if (machinesBeingReleased.add(name)) {
        toRelease.add(name);
      }
    }
    failureDetector.assessFleet(nowMs);
    Set<Machine> surplus = idleMachines.selectSurplus(nowMs);
    for (Machine machine : cluster.allMachines()) {
      String reason = determineReleaseReason(machine, surplus, leaseCertain, nowMs);
      if (reason != null) {
        LOG.info(
            "machine {} ({} in {}) is returned: {}, last_message=\"{}\"",
            machine.name,
            machine.typeName,
            machine.zone,
            reason,
            machine.history.formatNewestMessage(nowMs));
        cluster.enterState(machine, Machine.State.RELEASING);
      }
      if (machine.state == Machine.State.RELEASING && machinesBeingReleased.add(machine.name)) {
        (machine.releasedAsSilent ? silentToRelease : toRelease).add(machine.name);
      }
    }
    failureDetector.logRetainedMachines(nowMs);
    addReleases(decisions, toRelease, false);
    addReleases(decisions, silentToRelease, true);
  }

  private static void addReleases(List<Decision> decisions, List<String> names, boolean silent) {
    for (int i = 0; i < names.size(); i += RELEASE_BATCH_MACHINES) {
      List<String> batch = names.subList(i, Math.min(names.size(), i + RELEASE_BATCH_MACHINES));
      decisions.add(new Decision.ReleaseMachines(batch, silent));
    }
  }

  /**
   * Returns why the machine is to be released now; null if it is not. Counts the release of a
   * silent machine against the budget, and stops the tasks of a quarantined machine.
   */
  private String determineReleaseReason(
      Machine machine, Set<Machine> surplus, boolean leaseCertain, long nowMs) {
    if (machine.state == Machine.State.RELEASING) {
      return null;
    }
    if (failureDetector.isSilent(machine, nowMs)) {
      machine.releasedAsSilent = failureDetector.tryRelease(machine, nowMs);
      return machine.releasedAsSilent
          ? "silent with " + machine.heldAttemptCount() + " tasks"
          : null;
    }
    if (!leaseCertain) {
      return null;
    }
    return switch (machine.state) {
      case BOOTING -> bootTimeoutReason(machine, nowMs);
      case LIVE ->
          machine.quarantined ? drainQuarantined(machine) : idleReason(machine, surplus, nowMs);
      default -> null;
    };
  }

  private static String bootTimeoutReason(Machine machine, long nowMs) {
    MachineType type = machine.type;
    double limitMs =
        type == null
            ? BOOT_TIMEOUT_UNKNOWN_TYPE_MS
            : type.bootS() * 1000 * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN_MS;
    return nowMs - machine.firstKnownMs > limitMs
        ? "not up after " + (nowMs - machine.firstKnownMs) + " ms"
        : null;
  }

  /**
   * Stops the tasks of a quarantined machine. Returns the reason for its release once they have
   * stopped; null until then.
   */
  private String drainQuarantined(Machine machine) {
    for (TaskAttempt attempt : machine.heldAttempts()) {
      cluster.stop(attempt);
    }
    return machine.hasHeldAttempts() ? null : "faulty";
  }

  private String idleReason(Machine machine, Set<Machine> surplus, long nowMs) {
    boolean shouldRelease =
        machine.isIdle()
            && (idleMachines.isIdleTooLong(machine, nowMs) || surplus.contains(machine))
            && nowMs - machine.firstKnownMs > MIN_CHARGE_MS;
    return shouldRelease ? "idle" : null;
  }
}
