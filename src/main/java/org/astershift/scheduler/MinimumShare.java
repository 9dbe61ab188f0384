package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The minimum that each class of each team is served, whatever its priority. Priorities are served
 * one after the other, so without it a long burst of urgent work starves the classes below for as
 * long as it lasts. A class whose jobs wait beyond an age, too many for those finished, while it
 * holds less than a small share of the machines that it can use, is served before all but the first
 * priority, the oldest job first, until it holds that share; and what it holds up to there is not
 * preempted.
 */
final class MinimumShare {
  private static final Logger LOG = LoggerFactory.getLogger(MinimumShare.class);

  /**
   * Seconds of waiting after which a job counts for its group's minimum share, or its start
   * objective if that is longer.
   */
  private static final double SERVICE_AGE_S = 120;

  /**
   * Seconds after which a job's waiting tasks go first, up to the share. All tasks have to begin
   * within 240 s, of which a boot of 50 s and an image fetch are left.
   */
  private static final double OVERDUE_AGE_S = 150;

  /** Share of the machines it can use that such a class is to hold. */
  private static final double SHARE_PER_CLASS = 0.1;

  /** Share that all such classes together are to hold. */
  private static final double SHARE_ALL_CLASSES = 0.3;

  /** Times its minimum up to which a group is not preempted: gangs exceed the minimum at once. */
  private static final double PROTECTION_FACTOR = 1.5;

  private final ClusterState cluster;
  private final Map<String, ShareGroup> groups = new HashMap<>();
  private final Map<String, Set<ShareGroup>> groupsByClass = new HashMap<>();
  private final List<ShareGroup> starvedGroups = new ArrayList<>();

  MinimumShare(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** The group that a new job belongs to. */
  ShareGroup groupOf(JobSpec spec) {
    boolean accelerated = spec.gpus() > 0;
    String suffix = accelerated ? " (accelerated)" : "";
    return groups.computeIfAbsent(
        spec.jobClass() + " of " + spec.team() + suffix,
        name ->
            new ShareGroup(
                name,
                groupsByClass.computeIfAbsent(spec.jobClass() + suffix, key -> new HashSet<>()),
                accelerated));
  }

  /** Whether the job waits, or waited, for longer than its class should without being served. */
  static boolean isPastServiceAge(Job job, long nowMs) {
    double ageS = SERVICE_AGE_S;
    ageS = job.startObjectiveS == null ? ageS : Math.max(ageS, job.startObjectiveS);
    return job.spec.kind() != JobKind.SERVICE && nowMs - job.submittedMs >= ageS * 1000;
  }

  /**
   * Whether its tasks have to start now whatever else is urgent. The largest jobs of a class that
   * is served well are postponed for as long as others can be in time, but not beyond this age.
   */
  static boolean isOverdue(Job job, long nowMs) {
    return job.spec.kind() != JobKind.SERVICE && nowMs - job.submittedMs >= OVERDUE_AGE_S * 1000;
  }

  /** Whether the job's tasks belong to its group's minimum, which is not preempted. */
  static boolean isProtected(Job job, long nowMs) {
    ShareGroup group = job.shareGroup;
    return group != null
        && group.held() <= group.minimum() * PROTECTION_FACTOR
        && isPastServiceAge(job, nowMs);
  }

  /** Recomputes all groups; {@code startable}: the jobs with tasks that may be placed now. */
  void refresh(List<Job> startable, long nowMs) {
    starvedGroups.clear();
    for (ShareGroup group : groups.values()) {
      group.clear();
    }
    addWaitingJobs(startable, nowMs);
    int groupsToServe = 0;
    for (ShareGroup group : groups.values()) {
      group.selectJobsToServe();
      groupsToServe += group.needsService() ? 1 : 0;
    }
    for (Job job : cluster.jobs.values()) {
      job.shareGroup.addLiveJob(job);
    }
    findStarved(groupsToServe, nowMs);
  }

  private static void addWaitingJobs(List<Job> startable, long nowMs) {
    for (Job job : startable) {
      if (!job.isSuspect() && isPastServiceAge(job, nowMs)) {
        job.shareGroup.addAgedJob(job);
      }
      if (!job.isSuspect() && isOverdue(job, nowMs)) {
        job.shareGroup.addOverdueJob(job);
      }
    }
  }

  private void findStarved(int groupsToServe, long nowMs) {
    double classShare = Math.min(SHARE_PER_CLASS, SHARE_ALL_CLASSES / Math.max(1, groupsToServe));
    for (ShareGroup group : groups.values()) {
      // One minimum for all teams of a class: with one each, classes that are served well in sum
      // would have late jobs served before those that can still be in time.
      group.setClassMinimum(
          classShare
              * (group.accelerated
                  ? cluster.utilization.accelerators()
                  : cluster.utilization.processors()));
      if (group.isStarved()) {
        group.agedJobs().sort(Comparator.comparingLong(job -> job.submittedMs));
        starvedGroups.add(group);
      }
      logStarvation(group, nowMs);
    }
    starvedGroups.sort(
        Comparator.comparingDouble((ShareGroup group) -> group.held() / group.minimum()));
  }

  private static void logStarvation(ShareGroup group, long nowMs) {
    boolean starved = group.isStarved();
    if (starved && !group.starvationLogged) {
      LOG.info(
          "{} is starved, its oldest jobs go first: waitingS={} held={} minimum={} of {}",
          group.name,
          (nowMs - group.agedJobs().get(0).submittedMs) / 1000,
          Math.round(group.held()),
          Math.round(group.minimum()),
          group.accelerated ? "accelerators" : "processors");
    }
    group.starvationLogged = starved || (group.starvationLogged && !group.agedJobs().isEmpty());
  }

  /** A job has finished. */
  static void onJobFinished(Job job) {
    job.shareGroup.onJobFinished();
  }

  /** Groups below their minimum, those that hold the least of it first. */
  List<ShareGroup> starvedGroups() {
    return starvedGroups;
  }
}
