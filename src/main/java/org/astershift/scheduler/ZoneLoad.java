package org.astershift.scheduler;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Counts the machines of one scale-out plan by zone: live, pending and planned ones. */
final class ZoneLoad {
  private final Map<String, Integer> machinesByZone = new HashMap<>();
  private final Set<String> zonesWithPending = new HashSet<>();

  void add(Machine machine) {
    machinesByZone.merge(machine.zone, 1, Integer::sum);
    if (machine.state == Machine.State.BOOTING) {
      zonesWithPending.add(machine.zone);
    }
  }

  void addPending(Decision.ProvisionMachines request) {
    machinesByZone.merge(request.zone(), request.count(), Integer::sum);
    zonesWithPending.add(request.zone());
  }

  int machineCountIn(String zone) {
    return machinesByZone.getOrDefault(zone, 0);
  }

  /** Returns whether a machine is booting in the zone or is requested there. */
  boolean hasPending(String zone) {
    return zonesWithPending.contains(zone);
  }
}
