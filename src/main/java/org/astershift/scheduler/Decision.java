package org.astershift.scheduler;

import java.util.List;
import java.util.Set;

/** What the core wants done outside. Each is repeated by a later pass until its effect is told. */
public sealed interface Decision {

  /** Calls the visitor's method for this kind of decision. */
  void accept(Visitor visitor);

  /** One method for each kind of decision, so that a new kind does not compile unhandled. */
  interface Visitor {
    void visit(OpenJob decision);

    void visit(PersistPlacement decision);

    void visit(SendCommands decision);

    void visit(FinishJob decision);

    void visit(ProvisionMachines decision);

    void visit(ReleaseMachines decision);

    void visit(RegisterMachine decision);

    void visit(DeregisterMachine decision);

    void visit(ProbeThroughPeers decision);
  }

  /**
   * Record that commands for this job may go out; none goes out before that is durable. {@code
   * replicaMachineNames}: for a service, the machines that get its replicas now; see {@link
   * PersistPlacement}.
   */
  record OpenJob(String jobId, List<String> replicaMachineNames) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Record some time where the replicas of this service are now. A hint for a leader that finds all
   * of them dead after a fall of all controllers: these machines have the image. No rule depends on
   * it.
   */
  record PersistPlacement(String jobId, List<String> replicaMachineNames) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Send these commands straight to the machine. */
  record SendCommands(
      String machineName, String address, long epoch, List<Command> commands, int timeoutMs)
      implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Record that the job is done. */
  record FinishJob(String jobId) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Rent machines. */
  record ProvisionMachines(String typeName, String zone, boolean spot, int count)
      implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Give machines back. {@code silent}: only because nothing is heard of them. */
  record ReleaseMachines(List<String> machineNames, boolean silent) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

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
      implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Drop the record of a machine that is provably gone. */
  record DeregisterMachine(String machineName, String address) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Have the other controllers ask these machines whether they are there: they are silent here, and
   * so many that this leader's own ears may be the trouble. {@code controls} are machines that were
   * heard here a moment ago: a controller that does not reach these either cannot tell.
   */
  record ProbeThroughPeers(
      List<MachineAddress> suspects, List<MachineAddress> controls, long probedMs)
      implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** A machine and where it is reached. */
  record MachineAddress(String machineName, String address) {}

  /** What one other controller found: machines that answered it, and those asked in vain. */
  record PeerProbeResult(Set<String> reached, Set<String> unreached) {}
}
