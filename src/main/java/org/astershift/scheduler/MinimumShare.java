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
 * What each class of each team is served at least, whatever its priority. Priorities are served one
 * after the other, so under a long burst of urgent work the classes below got nothing for as long
 * as it lasted: of 1,145 small jobs of a guest 3 were done, of its 20 gangs none. A class whose
 * jobs wait beyond an age, too many for those done, while it holds less than a small share of the
 * machines that it can use is served before all but the first priority, the oldest job first, until
 * it holds that share; and what it holds up to there is not stopped for others.
 */
final class MinimumShare {
  private static final Logger LOG = LoggerFactory.getLogger(MinimumShare.class);

  /**
   * Seconds after which the jobs of a class that is hardly served count for its floor, or its aim
   * on starting if that is longer: an operator who looks after some minutes finds it served.
   */
  private static final double MINIMUM_SHARE_AGE_S = 120;

  /**
   * Seconds after which a job's tasks that wait go first, up to a share: the largest too have to
   * begin within 240 s (the operators' letter), of which a boot of 50 s and a fetch are left.
   */
  private static final double MINIMUM_SHARE_OVERDUE_AGE_S = 150;

  /**
   * Jobs that wait beyond that age, for each one done, from which their class is neglected: two of
   * three are to be served.
   */
  private static final double MINIMUM_SHARE_WAITING_RATIO = 0.5;

  /** Share of the machines it can use that such a class is to hold. */
  private static final double MINIMUM_SHARE_PER_CLASS = 0.1;

  /** Share that all such classes together are to hold. */
  private static final double MINIMUM_SHARE_ALL_CLASSES = 0.3;

  /** Times its floor up to which nothing of such a class is stopped: gangs go beyond it at once. */
  private static final double MINIMUM_SHARE_PROTECTION_FACTOR = 1.5;

  private final ClusterState cluster;
  private final Map<String, ShareGroup> groups = new HashMap<>();
  private final Map<String, Set<ShareGroup>> groupsByClass = new HashMap<>();
  private final List<ShareGroup> starved = new ArrayList<>();

  /** One class of one team, apart by whether it needs accelerators. */
  static final class ShareGroup {
    private final String name;

    /** Teams that share the class, and with it its floor. */
    private final Set<ShareGroup> classGroups;

    private final boolean accelerated;

    /** It has live jobs. */
    private boolean hasLiveJobs;

    /** Waiting for longer than its age, the oldest first. */
    private final List<Job> agedJobs = new ArrayList<>();

    /** Those of them whose tasks have to start now: the least that is served first. */
    private final List<Job> overdueJobs = new ArrayList<>();

    /** Processors, or accelerators, that tasks of these hold. */
    private double heldByOverdueJobs;

    /** Its jobs that were done in this term. */
    private int finishedJobs;

    /** Processors, or accelerators, that its tasks hold. */
    private double held;

    /** The least it should hold while it has old jobs. */
    private double minimum;

    /** Within a pass: what it may take of that. */
    private double allowance;

    private boolean starvationLogged;

    private ShareGroup(String name, Set<ShareGroup> classGroups, boolean accelerated) {
      this.name = name;
      this.classGroups = classGroups;
      classGroups.add(this);
      this.accelerated = accelerated;
    }

    List<Job> agedJobs() {
      return agedJobs;
    }

    boolean isStarved() {
      return allowance > 0;
    }

    /** So many tasks of the job were placed. */
    void onPlaced(Job job, int tasks) {
      allowance -= tasks * amountPerTask(job);
    }

    /**
     * Too few of its jobs are done for those that wait too long. A class that serves most of its
     * jobs and puts off a few that are too late for their deadlines does so for good reasons.
     */
    private boolean hasTooFewFinishedJobs() {
      return agedJobs.size() > finishedJobs * MINIMUM_SHARE_WAITING_RATIO;
    }

    /** What it may take now beyond what it has. */
    private double shortfall() {
      // Those that have to start do so however much the rest of their class holds.
      return Math.max(
          0,
          hasTooFewFinishedJobs()
              ? minimum - held
              : overdueJobs.isEmpty() ? 0 : minimum - heldByOverdueJobs);
    }

    private int presentGroupCount() {
      int presentGroups = 0;
      for (ShareGroup group : classGroups) {
        presentGroups += group.hasLiveJobs ? 1 : 0;
      }
      return Math.max(1, presentGroups);
    }

