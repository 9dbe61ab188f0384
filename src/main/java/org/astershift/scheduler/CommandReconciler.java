package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import org.astershift.config.Constants;

/**
 * The difference between the attempts wanted on a machine and those it reports, as commands: in the
 * answer to its report, or straight to it where that should not wait.
 */
final class CommandReconciler {
  private final ClusterState c;
  private final CommandConcurrencyLimit budget = new CommandConcurrencyLimit();

  CommandReconciler(ClusterState cluster) {
    this.c = cluster;
  }

  /** What to say in the answer to the newest report: everything wanted and not yet so. */
  List<Command> answer(Machine m, long nowMs) {
    List<Command> orders = new ArrayList<>(4);
    for (TaskAttempt run : m.runs.values()) {
      // One report is under way at a time: the answer to the one before arrived or never will.
      run.answered = false;
    }
    dropNeverStarted(m);
    boolean usable = c.incarnations.usable(m, nowMs);
    for (TaskAttempt run : m.runs.values()) {
      if (run.exited()) {
        // Forgetting an attempt whose start may still arrive would let that start run it again.
        if (!run.doubtful && !run.inFlight && forgettable(run)) {
          orders.add(Command.forget(run));
        }
      } else if (run.unwanted()) {
        if (run.phase == null && usable) {
          // Make the worker remember the attempt, so that the late start has no effect.
          run.answered = true;
          orders.add(Command.start(run));
        }
        orders.add(Command.stop(run, run.graceS()));
      } else if (run.phase == null && run.job.opened && m.enrolled && usable) {
        run.ordered = true;
        run.answered = true;
        orders.add(Command.start(run));
      }
    }
    return orders;
  }

  /**
   * Attempts that are not wanted any more and of which no start was executed, nor can be any more:
   * they hold nothing. Also where only answers to orders tell of a machine, since it began anew in
   * this term: a task stopped before its start went out stayed placed there for ever, beside room,
   * and held its team's limit (seed 1615 of the swarm, as old as the code).
   */
  void dropNeverStarted(Machine m) {
    List<TaskAttempt> never = new ArrayList<>(0);
    for (TaskAttempt run : m.runs.values()) {
      if (run.unwanted() && run.phase == null && !run.pending() && !run.answered) {
        never.add(run);
      }
    }
    for (TaskAttempt run : never) {
      c.drop(run);
    }
  }

  /**
   * Stops for what a report shows of jobs that are over. Each answer with this token may renew the
   * machine's lease, also one to a report that proves nothing; so each carries these, or a task
   * whose user was told that it is cancelled would live on for as long as only such reports come.
   */
  List<Command> ends(Heartbeat r) {
    List<Command> orders = new ArrayList<>(0);
    for (Heartbeat.TaskStatus item : r.tasks()) {
      Job job = c.jobs.get(item.job());
      if (item.phase() != Heartbeat.TaskPhase.EXITED && (job == null || job.cancelWanted)) {
        orders.add(new Command(Command.Kind.STOP, item.job(), item.index(), item.attempt(), 0));
      }
    }
    return orders;
  }

  /**
   * What a machine says is done is kept there until it is on record: a successor may ask for it.
   */
  private static boolean forgettable(TaskAttempt run) {
    return run.job.state != Job.State.LIVE
        || !"done".equals(run.cause)
        || run.job.doneDurable.get(run.index);
  }

