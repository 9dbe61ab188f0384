package org.astershift.scheduler;

/**
 * When a job should start and be done: by its own deadline and by the service-level objectives of
 * its class. Durations are seconds after the submission, times milliseconds of the steady clock.
 */
final class JobDeadlines {
  /** Deadline that the queue's order assumes for a job without one. */
  private static final double DEFAULT_DEADLINE_S = 600;

  /**
   * Share of the start objective after which a job that was put off is at risk. The rest is for its
   * turn, since many may come to this at once.
   */
  private static final double OBJECTIVE_RISK_START_SHARE = 0.6;

  /**
   * The same of the finish objective, less the job's estimate. Later, since such jobs are long and
   * make many short ones late.
   */
  private static final double OBJECTIVE_RISK_FINISH_SHARE = 0.9;

  /**
   * From this start objective on, jobs are admitted like jobs with deadlines: where machines are
   * short, as many as possible start in time and the others are put off.
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
   * Whether the time by which the job is to be done decides when it is served: its deadline asks
   * for an earlier start than its start objective, or that objective is a long one.
   */
  boolean isDeadlineDriven() {
    return spec.kind() == JobKind.ARRAY
        && (isDeadlineBeforeStartObjective() || hasLongStartObjective());
  }

  private boolean isDeadlineBeforeStartObjective() {
    return dueS != null && (startObjectiveS == null || dueS - spec.estimateS() < startObjectiveS);
  }

  /**
   * Whether the job has minutes to start. Served in the order of arrival, all such jobs would be
   * late where machines are short.
   */
  boolean hasLongStartObjective() {
    return startObjectiveS != null && startObjectiveS >= LONG_START_OBJECTIVE_S;
  }

  /** Seconds by which the job is to be done; null if there is no such time. */
  Double completionDueS() {
    return isDeadlineDriven() && !isDeadlineBeforeStartObjective()
        ? (Double) (startObjectiveS + spec.estimateS())
        : dueS;
  }

  /** When the job is to be done if it may take {@code deadlineMultiple} times its time. */
  double completionDueMs(double deadlineMultiple) {
    return submittedMs + deadlineMultiple * completionDueS() * 1000;
  }

  /** When its tasks should start at the latest. */
  double latestStartMs() {
    Double completionS = completionDueS();
    double seconds = completionS != null ? completionS : DEFAULT_DEADLINE_S;
    return submittedMs + (seconds - spec.estimateS()) * 1000;
  }

  /** From when on an objective beyond its deadline is at risk; MAX_VALUE if there is none. */
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

  /** When the last of these objectives is missed: from then on the job is not urgent. */
  double objectiveMissedMs() {
    double seconds =
        Math.max(
            startObjectiveS == null ? 0 : startObjectiveS,
            finishObjectiveS == null ? 0 : finishObjectiveS);
    return submittedMs + seconds * 1000;
  }
}
