package org.astershift.controller;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.HeartbeatResponse;
import org.astershift.scheduler.ListedMachine;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Scheduler;

/**
 * The scheduler of one term behind a lock, which is private to this class and serializes the
 * heartbeats, command results, passes and job operations of all threads. {@link
 * TermContext#stepDown} and {@link TermContext#requestPass} must not be called under the lock; the
 * only lock acquired under it is the election's.
 */
final class LockedScheduler {
  private final Object lock = new Object();
  private final Scheduler scheduler;
  private final TermContext context;

  /** The responses that wait for commands, by machine. */
  private final Map<String, DeferredHeartbeat> deferredHeartbeats = new ConcurrentHashMap<>();

  private volatile boolean isClosed;

  LockedScheduler(Scheduler scheduler, TermContext context) {
    this.scheduler = scheduler;
    this.context = context;
  }

  /** Work that needs the lock for all of its steps. */
  interface LockedWork<R, E extends Exception> {
    R apply(Scheduler scheduler) throws E;
  }

  /** Runs the work under the lock, which the calling thread may hold already. */
  <R, E extends Exception> R callLocked(LockedWork<R, E> work) throws E {
    synchronized (lock) {
      return work.apply(scheduler);
    }
  }

  /**
   * Closes the scheduler: from now on heartbeats get no commands. Does not acquire the lock, so
   * that a long pass does not delay the end of the term.
   */
  void close() {
    isClosed = true;
    deferredHeartbeats.values().forEach(DeferredHeartbeat::release);
  }

  boolean isClosed() {
    return isClosed;
  }

  /** Returns the response, which may be deferred; rejected if the term may not answer workers. */
  HeartbeatResult onHeartbeat(Heartbeat heartbeat, long receivedMs) {
    HeartbeatResponse response;
    DeferredHeartbeat deferred;
    boolean deposed;
    boolean passNeeded;
    synchronized (lock) {
      if (isClosed) {
        return HeartbeatResult.REJECTED;
      }
      scheduler.extendLeaseCertainty(context.leaseCertainUntilMs());
      response = scheduler.onHeartbeat(heartbeat, receivedMs, LeaderTerm.nowMs());
      deferred = deferIfUseful(heartbeat, response);
      deposed = scheduler.isDeposed();
      passNeeded = scheduler.isPassRequested();
    }
    if (deposed) {
      context.stepDown("machine " + heartbeat.machineName() + " has seen a higher fencing token");
      return HeartbeatResult.REJECTED;
    }
    if (passNeeded) {
      context.requestPass();
    }
    return new HeartbeatResult(response, deferred);
  }

  /** Defers the response if it may wait for commands; returns null if it is to be sent at once. */
  private DeferredHeartbeat deferIfUseful(Heartbeat heartbeat, HeartbeatResponse response) {
    if (response == null
        || response.maxDelayMs() == 0
        || deferredHeartbeats.size() >= context.maxDeferredResponses()) {
      return null;
    }
    scheduler.deferResponse(heartbeat);
    DeferredHeartbeat deferred = new DeferredHeartbeat(this, heartbeat, response.maxDelayMs());
    DeferredHeartbeat previous = deferredHeartbeats.put(heartbeat.machineName(), deferred);
    if (previous != null) {
      previous.release();
    }
    return deferred;
  }

  /** Lets the deferred response to the machine's newest heartbeat be sent. */
  void sendDeferredResponse(String machineName) {
    DeferredHeartbeat deferred = deferredHeartbeats.get(machineName);
    if (deferred != null) {
      deferred.release();
    }
  }

  /** Returns the deferred response; null if the heartbeat must not be answered any more. */
  HeartbeatResponse completeDeferredResponse(DeferredHeartbeat deferred) {
    Heartbeat heartbeat = deferred.heartbeat();
    deferredHeartbeats.remove(heartbeat.machineName(), deferred);
    synchronized (lock) {
      if (isClosed) {
        return null;
      }
      scheduler.extendLeaseCertainty(context.leaseCertainUntilMs());
      return scheduler.completeDeferredResponse(heartbeat, LeaderTerm.nowMs());
    }
  }

  /** Handles the result of a direct request; {@code heartbeat} is null if no response arrived. */
  void onCommandResult(
      String machineName, boolean outcomeUnknown, Heartbeat heartbeat, long receivedMs) {
    boolean deposed;
    boolean passNeeded;
    synchronized (lock) {
      scheduler.extendLeaseCertainty(context.leaseCertainUntilMs());
      scheduler.onCommandResult(
          machineName, outcomeUnknown, heartbeat, receivedMs, LeaderTerm.nowMs());
      deposed = scheduler.isDeposed();
      passNeeded = scheduler.isPassRequested();
    }
    if (deposed) {
      context.stepDown("machine " + machineName + " has seen a higher fencing token");
    } else if (passNeeded) {
      context.requestPass();
    }
  }

  /** Returns whether a queued direct request is still due; settles it if not. */
  boolean isRequestStillDue(Decision.SendCommands request) {
    synchronized (lock) {
      return scheduler.areDirectCommandsStillDue(request, LeaderTerm.nowMs());
    }
  }

  /** Handles a committed write whose condition was the leader key of this term. */
  void onLeadershipConfirmed(long revision) {
    synchronized (lock) {
      scheduler.onLeadershipConfirmed(revision);
    }
  }

  void onJobOpened(String jobId) {
    synchronized (lock) {
      scheduler.onJobOpened(jobId, LeaderTerm.nowMs());
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

  /** Handles jobs whose ends could not be recorded; a later pass decides again to finish them. */
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

  /** Handles a machine list that was requested at {@code requestedMs} of the monotonic clock. */
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

  /** Handles the cloud's permanent rejection of a provisioning request. */
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

  /** Returns the done tasks of each incomplete job that completed tasks since the last call. */
  Map<String, BitSet> drainUnpersistedProgress() {
    synchronized (lock) {
      return scheduler.drainUnpersistedProgress();
    }
  }

  /** Returns the progress of a live job; null if the scheduler does not have the job. */
  Scheduler.JobProgress progress(String jobId) {
    synchronized (lock) {
      return scheduler.progress(jobId);
    }
  }
}
