package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;

/**
 * Turns the difference between the attempts wanted on a machine and those that it reports into
 * commands. Stops are also sent as direct commands if they should not wait for the next heartbeat.
 *
 * <p>Starts are sent in responses to heartbeats only. A worker that has just restarted accepts any
 * direct command, since it is in its first epoch and has seen no token. So a direct start that is
 * delayed or repeated could run a task that has been moved or cancelled meanwhile, whereas a
 * response reaches only the incarnation that sent the heartbeat, within the heartbeat's timeout.
 * For a start that is due, the machine is asked to send a heartbeat at once.
 */
final class CommandReconciler {
  /**
   * Milliseconds after which an inherited machine without a message in this term gets a direct
   * command that fences it. Workers that lose their controller try the next one after a second.
   */
  private static final long FENCE_DELAY_UNSEEN_MS = 1500;

  /**
   * Milliseconds from an inherited machine's first message in this term until the machine gets a
   * direct command that fences it, unless it has shown this term's fencing token.
   */
  private static final long FENCE_DELAY_SEEN_MS = 2500;

  /** Minimum interval between direct commands that fence or probe one machine. */
  private static final long FENCE_RETRY_INTERVAL_MS = 1000;

  /** Interval between probes of an inbound-partitioned machine; an answer ends the partition. */
  private static final long PARTITION_PROBE_INTERVAL_MS = 3000;

  /** Timeout of urgent direct commands. */
  private static final int COMMAND_TIMEOUT_MS = 2500;

  private final ClusterState cluster;
  private final HeartbeatRequests heartbeatRequests;
  private final CommandConcurrencyLimit concurrencyLimit = new CommandConcurrencyLimit();

  CommandReconciler(ClusterState cluster) {
    this.cluster = cluster;
    this.heartbeatRequests = new HeartbeatRequests(cluster);
  }

