package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The jobs of one class and one team that need accelerators, or those that do not, with the amount
 * that they hold and the minimum share that they should hold. {@link MinimumShare} refreshes the
 * group once a pass. Amounts are processors, or accelerators for a group that needs these.
 */
final class ShareGroup {
  /** Aged jobs per finished job above which the group counts as underserved. */
  private static final double AGED_JOBS_PER_FINISHED_JOB = 0.5;

  /** Name of the group in the log. */
  final String name;

  /**
   * All groups of the same class, including this one: they divide the minimum share of the class.
   */
  private final Set<ShareGroup> classGroups;

  final boolean accelerated;

  /** Whether the team has live jobs of the class. */
  private boolean hasLiveJobs;

  /**
   * Jobs that have waited for longer than the service age, or only the overdue ones after {@link
   * #selectJobsToServe}; in the order of submission while the group is starved.
   */
  private final List<Job> agedJobs = new ArrayList<>();

  /** Waiting jobs whose tasks have to start now. */
  private final List<Job> overdueJobs = new ArrayList<>();

  private double heldByOverdueJobs;

  /** Number of jobs finished in this leader's term. */
  private int finishedJobs;

  private double held;
  private double minimum;

  /** Within a pass: the part of its shortfall that the group may still take. */
  private double allowance;

  /** Whether the starvation was logged, and the aged jobs have not all been served since. */
  boolean starvationLogged;

  ShareGroup(String name, Set<ShareGroup> classGroups, boolean accelerated) {
    this.name = name;
    this.classGroups = classGroups;
    classGroups.add(this);
    this.accelerated = accelerated;
  }

  /** Clears the results of the last refresh. */
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

  /** Limits the jobs that are served first to the overdue ones if the group is not underserved. */
  void selectJobsToServe() {
    if (!isUnderserved() && !overdueJobs.isEmpty()) {
      agedJobs.clear();
      agedJobs.addAll(overdueJobs);
    }
  }

  /**
   * Sets this group's minimum, and what it may take in this pass, from the minimum share of the
   * whole class.
   */
  void setClassMinimum(double classMinimum) {
    minimum = classMinimum / presentGroupCount();
    allowance = shortfall();
  }

  /** Returns the jobs to serve first while the group is starved. */
  List<Job> agedJobs() {
    return agedJobs;
  }

  /** Returns whether the group may take more now, ahead of jobs of all priorities but the first. */
  boolean isStarved() {
    return allowance > 0;
  }

  /** Deducts placed tasks of the job from what the group may still take. */
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
   * Returns whether too few jobs are finished compared with those that wait too long. A class that
   * serves most of its jobs and postpones a few that are too late for their deadlines is not
   * underserved.
   */
  private boolean isUnderserved() {
    return agedJobs.size() > finishedJobs * AGED_JOBS_PER_FINISHED_JOB;
  }

  /**
   * Returns what the group lacks of its minimum. If only overdue jobs are served first, only what
   * these hold counts: they start however much the rest of the group holds.
   */
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
