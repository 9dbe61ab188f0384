package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks machines that are provably gone, because machine lists and delayed heartbeats may still
 * name them.
 */
final class RemovedMachines {
  /** Longest delay of a heartbeat in the network. */
  private static final long LATE_HEARTBEAT_MS = 180_000;

  private final long keepMs;
  private final Map<String, Long> removedMsByMachine = new LinkedHashMap<>();
  private final List<Decision.DeregisterMachine> deregistrations = new ArrayList<>();

  RemovedMachines(DeploymentLimits limits) {
    this.keepMs = (long) (4 * limits.listLagS() * 1000) + LATE_HEARTBEAT_MS;
  }

  void add(Machine machine, long nowMs) {
    removedMsByMachine.values().removeIf(removedMs -> removedMs + keepMs < nowMs);
    removedMsByMachine.put(machine.name, nowMs);
  }

  boolean contains(String machineName) {
    return removedMsByMachine.containsKey(machineName);
  }

  /** Requests that the machine's record be deleted. */
  void requestDeregistration(Machine machine) {
    deregistrations.add(new Decision.DeregisterMachine(machine.name, machine.address));
  }

  /** Returns and clears the deregistrations requested since the last call. */
  List<Decision.DeregisterMachine> drainDeregistrations() {
    List<Decision.DeregisterMachine> drained = new ArrayList<>(deregistrations);
    deregistrations.clear();
    return drained;
  }
}
