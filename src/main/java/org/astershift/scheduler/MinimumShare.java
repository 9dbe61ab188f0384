package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.astershift.config.Constants;
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
  private final ClusterState c;
  private final Map<String, Group> groups = new HashMap<>();
  private final Map<String, Set<Group>> classes = new HashMap<>();
  private final List<Group> starved = new ArrayList<>();

  /** One class of one team, apart by whether it needs accelerators. */
  static final class Group {
    private final String name;

    /** Teams that share the class, and with it its floor. */
    private final Set<Group> sharers;

    private final boolean accelerated;

    /** It has live jobs. */
    private boolean present;

    /** Waiting for longer than its age, the oldest first. */
    private final List<Job> old = new ArrayList<>();

    /** Those of them whose tasks have to start now: the least that is served first. */
    private final List<Job> overdue = new ArrayList<>();

    /** Processors, or accelerators, that tasks of these hold. */
    private double overdueHeld;

    /** Its jobs that were done in this term. */
    private int finished;

    /** Processors, or accelerators, that its tasks hold. */
    private double held;

    /** The least it should hold while it has old jobs. */
    private double floor;

    /** Within a pass: what it may take of that. */
    private double left;

    private boolean said;

    private Group(String name, Set<Group> sharers, boolean accelerated) {
      this.name = name;
      this.sharers = sharers;
      sharers.add(this);
      this.accelerated = accelerated;
    }

    List<Job> old() {
      return old;
    }

    boolean hungry() {
      return left > 0;
    }

    /** So many tasks of the job were placed. */
    void took(Job job, int tasks) {
      left -= tasks * amount(job);
    }

    /**
     * Too few of its jobs are done for those that wait too long. A class that serves most of its
     * jobs and puts off a few that are too late for their deadlines does so for good reasons.
     */
    private boolean neglected() {
      return old.size() > finished * Constants.FLOOR_LEFT;
    }

    /** What it may take now beyond what it has. */
    private double lacks() {
      // Those that have to start do so however much the rest of their class holds.
      return Math.max(0, neglected() ? floor - held : overdue.isEmpty() ? 0 : floor - overdueHeld);
    }

    private int present() {
      int n = 0;
      for (Group g : sharers) {
        n += g.present ? 1 : 0;
      }
      return Math.max(1, n);
    }

    private double amount(Job job) {
      return accelerated ? job.spec.gpus() : job.spec.cpus();
    }
  }

  MinimumShare(ClusterState cluster) {
    this.c = cluster;
  }

  /** The group that a new job belongs to. */
  Group group(JobSpec spec) {
    boolean accelerated = spec.gpus() > 0;
    String kind = accelerated ? " (accelerated)" : "";
    return groups.computeIfAbsent(
        spec.jobClass() + " of " + spec.team() + kind,
        name ->
            new Group(
                name,
                classes.computeIfAbsent(spec.jobClass() + kind, n -> new HashSet<>()),
                accelerated));
  }

  /** Whether the job waits, or waited, for longer than its class should without being served. */
  static boolean old(Job job, long nowMs) {
    double s = Constants.FLOOR_AGE_S;
    s = job.startAimS == null ? s : Math.max(s, job.startAimS);
    return job.spec.kind() != JobKind.SERVICE && nowMs - job.submittedMs >= s * 1000;
  }

  /**
   * Whether its tasks have to start now whatever else is urgent. Of a class that is served well the
   * largest jobs are put off for as long as others can be in time; but they too have to begin, with
   * all their tasks, within four minutes, and a boot, a fetch and their turn are still to come.
   */
  static boolean overdue(Job job, long nowMs) {
    return job.spec.kind() != JobKind.SERVICE
        && nowMs - job.submittedMs >= Constants.FLOOR_BEGIN_S * 1000;
  }

  /** Whether the task belongs to what its class is to have whoever else wants the room. */
  static boolean keeps(Job job, long nowMs) {
    Group g = job.group;
    return g != null && g.held <= g.floor * Constants.FLOOR_KEPT && old(job, nowMs);
  }

  /** Looks at who got what; {@code startable}: the jobs with tasks that may be placed now. */
  void refresh(List<Job> startable, long nowMs) {
    starved.clear();
    for (Group g : groups.values()) {
      g.old.clear();
      g.overdue.clear();
      g.overdueHeld = 0;
      g.held = 0;
      g.present = false;
      g.left = 0;
    }
    for (Job job : startable) {
      if (!job.suspect() && old(job, nowMs)) {
        job.group.old.add(job);
      }
      if (!job.suspect() && overdue(job, nowMs)) {
        job.group.overdue.add(job);
        job.group.overdueHeld += job.runs.size() * job.group.amount(job);
      }
    }
    int neglected = 0;
    for (Group g : groups.values()) {
      if (!g.neglected() && !g.overdue.isEmpty()) {
        g.old.clear();
        g.old.addAll(g.overdue);
      }
      neglected += g.neglected() || !g.overdue.isEmpty() ? 1 : 0;
    }
    for (Job job : c.jobs.values()) {
      job.group.present = true;
      job.group.held += job.runs.size() * job.group.amount(job);
    }
    double share = Math.min(Constants.FLOOR_SHARE, Constants.FLOOR_ALL / Math.max(1, neglected));
    for (Group g : groups.values()) {
      // A class that several teams share has one floor: with one each, classes that were served
      // well in sum had late jobs served before those that could still be in time.
      g.floor =
          share
              * (g.accelerated ? c.utilization.accelerators() : c.utilization.processors())
              / g.present();
      g.left = g.lacks();
      if (g.left > 0) {
        g.old.sort(Comparator.comparingLong(j -> j.submittedMs));
        starved.add(g);
      }
      tell(g, nowMs);
    }
    starved.sort(Comparator.comparingDouble((Group g) -> g.held / g.floor));
  }

  private static void tell(Group g, long nowMs) {
    boolean hungry = g.left > 0;
    if (hungry && !g.said) {
      LOG.info(
          "{} waits since {} s and holds {} of the {} {} it is to have: its oldest jobs go first",
          g.name,
          (nowMs - g.old.get(0).submittedMs) / 1000,
          Math.round(g.held),
          Math.round(g.floor),
          g.accelerated ? "accelerators" : "processors");
    }
    g.said = hungry || (g.said && !g.old.isEmpty());
  }

  /** A job of the group is done. */
  static void finished(Job job) {
    job.group.finished++;
  }

  /** Groups below their floor, those that got least first. */
  List<Group> starved() {
    return starved;
  }
}
