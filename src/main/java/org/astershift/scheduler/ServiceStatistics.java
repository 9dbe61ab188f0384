package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects, for the log, the service that each job class and each team got in this leader's term.
 * When machines are scarce, one class or team may be starved while the totals look healthy.
 */
final class ServiceStatistics {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceStatistics.class);

  /**
   * Milliseconds without a start before a warning about a job: half of the time within which all
   * tasks have to start (see {@link MinimumShare}).
   */
  private static final long UNSTARTED_WARN_MS = 120_000;

  /** Milliseconds without a start before a warning about a class or team that waits. */
  private static final long STARVED_WARN_MS = 60_000;

  private final Map<String, ServiceCounters> classes = new TreeMap<>();
  private final Map<String, ServiceCounters> teams = new TreeMap<>();
  private long lastStartMs = Long.MIN_VALUE / 2;

  private ServiceCounters classCounters(Job job) {
    return classes.computeIfAbsent(job.spec.jobClass(), name -> new ServiceCounters());
  }

  private ServiceCounters teamCounters(Job job) {
    return teams.computeIfAbsent(job.spec.team(), name -> new ServiceCounters());
  }

  /** Records that a job was accepted or inherited from an earlier leader. */
  void onAccepted(Job job) {
    ServiceCounters counters = classCounters(job);
    counters.onAccepted();
    teamCounters(job).onAccepted();
    job.outcome = new JobOutcome(job.spec.tasks() * Math.max(job.spec.cpus(), job.spec.gpus()));
    counters.addOutcome(job.outcome);
  }

  /** Records that a task of the job runs. */
  void onStarted(Job job, long nowMs) {
    if (job.state != Job.State.LIVE) {
      return;
    }
    lastStartMs = Math.max(lastStartMs, nowMs);
    boolean isFirstStart = !job.started;
    classCounters(job).onStarted(isFirstStart, nowMs);
    teamCounters(job).onStarted(isFirstStart, nowMs);
    job.started = true;
    job.outcome.onStarted();
  }

  /** Records that the job has finished or was cancelled. */
  void onEnded(Job job, boolean cancelled) {
    ServiceCounters counters = classCounters(job);
    counters.onEnded(cancelled);
    teamCounters(job).onEnded(cancelled);
    job.outcome.onEnded(cancelled);
    if (cancelled) {
      counters.removeOutcome(job.outcome);
    }
  }

  /**
   * Warns once about each job that should have started and has not. The warning gives the reason,
   * since a job held back by its team's quota or by its own failures shows no lack of machines.
   */
  void warnAboutUnstartedJobs(Iterable<Job> waiting, Predicate<Job> withinQuota, long nowMs) {
    for (Job job : waiting) {
      boolean isLate = nowMs - job.submittedMs >= UNSTARTED_WARN_MS;
      boolean hasStarted = job.started || job.doneCount() > 0;
      if (!isLate || hasStarted || job.startWarningLogged || job.spec.kind() == JobKind.SERVICE) {
        continue;
      }
      job.startWarningLogged = true;
      LOG.warn(
          "job not started after {} s, {}: job={} class={} tasks={}",
          (nowMs - job.submittedMs) / 1000,
          unstartedReason(job, withinQuota),
          job.spec.id(),
          job.spec.jobClass(),
          job.spec.tasks());
    }
  }

  private static String unstartedReason(Job job, Predicate<Job> withinQuota) {
    if (job.isSuspect()) {
      return "its tasks fail on every machine";
    }
    if (job.usableTypes.isEmpty()) {
      return "no machine type fits its tasks";
    }
    return withinQuota.test(job) ? "other jobs are served first" : "its team has reached its quota";
  }

  /** Returns one line for the log; warns about a class or team that is starved. */
  String summary(Iterable<Job> jobs, long nowMs) {
    takeSnapshot(jobs);
    List<String> lines = new ArrayList<>();
    for (Map.Entry<String, ServiceCounters> entry : classes.entrySet()) {
      lines.add(entry.getValue().summary(entry.getKey(), nowMs));
      warnIfStarved("class", entry.getKey(), entry.getValue(), nowMs);
    }
    // With a single team its counters would only repeat the totals of the classes.
    if (teams.size() > 1) {
      for (Map.Entry<String, ServiceCounters> entry : teams.entrySet()) {
        lines.add(entry.getValue().summary("team " + entry.getKey(), nowMs));
        warnIfStarved("team", entry.getKey(), entry.getValue(), nowMs);
      }
    }
    return "served in this term: " + String.join("; ", lines);
  }

  private void takeSnapshot(Iterable<Job> jobs) {
    classes.values().forEach(ServiceCounters::beginSnapshot);
    teams.values().forEach(ServiceCounters::beginSnapshot);
    for (Job job : jobs) {
      classCounters(job).addToSnapshot(job);
      teamCounters(job).addToSnapshot(job);
    }
  }

  private void warnIfStarved(String kind, String name, ServiceCounters counters, long nowMs) {
    boolean starved =
        counters.hasWaitingJob()
            && nowMs - counters.unservedSinceMs() > STARVED_WARN_MS
            && nowMs - lastStartMs < STARVED_WARN_MS / 2;
    if (starved && !counters.starvationWarned) {
      LOG.warn(
          "{} {} is starved while others are served: no_start_s={} waiting_s={}",
          kind,
          name,
          (nowMs - counters.unservedSinceMs()) / 1000,
          (nowMs - counters.waitingSinceMs()) / 1000);
    }
    counters.starvationWarned = starved;
  }
}
