package org.astershift.controller;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.ListedMachine;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Scheduler;

/**
 * The scheduler of one term behind its lock, which is private to this class: heartbeats, command
 * results, passes and job calls of all threads take turns. Never call {@link TermHost#stepDown} or
 * {@link TermHost#requestPass} under the lock; the only lock taken inside it is the election's.
 */
final class LockedScheduler {
  private final Object lock = new Object();
  private final Scheduler scheduler;
  private final TermHost host;
  private volatile boolean closed;

  LockedScheduler(Scheduler scheduler, TermHost host) {
    this.scheduler = scheduler;
    this.host = host;
  }

  /** Several steps under one hold of the lock. */
  interface Work<R, E extends Exception> {
    R apply(Scheduler scheduler) throws E;
  }

  /** Does the work under the lock, which the calling thread may hold already. */
  <R, E extends Exception> R call(Work<R, E> work) throws E {
    synchronized (lock) {
      return work.apply(scheduler);
    }
  }

  /** From now on heartbeats get no commands. Takes no lock, so that a long pass delays no end. */
  void close() {
    closed = true;
  }

  boolean closed() {
    return closed;
  }

  /** Commands for the response; null if this term must not answer workers any more. */
  List<Command> onHeartbeat(Heartbeat heartbeat, long receivedMs) {
    List<Command> commands;
    boolean deposed;
    boolean passNeeded;
    synchronized (lock) {
      if (closed) {
        return null;
      }
      scheduler.extendLeaseCertainty(host.leaseCertainUntilMs());
      commands = scheduler.onHeartbeat(heartbeat, receivedMs, LeaderTerm.nowMs());
      deposed = scheduler.isDeposed();
      passNeeded = scheduler.passRequested();
    }
    if (deposed) {
      host.stepDown("worker " + heartbeat.machineName() + " has seen a higher token");
      return null;
    }
    if (passNeeded) {
      host.requestPass();
    }
    return commands;
  }

  /** The result of a direct request to a machine; {@code heartbeat} is null without an answer. */
  void onCommandResult(
      String machineName, boolean outcomeUnknown, Heartbeat heartbeat, long receivedMs) {
    boolean deposed;
    boolean passNeeded;
    synchronized (lock) {
      scheduler.extendLeaseCertainty(host.leaseCertainUntilMs());
      scheduler.onCommandResult(
          machineName, outcomeUnknown, heartbeat, receivedMs, LeaderTerm.nowMs());
      deposed = scheduler.isDeposed();
      passNeeded = scheduler.passRequested();
    }
    if (deposed) {
      host.stepDown("machine " + machineName + " has seen a higher token");
    } else if (passNeeded) {
      host.requestPass();
    }
  }

  /** Whether a queued direct request should still go out; otherwise it counts as settled. */
  boolean directCommandsStillDue(Decision.SendCommands request) {
    synchronized (lock) {
      return scheduler.directCommandsStillDue(request, LeaderTerm.nowMs());
    }
  }

  /**
   * What to send over a connection that is open by now. The lease is checked only here: a start
   * decided earlier must not reach a worker that may answer to the next leader already, however
   * long connecting took or this process was paused.
   */
  List<Command> commandsStillWanted(Decision.SendCommands request) {
    synchronized (lock) {
      return scheduler.commandsStillWanted(request, host.isLeaseCertain());
    }
  }

  void onJobOpened(String jobId) {
    synchronized (lock) {
      scheduler.onJobOpened(jobId);
    }
  }

  void onMachineRegistered(String machineName) {
    synchronized (lock) {
      scheduler.onMachineRegistered(machineName);
    }
  }

  void onProgressPersisted(String jobId, BitSet done) {
    synchronized (lock) {
      scheduler.onProgressPersisted(jobId, done);
    }
  }

  /** The ends of these jobs could not be recorded: a later pass finishes them again. */
  void onFinishFailed(Collection<String> jobIds) {
    synchronized (lock) {
      for (String jobId : jobIds) {
        scheduler.onDecisionFailed(new Decision.FinishJob(jobId));
      }
    }
  }

  void onPeerProbeResults(
      Decision.ProbeThroughPeers probe, List<Decision.PeerProbeResult> results) {
    synchronized (lock) {
      scheduler.onPeerProbeResults(probe, results);
    }
  }

  /** {@code requestedMs}: when the list was requested, on the steady clock. */
  void onMachineList(List<ListedMachine> listed, long requestedMs) {
    synchronized (lock) {
      scheduler.onMachineList(listed, requestedMs, LeaderTerm.nowMs());
    }
  }

  void updateMachineTypes(Map<String, MachineType> types) {
    synchronized (lock) {
      scheduler.updateMachineTypes(types);
    }
  }

  void onProvisioningStarted(String name, Decision.ProvisionMachines request) {
    synchronized (lock) {
      scheduler.onProvisioningStarted(name, request);
    }
  }

  void onMachinesProvisioned(
      String name, List<String> machineNames, Decision.ProvisionMachines request) {
    synchronized (lock) {
      scheduler.onMachinesProvisioned(name, machineNames, request, LeaderTerm.nowMs());
    }
  }

  /** The cloud rejected the request for good. */
  void onProvisioningRejected(String name, Decision.ProvisionMachines request) {
    synchronized (lock) {
      scheduler.onProvisioningFailed(name, request, true, LeaderTerm.nowMs());
    }
  }

  void onMachinesReleased(List<String> machineNames) {
    synchronized (lock) {
      scheduler.onMachinesReleased(machineNames, LeaderTerm.nowMs());
    }
  }

  void onReleaseFailed(List<String> machineNames) {
    synchronized (lock) {
      scheduler.onReleaseFailed(machineNames);
    }
  }

  /** Done tasks, by job, that no record holds yet. */
  Map<String, BitSet> drainUnpersistedProgress() {
    synchronized (lock) {
      return scheduler.drainUnpersistedProgress();
    }
  }

  /** Null if the scheduler does not have the job. */
  Scheduler.JobProgress progress(String jobId) {
    synchronized (lock) {
      return scheduler.progress(jobId);
    }
  }
}
