package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Service that one class or team got in this leader's term. Jobs that an earlier leader accepted
 * count as accepted at the failover.
 */
final class ServiceCounters {
  /** Latest jobs of which the outcome is kept. */
  private static final int JOB_OUTCOMES_KEPT = 5000;

  /** One of so many jobs counts among the largest. */
  private static final int LARGEST_ONE_IN = 10;

  private int accepted;
  private int started;
  private int finished;

  /** Of the latest jobs, without those that were cancelled. */
  private final ArrayDeque<JobOutcome> outcomes = new ArrayDeque<>();

  private long lastStartMs = Long.MIN_VALUE / 2;

  /** Replicas of services that run, and that should, at the last snapshot. */
  private int replicasUp;

  private int replicasDesired;

  /** When the oldest job with waiting tasks was submitted, at the last snapshot; -1: none waits. */
  private long waitingSinceMs = -1;

  /** A warning was logged, and the class or team has got nothing since. */
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

  /** A task runs; {@code first}: it is the first of its job in this term. */
  void onStarted(boolean first, long nowMs) {
    started += first ? 1 : 0;
    lastStartMs = nowMs;
  }

  void onEnded(boolean cancelled) {
    finished += cancelled ? 0 : 1;
  }

  /** Begins a snapshot, to which each live job is added. */
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

  /** Whether a job waits, as of the last snapshot. */
  boolean hasWaitingJob() {
    return waitingSinceMs >= 0;
  }

  long waitingSinceMs() {
    return waitingSinceMs;
  }

  /** Since when it has got nothing though a job waited. */
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

  /** What the largest tenth of the jobs got; empty for fewer than two of them. */
  private String largestSummary() {
    List<JobOutcome> sorted = new ArrayList<>(outcomes);
    sorted.sort(Comparator.comparingDouble((JobOutcome outcome) -> -outcome.size()));
    List<JobOutcome> largest =
        sorted.subList(0, (sorted.size() + LARGEST_ONE_IN - 1) / LARGEST_ONE_IN);
    int startedJobs = 0;
    int finishedJobs = 0;
    for (JobOutcome outcome : largest) {
      startedJobs += outcome.started() ? 1 : 0;
      finishedJobs += outcome.finished() ? 1 : 0;
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
