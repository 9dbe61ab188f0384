package org.astershift.scheduler;

import java.util.List;
import java.util.Set;

/** What the core wants done outside. Each is repeated by a later pass until its effect is told. */
public sealed interface Decision {

  /**
   * Record that commands for this job may go out; none goes out before that is durable. {@code
   * replicaMachineNames}: for a service, the machines that get its replicas now; see {@link
   * PersistPlacement}.
   */
  record OpenJob(String jobId, List<String> replicaMachineNames) implements Decision {}

  /**
   * Record some time where the replicas of this service are now. A hint for a leader that finds all
   * of them dead after a fall of all controllers: these machines have the image. No rule depends on
   * it.
   */
  record PersistPlacement(String jobId, List<String> replicaMachineNames) implements Decision {}

  /** Send these commands straight to the machine. */
  record SendCommands(
      String machineName, String address, long epoch, List<Command> commands, int timeoutMs)
      implements Decision {}

  /** Record that the job is done. */
  record FinishJob(String jobId) implements Decision {}

  /** Rent machines. */
  record ProvisionMachines(String typeName, String zone, boolean spot, int count)
      implements Decision {}

  /** Give machines back. {@code silent}: only because nothing is heard of them. */
  record ReleaseMachines(List<String> machineNames, boolean silent) implements Decision {}

  /**
   * Record a machine, so that a successor knows of it. Until a record that is not {@code
   * newlyProvisioned} is durable it gets no task, so a successor need not wait for a fresh one.
   */
  record RegisterMachine(
      String machineName,
      String address,
      String typeName,
      String zone,
      boolean spot,
      boolean newlyProvisioned)
      implements Decision {}

  /** Drop the record of a machine that is provably gone. */
  record DeregisterMachine(String machineName, String address) implements Decision {}

  /**
   * Have the other controllers ask these machines whether they are there: they are silent here, and
   * so many that this leader's own ears may be the trouble. {@code controls} are machines that were
   * heard here a moment ago: a controller that does not reach these either cannot tell.
   */
  record ProbeThroughPeers(
      List<MachineAddress> suspects, List<MachineAddress> controls, long probedMs)
      implements Decision {}

  /** A machine and where it is reached. */
  record MachineAddress(String machineName, String address) {}

  /** What one other controller found: machines that answered it, and those asked in vain. */
  record PeerProbeResult(Set<String> reached, Set<String> unreached) {}
}
