package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Decides which job arrays can still meet their deadlines together. When machines are scarce,
 * serving the earliest deadline first makes all jobs late; so the largest of the jobs that do not
 * fit are postponed, which leaves most jobs on time (the Moore-Hodgson algorithm). Postponed jobs
 * are served after the others.
 */
final class DeadlineAdmission {
  /** Share of its estimate that a running task still has to run, on average. */
  private static final double REMAINING_RUN_SHARE = 0.5;

  /** Share of its estimate by which a job may be late and still counts as on time. */
  private static final double LATENESS_TOLERANCE_SHARE = 0.5;

  /**
   * Delay that sorts postponed jobs behind all others, in milliseconds; longer than any deadline.
   */
  private static final double POSTPONED_DELAY_MS = 1e9;

  private final ClusterState cluster;

  DeadlineAdmission(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Sets the urgency of these waiting arrays of one priority, each of which has a time by which it
   * is due.
   */
  void assignUrgency(Priority priority, List<Job> jobs, long nowMs) {
    CpuLoad runningLoad = runningLoad(priority);
    double capacityPerMs = Math.max(runningLoad.availableCpus(), 1) / 1000;
    double loadCpuS = runningLoad.loadCpuS();
    List<Job> undecided = new ArrayList<>(jobs.size());
    for (Job job : jobs) {
      double objectiveRiskMs = job.objectiveAtRiskMs();
      if (nowMs >= objectiveRiskMs && nowMs < job.objectiveMissedMs()) {
        // The job is no longer postponed, since an objective beyond its deadline is at risk.
        job.urgencyMs = objectiveRiskMs;
        loadCpuS += waitingLoadCpuS(job);
      } else {
        undecided.add(job);
      }
    }
    undecided.sort(Comparator.comparingDouble(Job::latestStartMs));
    double delayMs = 0;
    for (double deadlineMultiple : cluster.limits.deadlineMultiples()) {
      List<Job> postponed = new ArrayList<>();
      loadCpuS =
          admitOrPostpone(undecided, deadlineMultiple, loadCpuS, capacityPerMs, postponed, nowMs);
      setUrgency(undecided, delayMs);
      undecided = postponed;
      undecided.sort(Comparator.comparingDouble(Job::latestStartMs));
      delayMs += POSTPONED_DELAY_MS;
    }
    setUrgency(undecided, delayMs);
  }

  private static void setUrgency(List<Job> jobs, double delayMs) {
    for (Job job : jobs) {
      job.urgencyMs = job.latestStartMs() + delayMs;
    }
  }

  /**
   * Processors that jobs of one priority may use, and the processor seconds that its running tasks
   * still need.
   */
  private record CpuLoad(double availableCpus, double loadCpuS) {}

  /**
   * Returns the available processors and the running load of one priority. Jobs of higher priority
   * keep the processors that they hold; running tasks of the same priority add to the load.
   */
  private CpuLoad runningLoad(Priority priority) {
    double availableCpus = cluster.utilization.provisionedNonGpuCpus();
    double loadCpuS = 0;
    for (Job job : cluster.jobs.values()) {
      JobSpec spec = job.spec;
      if (spec.gpus() > 0) {
        continue;
      }
      double heldCpus = job.attempts.size() * spec.cpus();
      if (spec.priority().compareTo(priority) < 0) {
        availableCpus -= heldCpus;
      } else if (spec.priority() == priority) {
        loadCpuS += heldCpus * spec.estimateS() * REMAINING_RUN_SHARE;
      }
    }
    return new CpuLoad(availableCpus, loadCpuS);
  }

  /**
   * Moves jobs from {@code undecided}, which is sorted by latest start, to {@code postponed} until
   * each remaining job can be on time together with the jobs due before it, both on all machines
   * and on as many as its team's quota allows. Returns the initial load plus that of the admitted
   * jobs, in processor seconds.
   */
  private double admitOrPostpone(
      List<Job> undecided,
      double deadlineMultiple,
      double initialLoadCpuS,
      double capacityPerMs,
      List<Job> postponed,
      long nowMs) {
    AdmittedJobs fleet = new AdmittedJobs(capacityPerMs, initialLoadCpuS);
    Map<String, AdmittedJobs> teams = new HashMap<>();
    for (Job job : undecided) {
      AdmittedJobs team =
          teams.computeIfAbsent(
              job.spec.team(),
              t -> new AdmittedJobs(teamCapacityPerMs(t, capacityPerMs), heldLoadCpuS(t)));
      fleet.add(job);
      team.add(job);
      double runMs = job.spec.estimateS() * 1000;
      double dueMs =
          job.completionDueMs(deadlineMultiple) - nowMs + runMs * LATENESS_TOLERANCE_SHARE;
      boolean overTeamQuota = Math.max(runMs, team.requiredMs()) > dueMs;
      if (overTeamQuota || Math.max(runMs, fleet.requiredMs()) > dueMs) {
        Job largest = (overTeamQuota ? team : fleet).largest();
        fleet.remove(largest);
        teams.get(largest.spec.team()).remove(largest);
        postponed.add(largest);
      }
    }
    undecided.removeAll(postponed);
    return fleet.loadCpuS;
  }

  /** Jobs that can be on time together, and the processor seconds that they need. */
  private static final class AdmittedJobs {
    private final PriorityQueue<Job> jobs =
        new PriorityQueue<>(Comparator.comparingDouble(j -> -waitingLoadCpuS(j)));
    private final double capacityPerMs;
    private double loadCpuS;

    AdmittedJobs(double capacityPerMs, double loadCpuS) {
      this.capacityPerMs = capacityPerMs;
      this.loadCpuS = loadCpuS;
    }

    void add(Job job) {
      jobs.add(job);
      loadCpuS += waitingLoadCpuS(job);
    }

    void remove(Job job) {
      jobs.remove(job);
      loadCpuS -= waitingLoadCpuS(job);
    }

    Job largest() {
      return jobs.peek();
    }

    double requiredMs() {
      return loadCpuS / capacityPerMs;
    }
  }

  private double teamCapacityPerMs(String teamName, double capacityPerMs) {
    Team team = cluster.limits.teams().get(teamName);
    return team == null || team.maxCpus() <= 0
        ? capacityPerMs
        : Math.min(capacityPerMs, team.maxCpus() / 1000);
  }

  /** Returns the processor seconds that the team's running tasks still need. */
  private double heldLoadCpuS(String teamName) {
    double loadCpuS = 0;
    for (Job job : cluster.unfinishedJobs(teamName)) {
      loadCpuS +=
          job.attempts.size() * job.spec.cpus() * job.spec.estimateS() * REMAINING_RUN_SHARE;
    }
    return loadCpuS;
  }

  /** Returns the processor seconds that the job's waiting tasks need. */
  private static double waitingLoadCpuS(Job job) {
    return job.waitingCount() * job.spec.cpus() * Math.max(job.spec.estimateS(), 1);
  }
}
