package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;

/**
 * The difference between the attempts wanted on a machine and those it reports, as commands: in the
 * answer to its report, or straight to it where that should not wait.
 */
final class CommandReconciler {
  /**
   * Milliseconds of a term after which an inherited machine that has not reported is asked: workers
   * that lose their controller try the next one after a second.
   */
  private static final long FENCE_UNSEEN_MS = 1500;

  /**
   * Milliseconds after a report in which an inherited machine should have reported with the new
   * token: half a second by the protocol, and more on a busy node.
   */
  private static final long FENCE_SEEN_MS = 2500;

  /** Milliseconds between tries to make an inherited machine show this leader's token. */
  private static final long FENCE_RETRY_INTERVAL_MS = 1000;

  /** Milliseconds between questions to such a machine: the first answer makes it whole again. */
  private static final long PARTITION_PROBE_INTERVAL_MS = 3000;

  /** Deadline of one direct order, milliseconds. */
  private static final int COMMAND_TIMEOUT_MS = 2500;

  private final ClusterState cluster;
  private final CommandConcurrencyLimit concurrencyLimit = new CommandConcurrencyLimit();

  CommandReconciler(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** What to say in the answer to the newest report: everything wanted and not yet so. */
  List<Command> heartbeatResponse(Machine machine, long nowMs) {
    List<Command> commands = new ArrayList<>(4);
    for (TaskAttempt attempt : machine.attempts.values()) {
      // One report is under way at a time: the answer to the one before arrived or never will.
      attempt.startInHeartbeatResponse = false;
    }
    dropNeverStarted(machine);
    boolean usable = cluster.incarnations.usable(machine, nowMs);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.exited()) {
        // Forgetting an attempt whose start may still arrive would let that start run it again.
        if (!attempt.startUnconfirmed && !attempt.startInFlight && forgettable(attempt)) {
          commands.add(Command.forget(attempt));
        }
      } else if (attempt.unwanted()) {
        if (attempt.phase == null && usable) {
          // Make the worker remember the attempt, so that the late start has no effect.
          attempt.startInHeartbeatResponse = true;
          commands.add(Command.start(attempt));
        }
        commands.add(Command.stop(attempt, attempt.graceS()));
      } else if (attempt.phase == null && attempt.job.opened && machine.registered && usable) {
        attempt.startSent = true;
        attempt.startInHeartbeatResponse = true;
        commands.add(Command.start(attempt));
      }
    }
    return commands;
  }

  /**
   * Attempts that are not wanted any more and of which no start was executed, nor can be any more:
   * they hold nothing. Also where only answers to orders tell of a machine, since it began anew in
   * this term: a task stopped before its start went out stayed placed there for ever, beside room,
   * and held its team's limit (seed 1615 of the swarm, as old as the code).
   */
  void dropNeverStarted(Machine machine) {
    List<TaskAttempt> neverStarted = new ArrayList<>(0);
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.unwanted()
          && attempt.phase == null
          && !attempt.startPending()
          && !attempt.startInHeartbeatResponse) {
        neverStarted.add(attempt);
      }
    }
    for (TaskAttempt attempt : neverStarted) {
      cluster.attempts.drop(attempt);
    }
  }

  /**
   * Stops for what a report shows of jobs that are over. Each answer with this token may renew the
   * machine's lease, also one to a report that proves nothing; so each carries these, or a task
   * whose user was told that it is cancelled would live on for as long as only such reports come.
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
   * What a machine says is done is kept there until it is on record: a successor may ask for it.
   */
  private static boolean forgettable(TaskAttempt attempt) {
    return attempt.job.state != Job.State.LIVE
        || !"done".equals(attempt.exitReason)
        || attempt.job.persistedDoneTasks.get(attempt.index);
  }

  /** Whether a command waits that should not wait for the machine's next report. */
  static boolean urgentCommandDue(Machine machine) {
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (startDue(attempt) || stopDue(attempt)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether its commands should go out now and not with the answer to its next report: stops at any
   * time, since those of a gang have to arrive together, starts as far as the budget goes.
   */
  boolean maySendNow(Machine machine) {
    if (concurrencyLimit.hasCapacity()) {
      return true;
    }
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (stopDue(attempt)) {
        return true;
      }
    }
    return false;
  }

  /** The books of the direct orders under way. */
  CommandConcurrencyLimit concurrencyLimit() {
    return concurrencyLimit;
  }

  /** A machine that began anew may hold a start in doubt: not before it is on record again. */
  private static boolean startDue(TaskAttempt attempt) {
    return attempt.phase == null
        && !attempt.startSent
        && attempt.job.opened
        && !attempt.unwanted()
        && attempt.machine.registered;
  }

  private static boolean stopDue(TaskAttempt attempt) {
    return !attempt.exited()
        && attempt.unwanted()
        && attempt.startSent
        && !attempt.stopSent
        && attempt.phase != null;
  }

  /**
   * Commands that should not wait for the machine's next report; null if there are none. Starts
   * only while this leader is {@code leaseCertain}: a machine that has shown a later leader's token
   * and begins anew has none, and executes a direct start of an earlier leader that stood still
   * meanwhile (seed 6651 of the swarm). In an answer it goes to who has just shown this token.
   */
  Decision.SendCommands urgentCommands(Machine machine, boolean leaseCertain, long nowMs) {
    if (machine.commandInFlight
        || machine.address == null
        || machine.epoch == 0
        || machine.state != Machine.State.LIVE) {
      return null;
    }
    List<Command> commands = new ArrayList<>();
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (stopDue(attempt)) {
        commands.add(Command.stop(attempt, attempt.graceS()));
        attempt.stopSent = true;
      } else if (leaseCertain
          && startDue(attempt)
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
   * The claim of an inherited machine, or the question whether a machine whose report is overdue is
   * still there; null if neither is due.
   */
  Decision.SendCommands fenceOrProbe(Machine machine, boolean leaseCertain, long nowMs) {
    if (machine.commandInFlight
        || machine.address == null
        || machine.state == Machine.State.BOOTING
        || (machine.state == Machine.State.LEASE_EXPIRED
            && !machine.staleMessageSeen
            && machine.directCommandFailures > 0)
        || machine.state == Machine.State.RELEASING
        || nowMs - machine.lastDirectCommandMs < FENCE_RETRY_INTERVAL_MS) {
      return null;
    }
    boolean fence = fenceDue(machine, nowMs);
    boolean probe = machine.epoch > 0 && cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs);
    boolean restartCheck =
        machine.staleMessageSeen
            || (machine.inboundPartitioned()
                && nowMs - machine.lastDirectCommandMs >= PARTITION_PROBE_INTERVAL_MS);
    return fence || probe || restartCheck
        ? directCommands(
            machine,
            unacknowledgedCommands(machine, leaseCertain, nowMs),
            Scheduler.MACHINE_PROBE_TIMEOUT_MS,
            nowMs)
        : null;
  }

  /**
   * What was sent and of which no effect was seen yet: where no report comes, no answer to one
   * repeats it, and a question that goes there anyway may. Of a machine that began anew in this
   * term no report tells either, so a start in doubt is repeated with the question. One that is not
   * wanted any more goes with its stop, so that the machine remembers the attempt: a cancellation
   * waited for ever for a start in doubt of the life before (seeds 4939 and 7641 of the swarm).
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
        if (attempt.unwanted()
            || (attempt.job.opened
                && !cluster.heartbeatTiming.outboundPartitioned(machine, nowMs))) {
          commands.add(directStart(attempt));
          if (attempt.unwanted()) {
            commands.add(Command.stop(attempt, attempt.graceS()));
          }
        }
      } else if (!attempt.exited() && attempt.unwanted() && attempt.stopSent) {
        commands.add(Command.stop(attempt, attempt.graceS()));
      }
    }
    return commands;
  }

  /**
   * Most inherited machines report by themselves, and again once they have seen the new token; only
   * those that do not are asked. To ask a thousand at once costs a node on a fifth of a core more
   * than all their reports. Counted from the first that was heard of it: copies of what it said
   * before, each newer than the last, put the question off for as long as they came.
   */
  private static boolean fenceDue(Machine machine, long nowMs) {
    boolean messageSeen = machine.firstMessageMs >= 0;
    long sinceMs =
        messageSeen
            ? machine.firstMessageMs
            : Math.max(machine.firstKnownMs, machine.lastMessageMs);
    long waitMs = messageSeen ? FENCE_SEEN_MS : FENCE_UNSEEN_MS;
    return !machine.fenced && machine.inherited && nowMs - sinceMs >= waitMs;
  }

  /** Whether a question that has waited for its turn is still worth asking. */
  boolean fenceOrProbeStillDue(Machine machine, long nowMs) {
    return fenceDue(machine, nowMs)
        || machine.staleMessageSeen
        || machine.inboundPartitioned()
        || (machine.fenced && cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs));
  }

  /**
   * A start in a direct order, which is under way from now on, and meant for the present session:
   * whoever sends one without noting both takes the attempt for gone while it may still start.
   */
  private static Command directStart(TaskAttempt attempt) {
    attempt.startSent = true;
    attempt.startInFlight = true;
    attempt.startEpoch = Math.max(1, attempt.machine.epoch);
    return Command.start(attempt);
  }

  private Decision.SendCommands directCommands(
      Machine machine, List<Command> commands, int timeoutMs, long nowMs) {
    machine.commandInFlight = true;
    machine.commandSentWhileSilent =
        machine.state == Machine.State.UNRECONCILED
            || cluster.heartbeatTiming.heartbeatOverdue(machine, nowMs);
    machine.lastDirectCommandMs = nowMs;
    machine.epochWhenCommandSent = machine.epoch;
    machine.sequenceWhenCommandSent = machine.sequence;
    return new Decision.SendCommands(
        machine.name, machine.address, Math.max(1, machine.epoch), commands, timeoutMs);
  }

  /** A direct order has its answer, or will get none. */
  static void onSettled(Machine machine, boolean outcomeUnknown) {
    machine.commandInFlight = false;
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.startInFlight) {
        attempt.startInFlight = false;
        attempt.startUnconfirmed |= outcomeUnknown;
      }
    }
  }
}
