package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Turns the difference between the attempts wanted on a machine and those that it reports into
 * commands. The commands are sent in the response to the machine's heartbeat, or as direct commands
 * if they should not wait for the next heartbeat.
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
  private final CommandConcurrencyLimit concurrencyLimit = new CommandConcurrencyLimit();

  CommandReconciler(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Returns the commands of the response to the newest heartbeat: all commands whose effect is not
   * visible yet. Records the starts among them in their attempts.
   */
  List<Command> createHeartbeatResponse(Machine machine, long nowMs) {
    List<Command> commands = new ArrayList<>(4);
    for (TaskAttempt attempt : machine.attempts.values()) {
      // A worker sends one heartbeat at a time: the previous response has arrived or never will.
      attempt.startInHeartbeatResponse = false;
    }
    dropNeverStarted(machine);
    boolean usable = cluster.incarnations.isUsable(machine, nowMs);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.isExited()) {
        // A start that arrives after its attempt was forgotten would run the task a second time.
        if (canForget(attempt)
            && cluster.fencingTokens.excludesLateStart(machine, attempt, nowMs)) {
          commands.add(Command.forget(attempt));
        }
      } else if (attempt.isUnwanted()) {
        if (attempt.phase == null && usable) {
          // With this start the worker remembers the attempt, so a late start has no effect.
          attempt.startInHeartbeatResponse = true;
          commands.add(Command.start(attempt));
        }
        commands.add(Command.stop(attempt, attempt.gracePeriodS()));
      } else if (attempt.phase == null && attempt.job.opened && machine.registered && usable) {
        attempt.startSent = true;
        attempt.startInHeartbeatResponse = true;
        commands.add(Command.start(attempt));
      }
    }
    return commands;
  }

  /** Drops unwanted attempts whose start was not executed and can no longer be. */
  private void dropNeverStarted(Machine machine) {
    drop(machine, attempt -> !attempt.isStartPending());
  }

  /**
   * Drops unwanted attempts like {@link #dropNeverStarted}, and those whose start the machine
   * refuses by now. Only answers to direct commands show the state of a machine that restarted in
   * this term; an attempt kept there would hold resources and team quota indefinitely.
   */
  void dropNeverStartedOrRefused(Machine machine, Heartbeat answer) {
    drop(machine, attempt -> !attempt.isStartPending() || !attempt.mayBeStartedLate(answer));
  }

  private void drop(Machine machine, Predicate<TaskAttempt> isStartExcluded) {
    List<TaskAttempt> neverStarted = new ArrayList<>(0);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.isUnwanted()
          && attempt.phase == null
          && isStartExcluded.test(attempt)
          && !attempt.startInHeartbeatResponse) {
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

  /** Returns whether some command should not wait for the machine's next heartbeat. */
  static boolean isUrgentCommandDue(Machine machine) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (isStartDue(attempt) || isStopDue(attempt)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether the machine's urgent commands may be sent now. Stops may always be sent, since
   * the stops of a gang have to arrive together; starts only within the concurrency limit.
   */
  boolean canSendNow(Machine machine) {
    if (concurrencyLimit.hasCapacity()) {
      return true;
    }
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (isStopDue(attempt)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the limit of direct commands in flight. */
  CommandConcurrencyLimit concurrencyLimit() {
    return concurrencyLimit;
  }

  /**
   * Returns whether a direct start is due. The machine has to be registered: after a restart it may
   * hold an unconfirmed start, so it is registered again first.
   */
  private static boolean isStartDue(TaskAttempt attempt) {
    return attempt.phase == null
        && !attempt.startSent
        && attempt.job.opened
        && !attempt.isUnwanted()
        && attempt.machine.registered;
  }

  private static boolean isStopDue(TaskAttempt attempt) {
    return !attempt.isExited()
        && attempt.isUnwanted()
        && attempt.startSent
        && !attempt.stopSent
        && attempt.phase != null;
  }

  /**
   * Returns the commands that should not wait for the machine's next heartbeat, and marks them as
   * sent; null if there are none. Starts are included only while this leader's lease is certain: a
   * machine that a later leader fenced and that then restarts has no fencing token, so it would
   * execute a direct start of a leader that was suspended meanwhile. A heartbeat response, in
   * contrast, reaches only an incarnation that has just shown its token.
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
      } else if (leaseCertain
          && isStartDue(attempt)
          && !cluster.heartbeatTiming.isOutboundPartitioned(machine, nowMs)) {
        commands.add(createDirectStart(attempt));
      }
    }
    if (commands.isEmpty()) {
      return null;
    }
    concurrencyLimit.onSent(machine.name, nowMs);
    return createDirectCommands(machine, commands, COMMAND_TIMEOUT_MS, nowMs);
  }

  /**
   * Returns a direct command that fences an inherited machine, or probes a machine whose heartbeat
   * is overdue, that may have restarted, or that is inbound-partitioned; null if none is due.
   */
  Decision.SendCommands createFenceOrProbe(Machine machine, boolean leaseCertain, long nowMs) {
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
    if (machine.staleMessageSeen || machine.restartSuspected) {
      // The answer then shows a token that excludes earlier starts.
      cluster.fencingTokens.raise(machine);
    }
    return createDirectCommands(
        machine,
        repeatUnacknowledgedCommands(machine, leaseCertain, nowMs),
        Scheduler.MACHINE_PROBE_TIMEOUT_MS,
        nowMs);
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
   * Returns the commands that were sent without a visible effect. While no heartbeats arrive, no
   * response repeats these commands, so a probe does. Heartbeats of a machine that restarted in
   * this term prove nothing, so the probe also repeats unconfirmed starts. The start of an attempt
   * that is unwanted by now is sent with a stop, so that the worker remembers the attempt;
   * otherwise a cancellation would wait for it indefinitely.
   */
  private List<Command> repeatUnacknowledgedCommands(
      Machine machine, boolean leaseCertain, long nowMs) {
    List<Command> commands = new ArrayList<>(0);
    boolean startsAllowed =
        leaseCertain
            && machine.restartedInTerm
            && machine.registered
            && machine.state == Machine.State.LIVE;
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (startsAllowed
          && attempt.phase == null
          && attempt.startUnconfirmed
          && attempt.job.state == Job.State.LIVE) {
        if (attempt.isUnwanted()) {
          commands.add(createDirectStart(attempt));
          commands.add(Command.stop(attempt, attempt.gracePeriodS()));
        } else if (attempt.job.opened
            && !cluster.heartbeatTiming.isOutboundPartitioned(machine, nowMs)) {
          commands.add(createDirectStart(attempt));
        }
      } else if (!attempt.isExited() && attempt.isUnwanted() && attempt.stopSent) {
        commands.add(Command.stop(attempt, attempt.gracePeriodS()));
      }
    }
    return commands;
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

  /** Returns whether a queued fence or probe is still of use. */
  boolean isFenceOrProbeStillDue(Machine machine, long nowMs) {
    return isFenceDue(machine, nowMs)
        || machine.staleMessageSeen
        || machine.isInboundPartitioned()
        || (machine.fenced && cluster.heartbeatTiming.isHeartbeatOverdue(machine, nowMs));
  }

  /**
   * Returns a start to send in a direct command for the machine's current epoch. Marks it as in
   * flight, since the attempt must not be dropped while the start may still arrive.
   */
  private Command createDirectStart(TaskAttempt attempt) {
    attempt.startSent = true;
    attempt.startInFlight = true;
    attempt.directStartToken = cluster.fencingTokens.of(attempt.machine);
    attempt.startEpoch = Math.max(1, attempt.machine.epoch);
    return Command.start(attempt);
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

  /**
   * Handles the answer to a direct command. If the answer is {@code overtaken} by a newer message,
   * a start that no message has reported may have been executed by a later incarnation than the
   * known one.
   */
  static void onAnswered(Machine machine, boolean overtaken) {
    machine.directCommands.onSettled();
    for (TaskAttempt attempt : machine.attempts.values()) {
      attempt.onDirectStartSettled(overtaken && attempt.phase == null);
    }
  }

  /**
   * Handles a direct command without an answer; if {@code outcomeUnknown}, it may still be
   * executed.
   */
  static void onUnanswered(Machine machine, boolean outcomeUnknown) {
    machine.directCommands.onSettled();
    for (TaskAttempt attempt : machine.attempts.values()) {
      attempt.onDirectStartSettled(outcomeUnknown);
    }
  }
}
