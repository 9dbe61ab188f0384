package org.astershift.controller;

import org.astershift.config.ThreadBudget;
import org.astershift.http.TaskPool;
import org.astershift.http.Threads;
import org.astershift.scheduler.Decision;
import org.astershift.worker.CommandSender;

/** Sends direct requests to machines on threads of its own. */
final class CommandDispatcher {
  private final CommandSender sender;
  private final TaskPool commandPool = Threads.newPool("command", ThreadBudget.COMMAND_THREADS);
  private final TaskPool probePool;

  /** {@code probePool} is shared with {@link ReachabilityProber}. */
  CommandDispatcher(CommandSender sender, TaskPool probePool) {
    this.sender = sender;
    this.probePool = probePool;
  }

  /**
   * Queues a request. A request without commands probes a silent machine and may block its thread
   * until the timeout, so it gets a separate pool: commands to other machines must not wait for it.
   */
  void dispatch(LeaderTerm term, Decision.SendCommands request) {
    TaskPool pool = request.commands().isEmpty() ? probePool : commandPool;
    pool.execute("command", () -> send(term, request));
  }

  /** Starts threads for queued requests if earlier thread starts failed. */
  void startQueuedTasks() {
    commandPool.startQueuedTasks();
    probePool.startQueuedTasks();
  }

  /** Closes the idle connection to a machine that no longer exists. */
  void disconnect(String address) {
    sender.disconnect(address);
  }

  /** Sends a request on the calling thread, unless the scheduler no longer needs it. */
  void send(LeaderTerm term, Decision.SendCommands request) {
    if (term.hasEnded() || !term.scheduler.isRequestStillDue(request)) {
      return;
    }
    CommandSender.Result result = new CommandSender.Result(true, null);
    try {
      result =
          sender.send(
              request.address(),
              request.fencingToken(),
              request.epoch(),
              request.commands(),
              request.timeoutMs());
    } finally {
      // The result is reported after a failure too: a request that stayed in flight indefinitely
      // would block its task's slot and the job's cancellation.
      term.scheduler.onCommandResult(
          request.machineName(), result.outcomeUnknown(), result.heartbeat(), LeaderTerm.nowMs());
    }
  }
}
