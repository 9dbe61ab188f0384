package org.astershift.scheduler;

/**
 * Computes when a job should start and finish, from its own deadline and the service-level
 * objectives of its class. Durations are seconds since the submission; times are milliseconds of
 * the monotonic clock.
 */
final class JobDeadlines {
  /** Deadline in seconds that the order of the wait queue assumes for a job without one. */
  private static final double DEFAULT_DEADLINE_S = 600;

  /**
   * Share of the start objective after which a postponed job is at risk of missing it. The rest is
   * left for the wait until the job is served, since many jobs may become at risk at the same time.
   */
  private static final double OBJECTIVE_RISK_START_SHARE = 0.6;

  /**
   * Share of the finish objective after which, less the job's estimate, a postponed job is at risk
   * of missing it. Larger than the share of the start objective, since jobs with finish objectives
   * are long and make many short jobs late.
   */
  private static final double OBJECTIVE_RISK_FINISH_SHARE = 0.9;

  /**
   * Start objective in seconds from which on jobs are admitted like jobs with deadlines: if
   * machines are scarce, as many jobs as possible start in time and the others are postponed.
   */
  private static final double LONG_START_OBJECTIVE_S = 60;

  private final JobSpec spec;
  private final long submittedMs;
  private final Double startObjectiveS;
  private final Double finishObjectiveS;

  /** The earlier of the deadline and the finish objective; null if there is neither. */
  private final Double dueS;

  JobDeadlines(JobSpec spec, long submittedMs, ClassObjectives objectives) {
    this.spec = spec;
    this.submittedMs = submittedMs;
    this.startObjectiveS = objectives.startS();
    this.finishObjectiveS = objectives.finishS();
    this.dueS = earlier(spec.deadlineS(), objectives.finishS());
  }

  private static Double earlier(Double first, Double second) {
    if (first == null) {
      return second;
    }
    return second == null ? first : (Double) Math.min(first, second);
  }

  /**
   * Returns whether the job's due time decides when it is served, because its deadline requires an
   * earlier start than its start objective or because its start objective is a long one.
   */
  boolean isDeadlineDriven() {
    return spec.kind() == JobKind.ARRAY
        && (isDeadlineBeforeStartObjective() || hasLongStartObjective());
  }

  private boolean isDeadlineBeforeStartObjective() {
    return dueS != null && (startObjectiveS == null || dueS - spec.estimateS() < startObjectiveS);
  }

  /**
   * Returns whether the job has minutes to start. If such jobs were served in the order of arrival,
   * all of them would be late when machines are scarce.
   */
  boolean hasLongStartObjective() {
    return startObjectiveS != null && startObjectiveS >= LONG_START_OBJECTIVE_S;
  }

  /**
   * Returns the seconds since the submission by which the job is due; null if it has no due time.
   */
  Double completionDueS() {
    return isDeadlineDriven() && !isDeadlineBeforeStartObjective()
        ? (Double) (startObjectiveS + spec.estimateS())
        : dueS;
  }

  /** Returns when the job is due if it may take {@code deadlineMultiple} times its allowed time. */
  double completionDueMs(double deadlineMultiple) {
    return submittedMs + deadlineMultiple * completionDueS() * 1000;
  }

  /** Returns when the job's tasks should start at the latest. */
  double latestStartMs() {
    Double completionS = completionDueS();
    double seconds = completionS != null ? completionS : DEFAULT_DEADLINE_S;
    return submittedMs + (seconds - spec.estimateS()) * 1000;
  }

  /**
   * Returns from when on an objective beyond the deadline is at risk; MAX_VALUE if there is none.
   */
  double objectiveAtRiskMs() {
    double seconds = Double.MAX_VALUE;
    if (startObjectiveS != null && isDeadlineBeforeStartObjective()) {
      seconds = startObjectiveS * OBJECTIVE_RISK_START_SHARE;
    }
    if (finishObjectiveS != null && spec.deadlineS() != null) {
      seconds =
          Math.min(seconds, finishObjectiveS * OBJECTIVE_RISK_FINISH_SHARE - spec.estimateS());
    }
    return seconds == Double.MAX_VALUE ? seconds : submittedMs + seconds * 1000;
  }

  /**
   * Returns when the later of the start and the finish objective is missed; from then on neither
   * makes the job urgent.
   */
  double objectiveMissedMs() {
    double seconds =
        Math.max(
            startObjectiveS == null ? 0 : startObjectiveS,
            finishObjectiveS == null ? 0 : finishObjectiveS);
    return submittedMs + seconds * 1000;
  }
}