  /** Whether a command waits that should not wait for the machine's next report. */
  static boolean due(Machine m) {
    for (TaskAttempt run : m.runs.values()) {
      if (startDue(run) || stopDue(run)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether its commands should go out now and not with the answer to its next report: stops at any
   * time, since those of a gang have to arrive together, starts as far as the budget goes.
   */
  boolean mayGo(Machine m) {
    if (budget.open()) {
      return true;
    }
    for (TaskAttempt run : m.runs.values()) {
      if (stopDue(run)) {
        return true;
      }
    }
    return false;
  }

  /** The books of the direct orders under way. */
  CommandConcurrencyLimit budget() {
    return budget;
  }

  /** A machine that began anew may hold a start in doubt: not before it is on record again. */
  private static boolean startDue(TaskAttempt run) {
    return run.phase == null
        && !run.ordered
        && run.job.opened
        && !run.unwanted()
        && run.machine.enrolled;
  }

  private static boolean stopDue(TaskAttempt run) {
    return !run.exited() && run.unwanted() && run.ordered && !run.stopSent && run.phase != null;
  }

  /**
   * Commands that should not wait for the machine's next report; null if there are none. Starts
   * only while this leader is {@code sole}: a machine that has shown a later leader's token and
   * begins anew has none, and executes a direct start of an earlier leader that stood still
   * meanwhile (seed 6651 of the swarm). In an answer it goes to who has just shown this token.
   */
  Decision.SendCommands urgent(Machine m, boolean sole, long nowMs) {
    if (m.orderInFlight || m.addr == null || m.session == 0 || m.state != Machine.State.LIVE) {
      return null;
    }
    List<Command> orders = new ArrayList<>();
    for (TaskAttempt run : m.runs.values()) {
      if (stopDue(run)) {
        orders.add(Command.stop(run, run.graceS()));
        run.stopSent = true;
      } else if (sole && startDue(run) && !c.mute(m, nowMs)) {
        orders.add(directStart(run));
      }
    }
    if (orders.isEmpty()) {
      return null;
    }
    budget.sent(m.name, nowMs);
    return direct(m, orders, Constants.ORDER_TIMEOUT_MS, nowMs);
  }

  /**
   * The claim of an inherited machine, or the question whether a machine whose report is overdue is
   * still there; null if neither is due.
   */
  Decision.SendCommands question(Machine m, boolean sole, long nowMs) {
    if (m.orderInFlight
        || m.addr == null
        || m.state == Machine.State.BOOTING
        || (m.state == Machine.State.LOST && !m.older && m.directFailures > 0)
        || m.state == Machine.State.RETURNING
        || nowMs - m.lastDirectMs < Constants.CLAIM_RETRY_MS) {
      return null;
    }
    boolean claim = claimDue(m, nowMs);
    boolean probe = m.session > 0 && c.overdue(m, nowMs);
    boolean puzzle = m.older || (m.deaf() && nowMs - m.lastDirectMs >= Constants.DEAF_ASK_MS);
    return claim || probe || puzzle
        ? direct(m, repeated(m, sole, nowMs), Constants.PROBE_TIMEOUT_MS, nowMs)
        : null;
  }

  /**
   * What was sent and of which no effect was seen yet: where no report comes, no answer to one
   * repeats it, and a question that goes there anyway may. Of a machine that began anew in this
   * term no report tells either, so a start in doubt is repeated with the question. One that is not
   * wanted any more goes with its stop, so that the machine remembers the attempt: a cancellation
   * waited for ever for a start in doubt of the life before (seeds 4939 and 7641 of the swarm).
   */
  private List<Command> repeated(Machine m, boolean sole, long nowMs) {
    List<Command> orders = new ArrayList<>(0);
    boolean starts = sole && m.restartedInTerm && m.enrolled && m.state == Machine.State.LIVE;
    for (TaskAttempt run : m.runs.values()) {
      if (starts && run.phase == null && run.doubtful && run.job.state == Job.State.LIVE) {
        if (run.unwanted() || (run.job.opened && !c.mute(m, nowMs))) {
          orders.add(directStart(run));
          if (run.unwanted()) {
            orders.add(Command.stop(run, run.graceS()));
          }
        }
      } else if (!run.exited() && run.unwanted() && run.stopSent) {
        orders.add(Command.stop(run, run.graceS()));
      }
    }
    return orders;
  }

  /**
   * Most inherited machines report by themselves, and again once they have seen the new token; only
   * those that do not are asked. To ask a thousand at once costs a node on a fifth of a core more
   * than all their reports. Counted from the first that was heard of it: copies of what it said
   * before, each newer than the last, put the question off for as long as they came.
   */
  private static boolean claimDue(Machine m, long nowMs) {
    boolean said = m.firstSaidMs >= 0;
    long sinceMs = said ? m.firstSaidMs : Math.max(m.knownMs, m.seenMs);
    long waitMs = said ? Constants.CLAIM_SEEN_MS : Constants.CLAIM_UNSEEN_MS;
    return !m.claimed && m.inherited && nowMs - sinceMs >= waitMs;
  }

  /** Whether a question that has waited for its turn is still worth asking. */
  boolean worthAsking(Machine m, long nowMs) {
    return claimDue(m, nowMs) || m.older || m.deaf() || (m.claimed && c.overdue(m, nowMs));
  }

  /**
   * A start in a direct order, which is under way from now on, and meant for the present session:
   * whoever sends one without noting both takes the attempt for gone while it may still start.
   */
  private static Command directStart(TaskAttempt run) {
    run.ordered = true;
    run.inFlight = true;
    run.orderedIn = Math.max(1, run.machine.session);
    return Command.start(run);
  }

  private Decision.SendCommands direct(Machine m, List<Command> orders, int timeoutMs, long nowMs) {
    m.orderInFlight = true;
    m.askedWhileSilent = m.state == Machine.State.UNHEARD || c.overdue(m, nowMs);
    m.lastDirectMs = nowMs;
    m.askedSession = m.session;
    m.askedSeq = m.seq;
    return new Decision.SendCommands(m.name, m.addr, Math.max(1, m.session), orders, timeoutMs);
  }

  /** A direct order has its answer, or will get none. */
  static void settled(Machine m, boolean unknown) {
    m.orderInFlight = false;
    for (TaskAttempt run : m.runs.values()) {
      if (run.inFlight) {
        run.inFlight = false;
        run.doubtful |= unknown;
      }
    }
  }
}