    private double amountPerTask(Job job) {
      return accelerated ? job.spec.gpus() : job.spec.cpus();
    }
  }

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
    double ageS = MINIMUM_SHARE_AGE_S;
    ageS = job.startObjectiveS == null ? ageS : Math.max(ageS, job.startObjectiveS);
    return job.spec.kind() != JobKind.SERVICE && nowMs - job.submittedMs >= ageS * 1000;
  }

  /**
   * Whether its tasks have to start now whatever else is urgent. Of a class that is served well the
   * largest jobs are put off for as long as others can be in time; but they too have to begin, with
   * all their tasks, within four minutes, and a boot, a fetch and their turn are still to come.
   */
  static boolean isOverdue(Job job, long nowMs) {
    return job.spec.kind() != JobKind.SERVICE
        && nowMs - job.submittedMs >= MINIMUM_SHARE_OVERDUE_AGE_S * 1000;
  }

  /** Whether the task belongs to what its class is to have whoever else wants the room. */
  static boolean isProtected(Job job, long nowMs) {
    ShareGroup group = job.shareGroup;
    return group != null
        && group.held <= group.minimum * MINIMUM_SHARE_PROTECTION_FACTOR
        && isPastServiceAge(job, nowMs);
  }

  /** Looks at who got what; {@code startable}: the jobs with tasks that may be placed now. */
  void refresh(List<Job> startable, long nowMs) {
    starved.clear();
    for (ShareGroup group : groups.values()) {
      group.agedJobs.clear();
      group.overdueJobs.clear();
      group.heldByOverdueJobs = 0;
      group.held = 0;
      group.hasLiveJobs = false;
      group.allowance = 0;
    }
    for (Job job : startable) {
      if (!job.isSuspect() && isPastServiceAge(job, nowMs)) {
        job.shareGroup.agedJobs.add(job);
      }
      if (!job.isSuspect() && isOverdue(job, nowMs)) {
        job.shareGroup.overdueJobs.add(job);
        job.shareGroup.heldByOverdueJobs += job.attempts.size() * job.shareGroup.amountPerTask(job);
      }
    }
    int groupsToServe = 0;
    for (ShareGroup group : groups.values()) {
      if (!group.hasTooFewFinishedJobs() && !group.overdueJobs.isEmpty()) {
        group.agedJobs.clear();
        group.agedJobs.addAll(group.overdueJobs);
      }
      groupsToServe += group.hasTooFewFinishedJobs() || !group.overdueJobs.isEmpty() ? 1 : 0;
    }
    for (Job job : cluster.jobs.values()) {
      job.shareGroup.hasLiveJobs = true;
      job.shareGroup.held += job.attempts.size() * job.shareGroup.amountPerTask(job);
    }
    double groupShare =
        Math.min(MINIMUM_SHARE_PER_CLASS, MINIMUM_SHARE_ALL_CLASSES / Math.max(1, groupsToServe));
    for (ShareGroup group : groups.values()) {
      // A class that several teams share has one floor: with one each, classes that were served
      // well in sum had late jobs served before those that could still be in time.
      group.minimum =
          groupShare
              * (group.accelerated
                  ? cluster.utilization.accelerators()
                  : cluster.utilization.processors())
              / group.presentGroupCount();
      group.allowance = group.shortfall();
      if (group.allowance > 0) {
        group.agedJobs.sort(Comparator.comparingLong(j -> j.submittedMs));
        starved.add(group);
      }
      logStarvation(group, nowMs);
    }
    starved.sort(Comparator.comparingDouble((ShareGroup group) -> group.held / group.minimum));
  }

  private static void logStarvation(ShareGroup group, long nowMs) {
    boolean starved = group.allowance > 0;
    if (starved && !group.starvationLogged) {
      LOG.info(
          "{} waits since {} s and holds {} of the {} {} it is to have: its oldest jobs go first",
          group.name,
          (nowMs - group.agedJobs.get(0).submittedMs) / 1000,
          Math.round(group.held),
          Math.round(group.minimum),
          group.accelerated ? "accelerators" : "processors");
    }
    group.starvationLogged = starved || (group.starvationLogged && !group.agedJobs.isEmpty());
  }

  /** A job of the group is done. */
  static void onJobFinished(Job job) {
    job.shareGroup.finishedJobs++;
  }

  /** Groups below their floor, those that got least first. */
  List<ShareGroup> starved() {
    return starved;
  }
}
