package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;

/**
 * Turns the difference between the attempts wanted on a machine and those it shows into commands:
 * in the response to its heartbeat, or directly where they should not wait for the next one.
 */
final class CommandReconciler {
  /**
   * Milliseconds of a term after which an inherited machine without a heartbeat is asked: workers
   * that lose their controller try the next one after a second.
   */
  private static final long FENCE_DELAY_UNSEEN_MS = 1500;

  /** Milliseconds after a heartbeat in which an inherited machine should show the new token. */
  private static final long FENCE_DELAY_SEEN_MS = 2500;

  /** Between direct commands to a machine that is to be fenced or probed. */
  private static final long FENCE_RETRY_INTERVAL_MS = 1000;

  /** Between probes of an inbound-partitioned machine: the first answer ends the partition. */
  private static final long PARTITION_PROBE_INTERVAL_MS = 3000;

  /** Deadline of direct commands. */
  private static final int COMMAND_TIMEOUT_MS = 2500;

  private final ClusterState cluster;
  private final CommandConcurrencyLimit concurrencyLimit = new CommandConcurrencyLimit();

  CommandReconciler(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** The response to the newest heartbeat: every command whose effect is not shown yet. */
  List<Command> heartbeatResponse(Machine machine, long nowMs) {
    List<Command> commands = new ArrayList<>(4);
    for (TaskAttempt attempt : machine.attempts.values()) {
      // A worker sends one heartbeat at a time: the response before arrived or never will.
      attempt.startInHeartbeatResponse = false;
    }
    dropNeverStarted(machine);
    boolean usable = cluster.incarnations.usable(machine, nowMs);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.isExited()) {
        // A start that arrives after its attempt was forgotten would run the task again.
        if (!attempt.startUnconfirmed && !attempt.startInFlight && canForget(attempt)) {
          commands.add(Command.forget(attempt));
        }
      } else if (attempt.isUnwanted()) {
        if (attempt.phase == null && usable) {
          // The worker remembers the attempt then, and a late start has no effect.
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

  /**
   * Drops unwanted attempts of which no start was executed, nor can be any more. Called also after
   * an answer to direct commands: a machine that restarted in this term is known by these alone,
   * and an attempt kept there would hold its room and its team's quota forever.
   */
  void dropNeverStarted(Machine machine) {
    List<TaskAttempt> neverStarted = new ArrayList<>(0);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.isUnwanted()
          && attempt.phase == null
          && !attempt.isStartPending()
          && !attempt.startInHeartbeatResponse) {
        neverStarted.add(attempt);
      }
    }
    for (TaskAttempt attempt : neverStarted) {
      cluster.attempts.drop(attempt);
    }
  }

  /**
   * Stops for tasks in the heartbeat whose jobs are over. Any response may renew the machine's
   * lease, also one to a heartbeat that proves nothing; without these a task whose cancellation was
   * confirmed would outlive it for as long as only such heartbeats arrive.
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

  /** A completed attempt stays on its machine until its end is persisted, for a next leader. */
  private static boolean canForget(TaskAttempt attempt) {
    return attempt.job.state != Job.State.LIVE
        || attempt.exitReason != ExitReason.DONE
        || attempt.job.persistedDoneTasks.get(attempt.index);
  }

  /** Whether some command should not wait for the machine's next heartbeat. */
  static boolean isUrgentCommandDue(Machine machine) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (isStartDue(attempt) || isStopDue(attempt)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether the machine's urgent commands may go out now: stops always, since those of a gang have
   * to arrive together, starts as far as the concurrency limit allows.
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

  /** The limit of direct commands in flight. */
  CommandConcurrencyLimit concurrencyLimit() {
    return concurrencyLimit;
  }

  /** A restarted machine may hold an unconfirmed start, so it has to be registered again first. */
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
   * Commands that should not wait for the machine's next heartbeat; null if there are none. Starts
   * only while this leader's lease is certain: a machine that was fenced by a later leader and
   * restarts has no token, and would execute a direct start of a leader that was suspended
   * meanwhile. A heartbeat response reaches only an incarnation that has just shown its token.
   */
  Decision.SendCommands urgentCommands(Machine machine, boolean leaseCertain, long nowMs) {
    if (machine.directCommands.inFlight()
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
          && !cluster.heartbeatTiming.outboundPartitioned(machine, nowMs)) {
        commands.add(directStart(attempt));
      }
    }
    if (commands.isEmpty()) {
      return null;
    }
    concurrencyLimit.onSent(machine.name, nowMs);
    return directCommands(machine, commands, COMMAND_TIMEOUT_MS, nowMs);
  }

  /**
   * A direct command that fences an inherited machine, or probes one whose heartbeat is overdue or
   * whose incarnation is unproven; null if neither is due.
   */
  Decision.SendCommands fenceOrProbe(Machine machine, boolean leaseCertain, long nowMs) {
    if (!canFenceOrProbe(machine, nowMs)) {
      return null;
    }
    boolean fence = isFenceDue(machine, nowMs);
    boolean probe = machine.epoch > 0 && cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs);
    boolean restartCheck =
        machine.staleMessageSeen
            || (machine.inboundPartitioned()
                && nowMs - machine.directCommands.lastSentMs() >= PARTITION_PROBE_INTERVAL_MS);
    return fence || probe || restartCheck
        ? directCommands(
            machine,
            unacknowledgedCommands(machine, leaseCertain, nowMs),
            Scheduler.MACHINE_PROBE_TIMEOUT_MS,
            nowMs)
        : null;
  }

