package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The jobs of one class and one team that need accelerators, or those that need none, with the
 * amount of resources that they hold and the minimum that they should hold. {@link MinimumShare}
 * refreshes the group once a pass. Amounts are processors, or accelerators for a group that needs
 * these.
 */
final class MinimumShareGroup {
  /** Aged jobs per finished job above which the group counts as underserved. */
  private static final double AGED_JOBS_PER_FINISHED_JOB = 0.5;

  /** Name of the group in the log. */
  final String name;

  /**
   * All groups of the same class, including this one: they divide the minimum share of the class.
   */
  private final Set<MinimumShareGroup> classGroups;

  final boolean needsAccelerators;

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
  private int finishedJobCount;

  private double heldAmount;
  private double minimumAmount;

  /** Within a pass: the part of its shortfall that the group may still take. */
  private double remainingAllowance;

  /** Whether the starvation was logged, and the aged jobs have not all been served since. */
  boolean starvationLogged;

  MinimumShareGroup(String name, Set<MinimumShareGroup> classGroups, boolean accelerated) {
    this.name = name;
    this.classGroups = classGroups;
    classGroups.add(this);
    this.needsAccelerators = accelerated;
  }

  /** Clears the results of the last refresh of {@link MinimumShare}. */
  void reset() {
    agedJobs.clear();
    overdueJobs.clear();
    heldByOverdueJobs = 0;
    heldAmount = 0;
    hasLiveJobs = false;
    remainingAllowance = 0;
  }

  void addAgedJob(Job job) {
    agedJobs.add(job);
  }

  void addOverdueJob(Job job) {
    overdueJobs.add(job);
    heldByOverdueJobs += amountHeldBy(job);
  }

  void addLiveJob(Job job) {
    hasLiveJobs = true;
    heldAmount += amountHeldBy(job);
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
    minimumAmount = classMinimum / liveGroupCount();
    remainingAllowance = shortfall();
  }

  /** Returns the jobs to serve first while the group is starved. */
  List<Job> agedJobs() {
    return agedJobs;
  }

  /**
   * Returns whether the group may take more resources now, ahead of jobs of all priorities but the
   * first.
   */
  boolean isStarved() {
    return remainingAllowance > 0;
  }

  /** Deducts placed tasks of the job from what the group may still take. */
  void onPlaced(Job job, int tasks) {
    remainingAllowance -= tasks * amountPerTask(job);
  }

  void onJobFinished() {
    finishedJobCount++;
  }

  double heldAmount() {
    return heldAmount;
  }

  double minimumAmount() {
    return minimumAmount;
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
    return agedJobs.size() > finishedJobCount * AGED_JOBS_PER_FINISHED_JOB;
  }

  /**
   * Returns what the group lacks of its minimum. If only overdue jobs are served first, only what
   * these hold counts: they start however much the rest of the group holds.
   */
  private double shortfall() {
    if (isUnderserved()) {
      return Math.max(0, minimumAmount - heldAmount);
    }
    return Math.max(0, overdueJobs.isEmpty() ? 0 : minimumAmount - heldByOverdueJobs);
  }

  private int liveGroupCount() {
    int presentGroups = 0;
    for (MinimumShareGroup group : classGroups) {
      presentGroups += group.hasLiveJobs ? 1 : 0;
    }
    return Math.max(1, presentGroups);
  }

  private double amountHeldBy(Job job) {
    return job.attempts.size() * amountPerTask(job);
  }

  private double amountPerTask(Job job) {
    return needsAccelerators ? job.spec.gpus() : job.spec.cpus();
  }
}
