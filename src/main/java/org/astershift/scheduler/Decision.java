package org.astershift.scheduler;

import java.util.List;
import java.util.Set;

/** An action requested by the scheduler; later passes repeat it until its effect is reported. */
public sealed interface Decision {

  /** Calls the visitor's method for this kind of decision. */
  void accept(Visitor visitor);

  /** Has a method for each kind of decision, so that code that misses a kind does not compile. */
  interface Visitor {
    /** Records that a job is open. */
    void visit(OpenJob decision);

    /** Records where the replicas of a service run. */
    void visit(PersistPlacement decision);

    /** Sends direct commands to a machine. */
    void visit(SendCommands decision);

    /** Sends a deferred response to a machine. */
    void visit(SendDeferredResponse decision);

    /** Records that a job is done. */
    void visit(FinishJob decision);

    /** Provisions machines. */
    void visit(ProvisionMachines decision);

    /** Releases machines. */
    void visit(ReleaseMachines decision);

    /** Records a machine. */
    void visit(RegisterMachine decision);

    /** Drops the record of a machine that is gone. */
    void visit(DeregisterMachine decision);

    /** Asks the other controllers to probe machines. */
    void visit(ProbeThroughPeers decision);
  }

  /**
   * Records that the job is open. No command for the job is sent before this record is durable.
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
   * Records where the replicas of a service run. The write is not urgent, and no rule depends on
   * it: it is a hint for a leader that finds all replicas dead, since these machines have the
   * image.
   */
  record PersistPlacement(String jobId, List<String> replicaMachineNames) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Sends these commands directly to the machine, under this term's token for the machine; without
   * commands it fences or probes the machine, or requests a heartbeat. No start is among them, as a
   * restarted worker would also execute one that is delayed or repeated.
   */
  record SendCommands(
      String machineName,
      String address,
      long fencingToken,
      long epoch,
      List<Command> commands,
      int timeoutMs)
      implements Decision {
    /** Throws {@link IllegalArgumentException} if a start is among the commands. */
    public SendCommands {
      for (Command command : commands) {
        if (command.kind() == Command.Kind.START) {
          throw new IllegalArgumentException("direct start of " + command);
        }
      }
    }

    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Sends the response to the machine's newest heartbeat, which waits for commands. */
  record SendDeferredResponse(String machineName) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Records that the job is done. */
  record FinishJob(String jobId) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Scales out by provisioning machines. */
  record ProvisionMachines(String typeName, String zone, boolean spot, int count)
      implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Scales in by releasing machines; {@code silent}: only because they are silent. */
  record ReleaseMachines(List<String> machineNames, boolean silent) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Records a machine, so that the next leader knows of it. A machine gets no task until a record
   * that is not {@code newlyProvisioned} is durable, so the next leader need not wait for machines
   * without such a record.
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

  /** Drops the record of a machine that is provably gone. */
  record DeregisterMachine(String machineName, String address) implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Asks the other controllers to probe silent machines, since the fault may be in this leader's
   * network.
   *
   * @param controls machines that this leader has heard from recently; the result of a peer that
   *     does not reach them is inconclusive
   * @param probedMs when the probe was decided
   */
  record ProbeThroughPeers(
      List<MachineAddress> suspects, List<MachineAddress> controls, long probedMs)
      implements Decision {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** A machine and the address at which it is reached. */
  record MachineAddress(String machineName, String address) {}

  /** The result of one peer: the machines that answered its probe and those that did not. */
  record PeerProbeResult(Set<String> reached, Set<String> unreached) {}
}
