package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Counts the service that one job class or team got in this leader's term. Jobs that an earlier
 * leader accepted count as accepted at the failover.
 */
final class ServiceCounters {
  /** Number of latest jobs whose outcome is kept. */
  private static final int JOB_OUTCOMES_KEPT = 5000;

  /** One in this many jobs counts among the largest. */
  private static final int LARGEST_ONE_IN = 10;

  private int accepted;
  private int started;
  private int finished;

  /** Outcomes of the latest jobs, without cancelled ones. */
  private final ArrayDeque<JobOutcome> outcomes = new ArrayDeque<>();

  private long lastStartMs = Long.MIN_VALUE / 2;

  /** Running replicas of services at the last snapshot. */
  private int replicasUp;

  /** Replicas of services that should have run at the last snapshot. */
  private int replicasDesired;

  /** Submission time of the oldest waiting job at the last snapshot; -1 if no job was waiting. */
  private long waitingSinceMs = -1;

  /** Whether the warning about starvation was logged and the starvation has lasted since. */
  boolean starvationWarned;

  void onAccepted() {
    accepted++;
  }

  void addOutcome(JobOutcome outcome) {
    outcomes.addLast(outcome);
    if (outcomes.size() > JOB_OUTCOMES_KEPT) {
      outcomes.removeFirst();
    }
  }

  void removeOutcome(JobOutcome outcome) {
    outcomes.remove(outcome);
  }

  /**
   * Records that a task runs; {@code isFirstStart}: the task is the first of its job in this term.
   */
  void onStarted(boolean isFirstStart, long nowMs) {
    started += isFirstStart ? 1 : 0;
    lastStartMs = nowMs;
  }

  void onEnded(boolean cancelled) {
    finished += cancelled ? 0 : 1;
  }

  /** Begins a snapshot; the caller then adds each live job to it. */
  void beginSnapshot() {
    replicasUp = 0;
    replicasDesired = 0;
    waitingSinceMs = -1;
  }

  void addToSnapshot(Job job) {
    if (job.spec.kind() == JobKind.SERVICE) {
      replicasUp += job.runningCount();
      replicasDesired += job.spec.tasks();
    }
    boolean waiting = job.waitingCount() > 0 && !job.cancellationRequested && !job.isSuspect();
    if (waiting && (waitingSinceMs < 0 || job.submittedMs < waitingSinceMs)) {
      waitingSinceMs = job.submittedMs;
    }
  }

  /** Returns whether a job was waiting at the last snapshot. */
  boolean hasWaitingJob() {
    return waitingSinceMs >= 0;
  }

  long waitingSinceMs() {
    return waitingSinceMs;
  }

  /** Returns since when no task has started although a job was waiting. */
  long unservedSinceMs() {
    return Math.max(lastStartMs, waitingSinceMs);
  }

  String summary(String name, long nowMs) {
    return name
        + " "
        + accepted
        + " accepted "
        + started
        + " started "
        + finished
        + " finished"
        + (replicasDesired > 0 ? ", " + replicasUp + " of " + replicasDesired + " replicas up" : "")
        + (hasWaitingJob() ? ", waits " + (nowMs - waitingSinceMs) / 1000 + " s" : "")
        + largestSummary();
  }

  /** Returns the service of the largest tenth of the jobs; empty if that is fewer than two jobs. */
  private String largestSummary() {
    List<JobOutcome> sorted = new ArrayList<>(outcomes);
    sorted.sort(Comparator.comparingDouble((JobOutcome outcome) -> -outcome.size()));
    List<JobOutcome> largest =
        sorted.subList(0, (sorted.size() + LARGEST_ONE_IN - 1) / LARGEST_ONE_IN);
    int startedJobs = 0;
    int finishedJobs = 0;
    for (JobOutcome outcome : largest) {
      startedJobs += outcome.hasStarted() ? 1 : 0;
      finishedJobs += outcome.hasFinished() ? 1 : 0;
    }
    return largest.size() < 2
        ? ""
        : ", of its "
            + largest.size()
            + " largest "
            + startedJobs
            + " started "
            + finishedJobs
            + " finished";
  }
}
