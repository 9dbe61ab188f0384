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
 * Serves each job class of each team (a {@link MinimumShareGroup}) a minimum share, whatever its
 * priority. Priorities are served one after the other, so without the minimum share a long burst of
 * urgent work would starve the lower priorities for as long as it lasts. A group is starved if too
 * many of its jobs, compared with those finished, wait beyond an age while the group holds less
 * than a small share of the machines that it can use. A starved group is served before all
 * priorities but the first, the oldest job first, until it holds that share; and only the first
 * priority preempts what it holds up to that share.
 */
final class MinimumShare {
  private static final Logger LOG = LoggerFactory.getLogger(MinimumShare.class);

  /**
   * Waiting time after which a job counts for its group's minimum share, in seconds. A longer start
   * objective replaces it.
   */
  private static final double SERVICE_AGE_S = 120;

  /**
   * Age after which a job's waiting tasks are served first, up to the share, in seconds. All tasks
   * have to start within 240 s, and the difference is left for a boot of 50 s and an image fetch.
   */
  private static final double OVERDUE_AGE_S = 150;

  /** Share of the machines it can use that a class in need of service is to hold. */
  private static final double SHARE_PER_CLASS = 0.1;

  /** Share that all classes in need of service are to hold together. */
  private static final double SHARE_ALL_CLASSES = 0.3;

  /**
   * Multiple of its minimum up to which a group is not preempted; greater than one, since a gang
   * exceeds the minimum at once.
   */
  private static final double PROTECTION_FACTOR = 1.5;

  private final ClusterState cluster;
  private final Map<String, MinimumShareGroup> groups = new HashMap<>();
  private final Map<String, Set<MinimumShareGroup>> groupsByClass = new HashMap<>();
  private final List<MinimumShareGroup> starvedGroups = new ArrayList<>();

  MinimumShare(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Returns the group that a new job belongs to; creates the group if necessary. */
  MinimumShareGroup groupOf(JobSpec spec) {
    boolean needsAccelerators = spec.gpus() > 0;
    String suffix = needsAccelerators ? " (accelerated)" : "";
    return groups.computeIfAbsent(
        spec.jobClass() + " of " + spec.team() + suffix,
        name ->
            new MinimumShareGroup(
                name,
                groupsByClass.computeIfAbsent(spec.jobClass() + suffix, key -> new HashSet<>()),
                needsAccelerators));
  }

  /**
   * Returns whether the job was submitted longer ago than jobs of its class should wait without
   * being served; always false for services.
   */
  static boolean isPastServiceAge(Job job, long nowMs) {
    double ageS = SERVICE_AGE_S;
    ageS = job.startObjectiveS == null ? ageS : Math.max(ageS, job.startObjectiveS);
    return job.spec.kind() != JobKind.SERVICE && nowMs - job.submittedMs >= ageS * 1000;
  }

  /**
   * Returns whether the job's tasks have to start now, whatever else is urgent. The largest jobs of
   * a class that is served well are postponed for as long as others can be on time, but not beyond
   * this age.
   */
  static boolean isOverdue(Job job, long nowMs) {
    return job.spec.kind() != JobKind.SERVICE && nowMs - job.submittedMs >= OVERDUE_AGE_S * 1000;
  }

  /**
   * Returns whether the job's tasks belong to its group's minimum share, which is not preempted.
   */
  static boolean isProtected(Job job, long nowMs) {
    MinimumShareGroup group = job.minimumShareGroup;
    return group != null
        && group.heldAmount() <= group.minimumAmount() * PROTECTION_FACTOR
        && isPastServiceAge(job, nowMs);
  }

  /** Recomputes all groups; {@code startable} are the jobs with tasks that may be placed now. */
  void refresh(List<Job> startable, long nowMs) {
    starvedGroups.clear();
    for (MinimumShareGroup group : groups.values()) {
      group.reset();
    }
    addWaitingJobs(startable, nowMs);
    int groupsToServe = 0;
    for (MinimumShareGroup group : groups.values()) {
      group.selectJobsToServe();
      groupsToServe += group.needsService() ? 1 : 0;
    }
    for (Job job : cluster.jobs.values()) {
      job.minimumShareGroup.addLiveJob(job);
    }
    findStarvedGroups(groupsToServe, nowMs);
  }

  private static void addWaitingJobs(List<Job> startable, long nowMs) {
    for (Job job : startable) {
      if (!job.isSuspect() && isPastServiceAge(job, nowMs)) {
        job.minimumShareGroup.addAgedJob(job);
      }
      if (!job.isSuspect() && isOverdue(job, nowMs)) {
        job.minimumShareGroup.addOverdueJob(job);
      }
    }
  }

  private void findStarvedGroups(int groupsToServe, long nowMs) {
    double classShare = Math.min(SHARE_PER_CLASS, SHARE_ALL_CLASSES / Math.max(1, groupsToServe));
    for (MinimumShareGroup group : groups.values()) {
      // All teams of a class share one minimum. With a minimum for each team, classes that are
      // served well in total would have late jobs served before jobs that can still be on time.
      group.setClassMinimum(
          classShare
              * (group.needsAccelerators
                  ? cluster.utilization.liveGpus()
                  : cluster.utilization.liveCpus()));
      if (group.isStarved()) {
        group.agedJobs().sort(Comparator.comparingLong(job -> job.submittedMs));
        starvedGroups.add(group);
      }
      logStarvation(group, nowMs);
    }
    starvedGroups.sort(
        Comparator.comparingDouble(
            (MinimumShareGroup group) -> group.heldAmount() / group.minimumAmount()));
  }

  private static void logStarvation(MinimumShareGroup group, long nowMs) {
    boolean starved = group.isStarved();
    if (starved && !group.starvationLogged) {
      LOG.info(
          "serving starved group first: group=\"{}\" waiting_s={} held={} minimum={} unit={}",
          group.name,
          (nowMs - group.agedJobs().get(0).submittedMs) / 1000,
          Math.round(group.heldAmount()),
          Math.round(group.minimumAmount()),
          group.needsAccelerators ? "accelerators" : "processors");
    }
    group.starvationLogged = starved || (group.starvationLogged && !group.agedJobs().isEmpty());
  }

  /** Counts a finished job for its group. */
  static void onJobFinished(Job job) {
    job.minimumShareGroup.onJobFinished();
  }

  /** Returns the starved groups, those that hold the least of their minimum first. */
  List<MinimumShareGroup> starvedGroups() {
    return starvedGroups;
  }
}
