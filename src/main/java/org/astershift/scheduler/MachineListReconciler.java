package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.astershift.config.ClockBounds;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reconciles the known machines with the cloud's machine list. */
final class MachineListReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(MachineListReconciler.class);

  private final ClusterState cluster;
  private final ScaleIn scaleIn;

  MachineListReconciler(ClusterState cluster, ScaleIn scaleIn) {
    this.cluster = cluster;
    this.scaleIn = scaleIn;
  }

  /** Processes a complete machine list that was requested at {@code requestedMs}. */
  void onMachineList(Collection<ListedMachine> listedMachines, long requestedMs, long nowMs) {
    Set<String> listedNames = new HashSet<>();
    for (ListedMachine listedMachine : listedMachines) {
      listedNames.add(listedMachine.name());
      if (listedMachine.state().equals("failed")) {
        cluster.removeMachine(listedMachine.name(), "listed as failed", nowMs);
        scaleIn.onFailed(listedMachine.name());
      } else {
        onListed(listedMachine, nowMs);
      }
    }
    removeUnlisted(listedNames, requestedMs, nowMs);
  }

  private void onListed(ListedMachine listedMachine, long nowMs) {
    Machine machine = cluster.machines.get(listedMachine.name());
    if (machine == null) {
      if (cluster.removedMachines.contains(listedMachine.name())) {
        return; // the list is older than the proof that the machine is gone
      }
      machine = addListed(listedMachine, nowMs);
    }
    machine.lastListedMs = nowMs;
    machine.unverified = false;
    if (machine.address == null) {
      machine.address = listedMachine.address();
    }
  }

  private Machine addListed(ListedMachine listedMachine, long nowMs) {
    // A running machine gets the full time for its first heartbeat, regardless of its age.
    long firstKnownMs =
        listedMachine.state().equals("running")
            ? nowMs
            : nowMs - (long) (listedMachine.ageS() * 1000);
    Machine machine =
        new Machine(
            listedMachine.name(),
            listedMachine.address(),
            listedMachine.typeName(),
            listedMachine.zone(),
            listedMachine.spot(),
            Machine.State.BOOTING,
            firstKnownMs);
    cluster.addMachine(machine);
    LOG.info(
        "unknown machine adopted from the cloud's list: machine={} type={} zone={}",
        listedMachine.name(),
        listedMachine.typeName(),
        listedMachine.zone());
    return machine;
  }

  /**
   * Removes the machines that the list proves to be gone. The cloud lists a machine no later than
   * twice the list lag after its creation, and then until it is gone. A list that was requested
   * after that time and lacks the machine therefore proves the machine gone. Absence from a list
   * requested earlier proves nothing, because a list may be older than the one before it.
   */
  private void removeUnlisted(Set<String> listedNames, long requestedMs, long nowMs) {
    long lagMs = (long) (2 * cluster.limits.listLagS() * 1000) + ClockBounds.CLOCK_MARGIN_MS;
    for (Machine machine : new ArrayList<>(cluster.allMachines())) {
      if (!listedNames.contains(machine.name) && requestedMs > machine.lastListedMs + lagMs) {
        cluster.removeMachine(machine.name, "no longer listed", nowMs);
      }
    }
  }
}
