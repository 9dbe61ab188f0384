package org.astershift.controller;

import org.astershift.config.ThreadBudget;
import org.astershift.http.TaskPool;
import org.astershift.http.Threads;
import org.astershift.scheduler.Decision;
import org.astershift.worker.CommandSender;

/** Sends direct requests to machines, in threads of its own. */
final class CommandDispatcher {
  private final CommandSender sender;
  private final TaskPool commandPool = Threads.pool("command", ThreadBudget.COMMAND_THREADS);
  private final TaskPool probePool;

  /** {@code probePool}: shared with the probes of {@link ReachabilityProber}. */
  CommandDispatcher(CommandSender sender, TaskPool probePool) {
    this.sender = sender;
    this.probePool = probePool;
  }

  /**
   * Queues a request. One without commands is a probe of a silent machine, which holds its thread
   * until the deadline: commands to other machines must not wait behind it.
   */
  void dispatch(LeaderTerm term, Decision.SendCommands request) {
    TaskPool pool = request.commands().isEmpty() ? probePool : commandPool;
    pool.execute("command", () -> send(term, request));
  }

  /** Starts queued requests that found no thread. */
  void startQueuedTasks() {
    commandPool.startWaitingWork();
    probePool.startWaitingWork();
  }

  /** Drops the kept connection to a machine that is gone. */
  void disconnect(String address) {
    sender.disconnect(address);
  }

  /** Sends now, in the caller's thread, if that is still wanted. */
  void send(LeaderTerm term, Decision.SendCommands request) {
    if (term.hasEnded() || !term.scheduler.directCommandsStillDue(request)) {
      return;
    }
    CommandSender.Result result = new CommandSender.Result(true, null);
    try {
      result =
          sender.send(
              request.address(),
              term.token,
              request.epoch(),
              () -> term.scheduler.commandsStillWanted(request),
              request.timeoutMs());
    } finally {
      // Also after a failure: a request that stays in flight for ever blocks its task's slot and
      // the job's cancellation.
      term.scheduler.onCommandResult(
          request.machineName(), result.outcomeUnknown(), result.heartbeat(), LeaderTerm.nowMs());
    }
  }
}
