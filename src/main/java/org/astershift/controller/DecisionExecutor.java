package org.astershift.controller;

import org.astershift.scheduler.Decision;
import org.astershift.store.RecordCodec;

/**
 * Executes the decisions of one term's scheduling passes. No method blocks on the network: each one
 * queues work for other threads. Called by the pass loop, without the scheduler's lock.
 */
final class DecisionExecutor implements Decision.Visitor {
  /** Maximum time that a changed placement waits for other changes of its page, in milliseconds. */
  private static final long PLACEMENT_RECORD_DELAY_MS = 3000;

  private final LeaderTerm term;
  private final CommandDispatcher commands;
  private final CloudProvisioner provisioner;
  private final MachineReleaser releaser;
  private final PeerProbes peerProbes;

  DecisionExecutor(
      LeaderTerm term,
      CommandDispatcher commands,
      CloudProvisioner provisioner,
      MachineReleaser releaser,
      PeerProbes peerProbes) {
    this.term = term;
    this.commands = commands;
    this.provisioner = provisioner;
    this.releaser = releaser;
    this.peerProbes = peerProbes;
  }

  /** Starts threads for queued work if earlier thread starts failed. */
  void startQueuedTasks() {
    commands.startQueuedTasks();
    peerProbes.startQueuedTasks();
    provisioner.startQueuedTasks();
    releaser.startQueuedTasks();
  }

  @Override
  public void visit(Decision.OpenJob decision) {
    term.records.put(
        LeaderRecords.RecordKind.OPENED,
        decision.jobId(),
        RecordCodec.encodePlacement(decision.replicaMachineNames()),
        0);
  }

  @Override
  public void visit(Decision.PersistPlacement decision) {
    if (term.manages(decision.jobId())) {
      term.records.replace(
          LeaderRecords.RecordKind.OPENED,
          decision.jobId(),
          RecordCodec.encodePlacement(decision.replicaMachineNames()),
          PLACEMENT_RECORD_DELAY_MS);
    }
  }

  @Override
  public void visit(Decision.SendCommands decision) {
    commands.dispatch(term, decision);
  }

  @Override
  public void visit(Decision.SendDeferredResponse decision) {
    term.scheduler.sendDeferredResponse(decision.machineName());
  }

  @Override
  public void visit(Decision.FinishJob decision) {
    term.completions.add(decision.jobId());
  }

  @Override
  public void visit(Decision.ProvisionMachines decision) {
    provisioner.provision(term, decision);
  }

  @Override
  public void visit(Decision.ReleaseMachines decision) {
    releaser.release(term, decision);
  }

  @Override
  public void visit(Decision.RegisterMachine decision) {
    term.records.put(
        LeaderRecords.RecordKind.MACHINE,
        decision.machineName(),
        RecordCodec.encodeMachine(decision),
        0);
  }

  @Override
  public void visit(Decision.DeregisterMachine decision) {
    if (decision.address() != null) {
      commands.disconnect(decision.address());
    }
    term.records.remove(
        LeaderRecords.RecordKind.MACHINE, decision.machineName(), LeaderRecords.REMOVAL_DELAY_MS);
  }

  @Override
  public void visit(Decision.ProbeThroughPeers decision) {
    peerProbes.probeThroughPeers(
        decision,
        results -> {
          term.scheduler.onPeerProbeResults(decision, results);
          term.requestPass();
        });
  }
}
