package org.astershift.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What each class of each team is served at least, whatever its priority. Priorities are served one
 * after the other, so under a long burst of urgent work the classes below got nothing for as long
 * as it lasted: of 1,145 small jobs of a guest 3 were done, of its 20 gangs none. A class whose
 * jobs wait beyond an age while it holds less than a small share of the machines that it can use is
 * served before all but the first priority, the oldest job first, until it holds that share; and
 * what it holds up to there is not stopped for others.
 */
final class Floor {
  private static final Logger LOG = LoggerFactory.getLogger(Floor.class);
  private final Cluster c;
  private final Map<String, Group> groups = new HashMap<>();
  private final List<Group> starved = new ArrayList<>();

  /** One class of one team, apart by whether it needs accelerators. */
  static final class Group {
    private final String name;
    private final boolean accelerated;

    /** Waiting for longer than its age, the oldest first. */
    private final List<Job> old = new ArrayList<>();

    /** Processors, or accelerators, that its tasks hold. */
    private double held;

    /** The least it should hold while it has old jobs. */
    private double floor;

    /** Within a pass: what it may take of that. */
    private double left;

    private boolean said;

    private Group(String name, boolean accelerated) {
      this.name = name;
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

    private double amount(Job job) {
      return accelerated ? job.spec.gpus() : job.spec.cpus();
    }
  }

  Floor(Cluster cluster) {
    this.c = cluster;
  }

  /** The group that a new job belongs to. */
  Group group(JobSpec spec) {
    boolean accelerated = spec.gpus() > 0;
    String name = spec.jobClass() + " of " + spec.team() + (accelerated ? " (accelerated)" : "");
    return groups.computeIfAbsent(name, n -> new Group(n, accelerated));
  }

  /** Whether the job waits, or waited, for longer than its class should without being served. */
  static boolean old(Job job, long nowMs) {
    double s = Constants.FLOOR_AGE_S;
    s = job.startAimS == null ? s : Math.max(s, job.startAimS);
    return job.spec.kind() != JobKind.SERVICE && nowMs - job.submittedMs >= s * 1000;
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
      g.held = 0;
      g.left = 0;
    }
    int waiting = 0;
    for (Job job : startable) {
      if (!job.suspect() && old(job, nowMs)) {
        waiting += job.group.old.isEmpty() ? 1 : 0;
        job.group.old.add(job);
      }
    }
    for (Job job : c.jobs.values()) {
      job.group.held += job.runs.size() * job.group.amount(job);
    }
    double share = Math.min(Constants.FLOOR_SHARE, Constants.FLOOR_ALL / Math.max(1, waiting));
    for (Group g : groups.values()) {
      g.floor = share * (g.accelerated ? c.accelerators() : c.processors());
      if (!g.old.isEmpty() && g.held < g.floor) {
        g.left = g.floor - g.held;
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

  /** Groups below their floor, those that got least first. */
  List<Group> starved() {
    return starved;
  }
}
