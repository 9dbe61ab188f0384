package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import org.astershift.config.LogIntervals;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs what this leader concluded from messages and on what evidence, and counts it for the
 * periodic summary.
 */
final class ReconciliationLog {
  private static final Logger LOG = LoggerFactory.getLogger(ReconciliationLog.class);

  /** Tasks named in one line. */
  private static final int TASKS_NAMED_IN_LINE = 5;

  /** Histories of machines logged in one summary interval: a fault may concern a whole fleet. */
  private static final int HISTORIES_LOGGED = 10;

  private int tasksFoundTwice;
  private int restartsSuspected;
  private int restartsConfirmed;
  private int restartsPresumed;
  private int restartsRefuted;
  private int answersOvertaken;
  private int historiesLogged;
  private int historiesSuppressed;
  private long historiesFromMs = Long.MIN_VALUE / 2;

  /** These attempts of one machine are about to be dropped. */
  void onDropped(Machine machine, List<TaskAttempt> attempts, DropReason reason) {
    List<TaskAttempt> shown = new ArrayList<>(0);
    for (TaskAttempt attempt : attempts) {
      if (attempt.phase != null && !attempt.isExited()) {
        shown.add(attempt);
      }
    }
    if (shown.isEmpty()) {
      return;
    }
    MachineEvent evidence = machine.history.newest();
    LOG.info(
        "tasks dropped: machine={} reason={} shown={} tasks={} last_event=\"{}\"",
        machine.name,
        reason,
        shown.size(),
        describeFirstTasks(shown),
        evidence == null ? "none" : evidence.describe(evidence.atMs()));
  }

  private static String describeFirstTasks(List<TaskAttempt> attempts) {
    StringJoiner names = new StringJoiner(", ", "[", "]");
    for (TaskAttempt attempt :
        attempts.subList(0, Math.min(attempts.size(), TASKS_NAMED_IN_LINE))) {
      names.add(attempt.name() + " " + attempt.phase);
    }
    return names.toString();
  }

  /** One task was found on two machines. */
  void onTaskFoundTwice(TaskAttempt attempt, TaskAttempt other, long nowMs) {
    tasksFoundTwice++;
    if (mayLogHistory(nowMs)) {
      LOG.warn(
          "task found on two machines: task={} attempt={} machine={} events={} other_attempt={}"
              + " other_machine={} other_events={}",
          attempt.name(),
          attempt.attemptNumber,
          attempt.machine.name,
          attempt.machine.history.describe(nowMs),
          other.attemptNumber,
          other.machine.name,
          other.machine.history.describe(nowMs));
    }
  }

  /** An answer to direct commands was overtaken by a newer message of its machine. */
  void onAnswerOvertaken(Machine machine, long nowMs) {
    answersOvertaken++;
    if (mayLogHistory(nowMs)) {
      LOG.warn(
          "answer overtaken by a newer message: machine={} restart_suspected={} events={}",
          machine.name,
          machine.restartSuspected,
          machine.history.describe(nowMs));
    }
  }

  /** A message suggests a restart. */
  void onRestartSuspected() {
    restartsSuspected++;
  }

  /** An answer proves a restart. */
  void onRestartConfirmed() {
    restartsConfirmed++;
  }

  /** An answer does not exclude a suspected restart. */
  void onRestartPresumed() {
    restartsPresumed++;
  }

  /** An answer excludes a suspected restart. */
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

  /** What was counted in this term. */
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
        + " histories_not_logged="
        + historiesSuppressed;
  }
}
