package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What each class of jobs and each team got in this term, for the log: where machines are short one
 * of them may get nothing while the sums look well.
 */
final class ServiceStatistics {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceStatistics.class);

  /** Milliseconds after which a job that has not begun is warned of: half of what it may take. */
  private static final long UNSTARTED_WARN_MS = 120_000;

  /** Jobs of a class of which it is remembered what the largest got. */
  private static final int JOB_OUTCOMES_KEPT = 5000;

  /** Milliseconds without a start after which a class or team that waits is warned of. */
  private static final long STARVED_WARN_MS = 60_000;

  /** One of so many of a class's jobs counts among its largest. */
  private static final int LARGEST_ONE_IN = 10;

  private final Map<String, Group> classes = new TreeMap<>();
  private final Map<String, Group> teams = new TreeMap<>();
  private long lastStartMs = Long.MIN_VALUE / 2;

  /** What became of one job, for what the largest of its class got. */
  static final class JobOutcome {
    private final double size;
    private boolean started;
    private boolean finished;

    private JobOutcome(double size) {
      this.size = size;
    }
  }

  /** One class or team; jobs an earlier leader had accepted count as accepted when taken over. */
  private static final class Group {
    int accepted;
    int started;
    int finished;

    /** Of the latest jobs, without those that were cancelled. */
    private final ArrayDeque<JobOutcome> outcomes = new ArrayDeque<>();

    long lastStartMs = Long.MIN_VALUE / 2;

    /** For the present look: replicas of services that run, and that should. */
    int replicasUp;

    int replicasDesired;

    /** For the present look: since when the oldest job with waiting tasks waits; -1: none does. */
    long waitingSinceMs = -1;

    /** It was warned of, until it gets something again. */
    boolean starvationWarned;

    String summaryLine(String name, long nowMs) {
      return name
          + " "
          + accepted
          + " accepted "
          + started
          + " started "
          + finished
          + " finished"
          + (replicasDesired > 0
              ? ", " + replicasUp + " of " + replicasDesired + " replicas up"
              : "")
          + (waitingSinceMs < 0 ? "" : ", waits " + (nowMs - waitingSinceMs) / 1000 + " s")
          + largest();
    }

    /** What the largest tenth of its jobs got. */
    private String largest() {
      List<JobOutcome> sorted = new ArrayList<>(outcomes);
      sorted.sort(Comparator.comparingDouble((JobOutcome outcome) -> -outcome.size));
      List<JobOutcome> largest =
          sorted.subList(0, (sorted.size() + LARGEST_ONE_IN - 1) / LARGEST_ONE_IN);
      int startedJobs = 0;
      int finishedJobs = 0;
      for (JobOutcome outcome : largest) {
        startedJobs += outcome.started ? 1 : 0;
        finishedJobs += outcome.finished ? 1 : 0;
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

  private List<Group> groups(Job job) {
    return List.of(
        classes.computeIfAbsent(job.spec.jobClass(), n -> new Group()),
        teams.computeIfAbsent(job.spec.team(), n -> new Group()));
  }

  void onAccepted(Job job) {
    for (Group group : groups(job)) {
      group.accepted++;
    }
    Group classGroup = classes.get(job.spec.jobClass());
    job.outcome = new JobOutcome(job.spec.tasks() * Math.max(job.spec.cpus(), job.spec.gpus()));
    classGroup.outcomes.addLast(job.outcome);
    if (classGroup.outcomes.size() > JOB_OUTCOMES_KEPT) {
      classGroup.outcomes.removeFirst();
    }
  }

  /** A task of the job runs. */
  void onStarted(Job job, long nowMs) {
    if (job.state != Job.State.LIVE) {
      return;
    }
    lastStartMs = Math.max(lastStartMs, nowMs);
    for (Group group : groups(job)) {
      group.started += job.started ? 0 : 1;
      group.lastStartMs = nowMs;
    }
    job.started = true;
    job.outcome.started = true;
  }

  void onEnded(Job job, boolean cancelled) {
    for (Group group : groups(job)) {
      group.finished += cancelled ? 0 : 1;
    }
    job.outcome.finished = !cancelled;
    if (cancelled) {
      classes.get(job.spec.jobClass()).outcomes.remove(job.outcome);
    }
  }

  /**
   * Warns once of each large job that should have begun and has not, with what keeps it: what its
   * team's own earlier work or a mistake in it keeps is no want of machines.
   */
  void warnOfUnstarted(Iterable<Job> waiting, Predicate<Job> withinLimit, long nowMs) {
    for (Job job : waiting) {
      boolean late = nowMs - job.submittedMs >= UNSTARTED_WARN_MS;
      boolean hasStarted = job.started || job.doneCount() > 0;
      if (!late || hasStarted || job.startWarningLogged || job.spec.kind() == JobKind.SERVICE) {
        continue;
      }
      job.startWarningLogged = true;
      String reason =
          job.isSuspect()
              ? "it fails on every machine"
              : job.usableTypes.isEmpty()
                  ? "no machine type takes its tasks"
                  : withinLimit.test(job) ? "others go first" : "its team is at its limit";
      LOG.warn(
          "job {} ({}, {} tasks) has not begun after {} s: {}",
          job.spec.id(),
          job.spec.jobClass(),
          job.spec.tasks(),
          (nowMs - job.submittedMs) / 1000,
          reason);
    }
  }

  /** One line for the log; warns of a class or team that gets nothing though others do. */
  String summary(Iterable<Job> jobs, long nowMs) {
    for (Map<String, Group> statistics : List.of(classes, teams)) {
      for (Group group : statistics.values()) {
        group.replicasUp = 0;
        group.replicasDesired = 0;
        group.waitingSinceMs = -1;
      }
    }
    for (Job job : jobs) {
      for (Group group : groups(job)) {
        if (job.spec.kind() == JobKind.SERVICE) {
          group.replicasUp += job.runningCount();
          group.replicasDesired += job.spec.tasks();
        }
        boolean waiting = job.waitingCount() > 0 && !job.cancellationRequested && !job.isSuspect();
        if (waiting && (group.waitingSinceMs < 0 || job.submittedMs < group.waitingSinceMs)) {
          group.waitingSinceMs = job.submittedMs;
        }
      }
    }
    List<String> lines = new ArrayList<>();
    for (Map.Entry<String, Group> entry : classes.entrySet()) {
      lines.add(entry.getValue().summaryLine(entry.getKey(), nowMs));
      warnIfStarved("class", entry.getKey(), entry.getValue(), nowMs);
    }
    // A team of one class says the same again.
    if (teams.size() > 1) {
      for (Map.Entry<String, Group> entry : teams.entrySet()) {
        lines.add(entry.getValue().summaryLine("team " + entry.getKey(), nowMs));
        warnIfStarved("team", entry.getKey(), entry.getValue(), nowMs);
      }
    }
    lines.sort(Comparator.comparing(line -> line.startsWith("team ")));
    return "served in this term: " + String.join("; ", lines);
  }

  private void warnIfStarved(String kind, String name, Group group, long nowMs) {
    long sinceMs = Math.max(group.lastStartMs, group.waitingSinceMs);
    boolean starved =
        group.waitingSinceMs >= 0
            && nowMs - sinceMs > STARVED_WARN_MS
            && nowMs - lastStartMs < STARVED_WARN_MS / 2;
    if (starved && !group.starvationWarned) {
      LOG.warn(
          "{} {} got nothing for {} s, though others did, and waits since {} s",
          kind,
          name,
          (nowMs - sinceMs) / 1000,
          (nowMs - group.waitingSinceMs) / 1000);
    }
    group.starvationWarned = starved;
  }
}
