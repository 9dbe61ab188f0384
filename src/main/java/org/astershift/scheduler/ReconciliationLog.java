package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import org.astershift.config.LogIntervals;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the conclusions that this leader draws from messages, with the evidence for each, and counts
 * them for the periodic summary.
 */
final class ReconciliationLog {
  private static final Logger LOG = LoggerFactory.getLogger(ReconciliationLog.class);

  /** Maximum number of tasks named in one log line. */
  private static final int TASKS_NAMED_IN_LINE = 5;

  /**
   * Maximum number of machine histories logged per summary interval: a fault may affect the whole
   * fleet.
   */
  private static final int HISTORIES_LOGGED = 10;

  private int tasksFoundTwice;
  private int restartsSuspected;
  private int restartsConfirmed;
  private int restartsPresumed;
  private int restartsRefuted;
  private int answersOvertaken;
  private int exitsContradicted;
  private int historiesLogged;
  private int historiesSuppressed;
  private long historiesFromMs = Long.MIN_VALUE / 2;

  /** Logs those of the attempts about to be dropped that the machine reported as not exited. */
  void onDropped(Machine machine, List<TaskAttempt> attempts, DropReason reason) {
    List<TaskAttempt> reported = new ArrayList<>(0);
    for (TaskAttempt attempt : attempts) {
      if (attempt.phase != null && !attempt.isExited()) {
        reported.add(attempt);
      }
    }
    if (reported.isEmpty()) {
      return;
    }
    MachineEvent evidence = machine.history.newest();
    LOG.info(
        "tasks dropped: machine={} reason={} reported={} tasks={} last_event=\"{}\"",
        machine.name,
        reason,
        reported.size(),
        formatFirstTasks(reported),
        evidence == null ? "none" : evidence.format(evidence.atMs()));
  }

  private static String formatFirstTasks(List<TaskAttempt> attempts) {
    StringJoiner names = new StringJoiner(", ", "[", "]");
    for (TaskAttempt attempt :
        attempts.subList(0, Math.min(attempts.size(), TASKS_NAMED_IN_LINE))) {
      names.add(attempt.name() + " " + attempt.phase);
    }
    return names.toString();
  }

  /** Counts and logs a task that was found on two machines. */
  void onTaskFoundTwice(TaskAttempt attempt, TaskAttempt other, long nowMs) {
    tasksFoundTwice++;
    if (mayLogHistory(nowMs)) {
      LOG.warn(
          "task found on two machines: task={} attempt={} machine={} events={} other_attempt={}"
              + " other_machine={} other_events={}",
          attempt.name(),
          attempt.attemptNumber,
          attempt.machine.name,
          attempt.machine.history.formatEvents(nowMs),
          other.attemptNumber,
          other.machine.name,
          other.machine.history.formatEvents(nowMs));
    }
  }

  /** Counts and logs an answer to direct commands that a newer message of its machine overtook. */
  void onAnswerOvertaken(Machine machine, long nowMs) {
    answersOvertaken++;
    if (mayLogHistory(nowMs)) {
      LOG.warn(
          "answer overtaken by a newer message: machine={} restart_suspected={} events={}",
          machine.name,
          machine.restartSuspected,
          machine.history.formatEvents(nowMs));
    }
  }

  /** Counts and logs an attempt that was reported as exited and is now in this phase. */
  void onExitContradicted(TaskAttempt attempt, Heartbeat.TaskPhase phase, long nowMs) {
    exitsContradicted++;
    if (mayLogHistory(nowMs)) {
      LOG.warn(
          "exited task reported again: task={} attempt={} machine={} phase={} exit_reason={}"
              + " events={}",
          attempt.name(),
          attempt.attemptNumber,
          attempt.machine.name,
          phase,
          attempt.exitReason,
          attempt.machine.history.formatEvents(nowMs));
    }
  }

  /** Counts a message that suggests a restart. */
  void onRestartSuspected() {
    restartsSuspected++;
  }

  /** Counts an answer that proves a restart. */
  void onRestartConfirmed() {
    restartsConfirmed++;
  }

  /** Counts an answer that does not exclude a suspected restart. */
  void onRestartPresumed() {
    restartsPresumed++;
  }

  /** Counts an answer that excludes a suspected restart. */
  void onRestartRefuted() {
    restartsRefuted++;
  }

  private boolean mayLogHistory(long nowMs) {
    if (nowMs - historiesFromMs > LogIntervals.SUMMARY_INTERVAL_MS) {
      historiesFromMs = nowMs;
      historiesLogged = 0;
    }
    boolean allowed = historiesLogged < HISTORIES_LOGGED;
    historiesLogged += allowed ? 1 : 0;
    historiesSuppressed += allowed ? 0 : 1;
    return allowed;
  }

  /** Returns this term's counts as name=value pairs. */
  String summary() {
    return "tasks_found_twice="
        + tasksFoundTwice
        + " restarts_suspected="
        + restartsSuspected
        + " restarts_confirmed="
        + restartsConfirmed
        + " restarts_presumed="
        + restartsPresumed
        + " restarts_refuted="
        + restartsRefuted
        + " answers_overtaken="
        + answersOvertaken
        + " exits_contradicted="
        + exitsContradicted
        + " histories_not_logged="
        + historiesSuppressed;
  }
}
