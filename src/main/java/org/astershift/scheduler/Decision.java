package org.astershift.scheduler;

import java.util.List;
import java.util.Set;

/** What the scheduler wants done; a later pass repeats it until its effect is reported. */
public sealed interface Decision {

  /** Calls the visitor's method for this kind of decision. */
  void accept(Visitor visitor);

  /** One method for each kind of decision, so that a new kind does not compile unhandled. */
  interface Visitor {
    /** Commands for a job may go out. */
    void visit(OpenJob decision);

    /** Where the replicas of a service are. */
    void visit(PersistPlacement decision);

    /** A direct command. */
    void visit(SendCommands decision);

    /** The end of a job. */
    void visit(FinishJob decision);

    /** Scale out. */
    void visit(ProvisionMachines decision);

    /** Scale in. */
    void visit(ReleaseMachines decision);

    /** A machine for the records. */
    void visit(RegisterMachine decision);

    /** A machine that is gone. */
    void visit(DeregisterMachine decision);

    /** A question to the other controllers. */
    void visit(ProbeThroughPeers decision);
  }

  /**
   * Record that the job is open; no command for it goes out before that is durable.
   *
   * @param replicaMachineNames for a service, the machines of its first replicas; see {@link
   *     PersistPlacement}
   */
  record OpenJob(String jobId, List<String> replicaMachineNames) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Record where the replicas of a service are, without haste: a hint for a leader that finds all
   * of them dead, as these machines have the image. No rule depends on it.
   */
  record PersistPlacement(String jobId, List<String> replicaMachineNames) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Send these commands directly to the machine; none: a fence or probe of it. */
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

  /** Scale out: provision machines. */
  record ProvisionMachines(String typeName, String zone, boolean spot, int count)
      implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Scale in: release machines. {@code silent}: only because they are silent. */
  record ReleaseMachines(List<String> machineNames, boolean silent) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Record a machine, so that a next leader knows of it. Until a record that is not {@code
   * newlyProvisioned} is durable the machine gets no task, so a next leader need not wait for one
   * without.
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
   * Have the other controllers probe silent machines, since the fault may be this leader's network.
   *
   * @param controls machines seen here a moment ago: a peer that does not reach these cannot tell
   * @param probedMs when this was decided
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

  /** The result of one peer: machines that answered it, and those that did not. */
  record PeerProbeResult(Set<String> reached, Set<String> unreached) {}
}