  private static boolean canFenceOrProbe(Machine machine, long nowMs) {
    boolean givenUp =
        machine.state == Machine.State.LEASE_EXPIRED
            && !machine.staleMessageSeen
            && machine.directCommands.unansweredCount() > 0;
    return !machine.directCommands.inFlight()
        && machine.address != null
        && machine.state != Machine.State.BOOTING
        && !givenUp
        && machine.state != Machine.State.RELEASING
        && nowMs - machine.directCommands.lastSentMs() >= FENCE_RETRY_INTERVAL_MS;
  }

  /**
   * Commands that were sent and have shown no effect: without heartbeats no response repeats them,
   * so a probe does. Heartbeats of a machine that restarted in this term prove nothing, so an
   * unconfirmed start is repeated with the probe too. One that is unwanted by now goes with its
   * stop, so that the worker remembers the attempt: else a cancellation would wait for it forever.
   */
  private List<Command> unacknowledgedCommands(Machine machine, boolean leaseCertain, long nowMs) {
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
          commands.add(directStart(attempt));
          commands.add(Command.stop(attempt, attempt.gracePeriodS()));
        } else if (attempt.job.opened
            && !cluster.heartbeatTiming.outboundPartitioned(machine, nowMs)) {
          commands.add(directStart(attempt));
        }
      } else if (!attempt.isExited() && attempt.isUnwanted() && attempt.stopSent) {
        commands.add(Command.stop(attempt, attempt.gracePeriodS()));
      }
    }
    return commands;
  }

  /**
   * Most inherited machines send heartbeats by themselves, and show the new token in the next one;
   * only those that do not get a direct command, since commands to a whole fleet at once would
   * overload the leader. The wait counts from the first message in this term, so that a series of
   * delayed copies cannot put it off.
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

  /** Whether a fence or probe that has waited for its turn is still of use. */
  boolean isFenceOrProbeStillDue(Machine machine, long nowMs) {
    return isFenceDue(machine, nowMs)
        || machine.staleMessageSeen
        || machine.inboundPartitioned()
        || (machine.fenced && cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs));
  }

  /**
   * A start in a direct command for the machine's present epoch. Recorded as in flight, since the
   * attempt must not be dropped while the start may still arrive.
   */
  private static Command directStart(TaskAttempt attempt) {
    attempt.startSent = true;
    attempt.startInFlight = true;
    attempt.startEpoch = Math.max(1, attempt.machine.epoch);
    return Command.start(attempt);
  }

  private Decision.SendCommands directCommands(
      Machine machine, List<Command> commands, int timeoutMs, long nowMs) {
    boolean silent =
        machine.state == Machine.State.UNRECONCILED
            || cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs);
    machine.directCommands.onSent(machine, silent, nowMs);
    machine.history.add(
        MachineEvent.withoutMessage(
            MachineEvent.Kind.COMMANDS_SENT, machine, commands.size(), nowMs));
    return new Decision.SendCommands(
        machine.name, machine.address, Math.max(1, machine.epoch), commands, timeoutMs);
  }

  /**
   * A direct command was answered. If the answer is {@code overtaken}, a start that no message has
   * shown may have been executed by a later incarnation than the one that is known.
   */
  static void onAnswered(Machine machine, boolean overtaken) {
    machine.directCommands.onSettled();
    for (TaskAttempt attempt : machine.attempts.values()) {
      attempt.onDirectStartSettled(overtaken && attempt.phase == null);
    }
  }

  /** A direct command will not be answered; {@code outcomeUnknown}: it may be executed yet. */
  static void onUnanswered(Machine machine, boolean outcomeUnknown) {
    machine.directCommands.onSettled();
    for (TaskAttempt attempt : machine.attempts.values()) {
      attempt.onDirectStartSettled(outcomeUnknown);
    }
  }
}
