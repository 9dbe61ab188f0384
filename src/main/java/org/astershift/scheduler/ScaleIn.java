package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases machines to the cloud: idle, silent, faulty, failed or late to boot. Used by the
 * scheduler's thread only.
 */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** The cloud charges a machine for at least so many milliseconds. */
  private static final long MIN_CHARGE_MS = 60_000;

  /** A boot this many times longer than the type's usual one is given up. */
  private static final double BOOT_TIMEOUT_FACTOR = 2.2;

  /** Milliseconds on top of that: worker start and first heartbeat. */
  private static final long BOOT_TIMEOUT_MARGIN_MS = 8000;

  /** Milliseconds after which a boot is given up where the type is not known. */
  private static final double BOOT_TIMEOUT_UNKNOWN_TYPE_MS = 60_000;

  /** The cloud takes no more names in one call. */
  private static final int RELEASE_BATCH_MACHINES = 100;

  private final ClusterState cluster;
  private final FailureDetector failureDetector;
  private final IdleMachines idleMachines;

  /** Machines that the cloud lists as failed; they are listed until they are released. */
  private final Set<String> failedMachines = new HashSet<>();

  /** Machines whose release is under way. */
  private final Set<String> releaseRequested = new HashSet<>();

  ScaleIn(ClusterState cluster, FailureDetector failureDetector) {
    this.cluster = cluster;
    this.failureDetector = failureDetector;
    this.idleMachines = new IdleMachines(cluster);
  }

  /** The cloud lists the machine as failed. */
  void onFailed(String name) {
    failedMachines.add(name);
  }

  /** The cloud has confirmed the release of these. */
  void onReleased(List<String> names, long nowMs) {
    for (String name : names) {
      releaseRequested.remove(name);
      failedMachines.remove(name);
      cluster.removeMachine(name, "returned", nowMs);
    }
  }

  /** A release got no answer: a later plan requests it again. */
  void onReleaseFailed(List<String> names) {
    releaseRequested.removeAll(names);
  }

  /**
   * Adds the releases that are due. {@code leaseCertainlyHeld}: no other node can lead. Otherwise
   * another leader may use what seems needless here, so only silent machines are released, since
   * perhaps no other leader can do that.
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
    Set<Machine> surplus = idleMachines.surplus(nowMs);
    for (Machine machine : cluster.allMachines()) {
      String reason = releaseReason(machine, surplus, leaseCertainlyHeld, nowMs);
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

  /** Why the machine is to be released now; null if it is not. */
  private String releaseReason(
      Machine machine, Set<Machine> surplus, boolean leaseCertainlyHeld, long nowMs) {
    if (machine.state == Machine.State.RELEASING) {
      return null;
    }
    if (failureDetector.isSilent(machine, nowMs)) {
      machine.releasedAsSilent = failureDetector.tryRelease(machine, nowMs);
      return machine.releasedAsSilent
          ? "silent with " + machine.heldAttemptCount() + " tasks"
          : null;
    }
    if (!leaseCertainlyHeld) {
      return null;
    }
    return switch (machine.state) {
      case BOOTING -> bootTimeoutReason(machine, nowMs);
      case LIVE ->
          machine.quarantined ? quarantineReason(machine) : idleReason(machine, surplus, nowMs);
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

  /** A quarantined machine is released once its tasks have stopped. */
  private String quarantineReason(Machine machine) {
    for (TaskAttempt attempt : machine.heldAttempts()) {
      cluster.stop(attempt);
    }
    return machine.hasAttempts() ? null : "faulty";
  }

  private String idleReason(Machine machine, Set<Machine> surplus, long nowMs) {
    boolean idle =
        machine.idle()
            && (idleMachines.isIdleTooLong(machine, nowMs) || surplus.contains(machine))
            && nowMs - machine.firstKnownMs > MIN_CHARGE_MS;
    return idle ? "idle" : null;
  }
}
