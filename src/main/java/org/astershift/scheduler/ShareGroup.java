package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * One job class of one team, apart by whether it needs accelerators, with what it holds and the
 * minimum share that it should. {@link MinimumShare} refreshes it once a pass; amounts are
 * processors, or accelerators for a group that needs these.
 */
final class ShareGroup {
  /** Aged jobs, for each finished one, above which the group counts as underserved. */
  private static final double AGED_JOBS_PER_FINISHED_JOB = 0.5;

  /** For the log. */
  final String name;

  /** All groups of the same class, this one too: they divide its minimum share. */
  private final Set<ShareGroup> classGroups;

  final boolean accelerated;

  /** Whether the team has live jobs of the class. */
  private boolean hasLiveJobs;

  /** Waiting for longer than the service age; in the order of submission once starved. */
  private final List<Job> agedJobs = new ArrayList<>();

  /** Those of them whose tasks have to start now. */
  private final List<Job> overdueJobs = new ArrayList<>();

  private double heldByOverdueJobs;

  /** Jobs finished in this leader's term. */
  private int finishedJobs;

  private double held;
  private double minimum;

  /** Within a pass: what it may still take of its shortfall. */
  private double allowance;

  /** Its starvation was logged, and its aged jobs have not all been served since. */
  boolean starvationLogged;

  ShareGroup(String name, Set<ShareGroup> classGroups, boolean accelerated) {
    this.name = name;
    this.classGroups = classGroups;
    classGroups.add(this);
    this.accelerated = accelerated;
  }

  /** Forgets what the last refresh found. */
  void clear() {
    agedJobs.clear();
    overdueJobs.clear();
    heldByOverdueJobs = 0;
    held = 0;
    hasLiveJobs = false;
    allowance = 0;
  }

  void addAgedJob(Job job) {
    agedJobs.add(job);
  }

  void addOverdueJob(Job job) {
    overdueJobs.add(job);
    heldByOverdueJobs += heldBy(job);
  }

  void addLiveJob(Job job) {
    hasLiveJobs = true;
    held += heldBy(job);
  }

  /** A group that is served well enough on the whole has only its overdue jobs served first. */
  void selectJobsToServe() {
    if (!isUnderserved() && !overdueJobs.isEmpty()) {
      agedJobs.clear();
      agedJobs.addAll(overdueJobs);
    }
  }

  /** Sets the minimum share of the whole class, and from it what this group may take now. */
  void setClassMinimum(double classMinimum) {
    minimum = classMinimum / presentGroupCount();
    allowance = shortfall();
  }

  /** The jobs to serve first, while the group is starved. */
  List<Job> agedJobs() {
    return agedJobs;
  }

  /** Whether it may take more now, before jobs of all priorities but the first. */
  boolean isStarved() {
    return allowance > 0;
  }

  /** So many tasks of the job were placed. */
  void onPlaced(Job job, int tasks) {
    allowance -= tasks * amountPerTask(job);
  }

  void onJobFinished() {
    finishedJobs++;
  }

  double held() {
    return held;
  }

  double minimum() {
    return minimum;
  }

  boolean needsService() {
    return isUnderserved() || !overdueJobs.isEmpty();
  }

  /**
   * Too few of its jobs are finished for those that wait too long. A class that serves most of its
   * jobs and postpones a few that are too late for their deadlines is not underserved.
   */
  private boolean isUnderserved() {
    return agedJobs.size() > finishedJobs * AGED_JOBS_PER_FINISHED_JOB;
  }

  /** What it lacks of its minimum; overdue jobs start however much the rest of the class holds. */
  private double shortfall() {
    if (isUnderserved()) {
      return Math.max(0, minimum - held);
    }
    return Math.max(0, overdueJobs.isEmpty() ? 0 : minimum - heldByOverdueJobs);
  }

  private int presentGroupCount() {
    int presentGroups = 0;
    for (ShareGroup group : classGroups) {
      presentGroups += group.hasLiveJobs ? 1 : 0;
    }
    return Math.max(1, presentGroups);
  }

  private double heldBy(Job job) {
    return job.attempts.size() * amountPerTask(job);
  }

  private double amountPerTask(Job job) {
    return accelerated ? job.spec.gpus() : job.spec.cpus();
  }
}
