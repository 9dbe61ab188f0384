package org.astershift.controller;

import java.util.List;
import org.astershift.config.LogIntervals;
import org.astershift.http.Threads;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the scheduling passes of one term: waits for an event, decides under the scheduler's lock,
 * executes the decisions without it, and pauses. Used only by its own thread.
 */
final class PassLoop {
  private static final Logger LOG = LoggerFactory.getLogger(PassLoop.class);

  private final LeaderTerm term;
  private final String node;
  private final PassSignal signal;
  private final DecisionExecutor executor;

  /** Monotonic time, in milliseconds, after which the next pass counts as late. */
  private long nextPassDueMs = Long.MAX_VALUE;

  private boolean isReconciling;
  private long summaryLoggedMs;
  private long totalPassMs;
  private long longestPassMs;

  PassLoop(LeaderTerm term, String node, PassSignal signal, DecisionExecutor executor) {
    this.term = term;
    this.node = node;
    this.signal = signal;
    this.executor = executor;
  }

  /** Result of one pass; {@code summary} is null if no summary is due. */
  private record Pass(List<Decision> decisions, boolean attemptsExhausted, Summary summary) {}

  /** Log lines of a summary; {@code cancellations} is null if there was no cancellation. */
  private record Summary(
      String jobs, String reconciliation, String services, String cancellations) {}

  /** Runs passes until the term ends. */
  void run() throws InterruptedException {
    while (!term.hasEnded()) {
      signal.await(LoopTiming.PASS_INTERVAL_MS);
      long beganNs = System.nanoTime();
      long lateMs = LeaderTerm.nowMs() - nextPassDueMs;
      isReconciling = false;
      try {
        runPass(lateMs);
      } catch (RuntimeException | Error e) {
        LOG.error("scheduling pass failed; will retry: token={}", term.token, e);
        Threads.backOff();
      }
      pause((System.nanoTime() - beganNs) / 1_000_000);
    }
  }

  private void runPass(long lateMs) {
    Pass pass = term.scheduler.callLocked(scheduler -> decide(scheduler, lateMs));
    if (pass.attemptsExhausted()) {
      term.stepDown("its attempt numbers are exhausted");
    }
    if (pass.summary() != null) {
      logSummary(pass.summary());
    }
    for (Decision decision : pass.decisions()) {
      decision.accept(executor);
    }
    executor.startQueuedTasks();
  }

  /** Runs one pass; called under the scheduler's lock. */
  private Pass decide(Scheduler scheduler, long lateMs) {
    long nowMs = LeaderTerm.nowMs();
    if (lateMs > LoopTiming.PROCESS_PAUSE_MS) {
      LOG.info("process pause detected: node={} late_ms={}", node, lateMs);
      scheduler.onProcessResumed(nowMs);
    }
    List<Decision> decisions = scheduler.runPass(nowMs, term.leaseCertainUntilMs());
    boolean attemptsExhausted = scheduler.hasExhaustedAttemptNumbers();
    isReconciling = scheduler.isReconciling();
    return new Pass(decisions, attemptsExhausted, summaryIfDue(scheduler, nowMs));
  }

  private Summary summaryIfDue(Scheduler scheduler, long nowMs) {
    if (nowMs - summaryLoggedMs <= LogIntervals.SUMMARY_INTERVAL_MS) {
      return null;
    }
    summaryLoggedMs = nowMs;
    return new Summary(
        scheduler.clusterSummary(),
        scheduler.reconciliationSummary(),
        scheduler.serviceSummary(nowMs),
        term.cancellationSummary());
  }

  private void logSummary(Summary summary) {
    LOG.info(
        "{}; passes took {} ms, the longest {} ms", summary.jobs(), totalPassMs, longestPassMs);
    LOG.info(
        "messages of machines: token={} lease_certain_for_ms={} {}",
        term.token,
        term.leaseCertainUntilMs() - LeaderTerm.nowMs(),
        summary.reconciliation());
    LOG.info(summary.services());
    if (summary.cancellations() != null) {
      LOG.info(summary.cancellations());
    }
    totalPassMs = 0;
    longestPassMs = 0;
  }

  /**
   * Pauses in proportion to the duration of the pass, so that heartbeats and responses come first
   * when processor time is short; the pause is bounded while machines of an earlier leader are
   * unreconciled.
   */
  private void pause(long passMs) throws InterruptedException {
    totalPassMs += passMs;
    longestPassMs = Math.max(longestPassMs, passMs);
    long pauseMs = Math.max(LoopTiming.PASS_MIN_GAP_MS, passMs * LoopTiming.PASS_REST_FACTOR);
    if (isReconciling) {
      pauseMs = Math.min(LoopTiming.PASS_REST_MAX_MS, pauseMs);
    }
    nextPassDueMs = LeaderTerm.nowMs() + pauseMs + LoopTiming.PASS_INTERVAL_MS;
    Thread.sleep(pauseMs);
  }
}