  /**
   * Returns the commands of the response to the newest heartbeat: all commands whose effect is not
   * visible yet. Records the starts among them in their attempts.
   */
  List<Command> createHeartbeatResponse(
      Machine machine, StartStatistics.Carrier carrier, long nowMs) {
    List<Command> commands = new ArrayList<>(4);
    for (TaskAttempt attempt : machine.attempts.values()) {
      // A worker sends one heartbeat at a time: the previous response has arrived or never will.
      attempt.startInHeartbeatResponse = false;
    }
    dropNeverStarted(machine);
    boolean usable = cluster.incarnations.isUsable(machine, nowMs);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.isExited()) {
        if (canForget(attempt)) {
          commands.add(Command.forget(attempt));
        }
      } else if (attempt.isUnwanted()) {
        commands.add(Command.stop(attempt, attempt.gracePeriodS()));
      } else if (attempt.phase == null && attempt.job.opened && machine.registered && usable) {
        if (!attempt.startSent) {
          cluster.startStatistics.onFirstSent(carrier, attempt, nowMs);
        }
        attempt.startSent = true;
        attempt.startInHeartbeatResponse = true;
        commands.add(Command.start(attempt));
      }
    }
    return commands;
  }

  /** Drops unwanted attempts whose start was not executed and can no longer be. */
  void dropNeverStarted(Machine machine) {
    List<TaskAttempt> neverStarted = new ArrayList<>(0);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.isUnwanted() && attempt.phase == null && !attempt.isStartPending()) {
        neverStarted.add(attempt);
      }
    }
    for (TaskAttempt attempt : neverStarted) {
      cluster.attempts.drop(attempt);
    }
  }

  /**
   * Returns stops for tasks in the heartbeat whose jobs are over or being cancelled. Any response
   * may renew the machine's lease, even one to a heartbeat that proves nothing. Without these
   * stops, a task with a confirmed cancellation would run on for as long as only such heartbeats
   * arrive.
   */
  List<Command> stopsForEndedJobs(Heartbeat heartbeat) {
    List<Command> commands = new ArrayList<>(0);
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      Job job = cluster.jobs.get(status.jobId());
      if (status.phase() != Heartbeat.TaskPhase.EXITED
          && (job == null || job.cancellationRequested)) {
        commands.add(
            new Command(
                Command.Kind.STOP, status.jobId(), status.index(), status.attemptNumber(), 0));
      }
    }
    return commands;
  }

  /**
   * Returns whether the worker may forget an exited attempt. A completed one stays in its
   * heartbeats until the completion is persisted, so that the next leader learns of it.
   */
  private static boolean canForget(TaskAttempt attempt) {
    return attempt.job.state != Job.State.LIVE
        || attempt.exitReason != ExitReason.DONE
        || attempt.job.persistedDoneTasks.get(attempt.index);
  }

  /** Returns whether some command should not wait for the machine's next regular heartbeat. */
  static boolean isUrgentCommandDue(Machine machine, long nowMs) {
    return hasStopDue(machine)
        || (hasStartDue(machine) && HeartbeatRequests.isIntervalOver(machine, nowMs));
  }

  private static boolean hasStartDue(Machine machine) {
    return machine.attempts.values().stream().anyMatch(CommandReconciler::isStartDue);
  }

  private static boolean hasStopDue(Machine machine) {
    return machine.attempts.values().stream().anyMatch(CommandReconciler::isStopDue);
  }

  /**
   * Returns whether the response to the machine's newest heartbeat waits for a command that is due
   * now. The response is then to be sent; also for a stop, as the worker does not report the exit
   * before it has the response.
   */
  boolean isDeferredResponseDue(Machine machine) {
    return machine.response.deferred != null
        && !machine.response.deferred.isReleased()
        && (hasStartDue(machine) || hasStopDue(machine));
  }

  /**
   * Records that the deferred response is about to be sent. The stops of preempted tasks go with it
   * alone. Others are sent directly, too: those of gangs have to arrive together, and a
   * cancellation waits for the answer.
   */
  void releaseDeferredResponse(Machine machine) {
    machine.response.deferred.release();
    for (TaskAttempt attempt : machine.attempts.values()) {
      attempt.stopSent |=
          isStopDue(attempt) && attempt.stopping && attempt.job.spec.kind() != JobKind.GANG;
    }
  }

  /**
   * Returns whether the machine's urgent commands may be sent now. Stops may always be sent, since
   * the stops of a gang have to arrive together; heartbeats are requested only within the
   * concurrency limit.
   */
  boolean canSendNow(Machine machine) {
    return concurrencyLimit.hasCapacity() || hasStopDue(machine);
  }

  /** Returns the limit of direct commands in flight. */
  CommandConcurrencyLimit concurrencyLimit() {
    return concurrencyLimit;
  }

  /**
   * Returns whether the attempt waits for a heartbeat of its machine to be started. The machine has
   * to be registered again after a restart.
   */
  private static boolean isStartDue(TaskAttempt attempt) {
    return attempt.phase == null
        && !attempt.startSent
        && attempt.job.opened
        && !attempt.isUnwanted()
        && attempt.machine.registered;
  }

  /**
   * Returns whether a stop is due, also of a start that may still arrive: if it has arrived, the
   * answer shows the end of the task, which a cancellation waits for.
   */
  private static boolean isStopDue(TaskAttempt attempt) {
    return !attempt.isExited()
        && attempt.isUnwanted()
        && attempt.startSent
        && !attempt.stopSent
        && (attempt.phase != null || attempt.isStartPending());
  }

  /**
   * Returns the commands that should not wait for the machine's next heartbeat, and marks them as
   * sent: the stops that are due, or a request for a heartbeat if a start is due. Returns null if
   * there is nothing to send.
   */
  Decision.SendCommands createUrgentCommands(Machine machine, boolean leaseCertain, long nowMs) {
    if (machine.directCommands.isInFlight()
        || machine.address == null
        || machine.epoch == 0
        || machine.state != Machine.State.LIVE) {
      return null;
    }
    List<Command> commands = new ArrayList<>();
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (isStopDue(attempt)) {
        commands.add(Command.stop(attempt, attempt.gracePeriodS()));
        attempt.stopSent = true;
      }
    }
    boolean mayRequest = leaseCertain && commands.isEmpty() && hasStartDue(machine);
    if (commands.isEmpty() && !(mayRequest && heartbeatRequests.prepare(machine, nowMs))) {
      return null;
    }
    concurrencyLimit.onSent(machine.name, nowMs);
    machine.token.sentOnce = false;
    return createDirectCommands(machine, commands, COMMAND_TIMEOUT_MS, nowMs);
  }

  /**
   * Returns a direct command that fences an inherited machine, or probes a machine whose heartbeat
   * is overdue, that may have restarted, or that is inbound-partitioned; null if none is due.
   */
  Decision.SendCommands createFenceOrProbe(Machine machine, long nowMs) {
    if (!canFenceOrProbe(machine, nowMs)) {
      return null;
    }
    boolean fence = isFenceDue(machine, nowMs);
    boolean probe = machine.epoch > 0 && cluster.heartbeatTiming.isHeartbeatOverdue(machine, nowMs);
    boolean restartCheck =
        machine.staleMessageSeen
            || (machine.isInboundPartitioned()
                && nowMs - machine.directCommands.lastSentMs() >= PARTITION_PROBE_INTERVAL_MS);
    if (!fence && !probe && !restartCheck) {
      return null;
    }
    machine.token.sentOnce =
        (machine.staleMessageSeen || machine.restartSuspected)
            && cluster.fencingTokens.raise(machine);
    return createDirectCommands(
        machine, repeatStops(machine), Scheduler.MACHINE_PROBE_TIMEOUT_MS, nowMs);
  }

  private static boolean canFenceOrProbe(Machine machine, long nowMs) {
    boolean givenUp =
        machine.state == Machine.State.LEASE_EXPIRED
            && !machine.staleMessageSeen
            && machine.directCommands.unansweredCount() > 0;
    return !machine.directCommands.isInFlight()
        && machine.address != null
        && machine.state != Machine.State.BOOTING
        && !givenUp
        && machine.state != Machine.State.RELEASING
        && machine.directCommands.isProbePermitted(FENCE_RETRY_INTERVAL_MS, nowMs);
  }

  /**
   * Returns the stops that were sent without a visible effect. While no heartbeats arrive, no
   * response repeats these stops, so a probe does.
   */
  private static List<Command> repeatStops(Machine machine) {
    List<Command> stops = new ArrayList<>(0);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (!attempt.isExited() && attempt.isUnwanted() && attempt.stopSent) {
        stops.add(Command.stop(attempt, attempt.gracePeriodS()));
      }
    }
    return stops;
  }

  /**
   * Returns whether an inherited machine is to be fenced by a direct command. Most inherited
   * machines send heartbeats on their own and show the new token in the next one. Only the others
   * get a direct command, since commands to a whole fleet at once would overload the leader. The
   * delay counts from the first message in this term, so that a series of delayed copies cannot
   * extend it.
   */
  private static boolean isFenceDue(Machine machine, long nowMs) {
    boolean messageSeen = machine.firstMessageMs >= 0;
    long sinceMs =
        messageSeen
            ? machine.firstMessageMs
            : Math.max(machine.firstKnownMs, machine.lastMessageMs);
    long waitMs = messageSeen ? FENCE_DELAY_SEEN_MS : FENCE_DELAY_UNSEEN_MS;
    return !machine.fenced && machine.inherited && nowMs - sinceMs >= waitMs;
  }

  /** Returns whether a queued direct command without commands is still of use. */
  boolean isEmptyCommandStillDue(Machine machine, long nowMs) {
    return isFenceDue(machine, nowMs)
        || hasStartDue(machine)
        || machine.staleMessageSeen
        || machine.isInboundPartitioned()
        || (machine.fenced && cluster.heartbeatTiming.isHeartbeatOverdue(machine, nowMs));
  }

  private Decision.SendCommands createDirectCommands(
      Machine machine, List<Command> commands, int timeoutMs, long nowMs) {
    boolean silent =
        machine.state == Machine.State.UNRECONCILED
            || cluster.heartbeatTiming.isHeartbeatOverdue(machine, nowMs);
    machine.directCommands.onSent(machine, silent, nowMs);
    machine.history.add(
        MachineEvent.withoutMessage(
            MachineEvent.Kind.COMMANDS_SENT, machine, commands.size(), nowMs));
    return new Decision.SendCommands(
        machine.name,
        machine.address,
        cluster.fencingTokens.of(machine),
        Math.max(1, machine.epoch),
        commands,
        timeoutMs);
  }
}
