package org.astershift.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What each class of jobs and each team got in this term, for the log: where machines are short one
 * of them may get nothing while the sums look well.
 */
final class ServiceStatistics {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceStatistics.class);

  /** One of so many of a class's jobs counts among its largest. */
  private static final int LARGEST = 10;

  private final Map<String, Group> classes = new TreeMap<>();
  private final Map<String, Group> teams = new TreeMap<>();
  private long lastStartMs = Long.MIN_VALUE / 2;

  /** What became of one job, for what the largest of its class got. */
  static final class JobOutcome {
    private final double size;
    private boolean started;
    private boolean finished;

    private JobOutcome(double size) {
      this.size = size;
    }
  }

  /** One class or team; jobs an earlier leader had accepted count as accepted when taken over. */
  private static final class Group {
    int accepted;
    int started;
    int finished;

    /** Of the latest jobs, without those that were cancelled. */
    private final ArrayDeque<JobOutcome> fates = new ArrayDeque<>();

    long lastStartMs = Long.MIN_VALUE / 2;

    /** For the present look: replicas of services that run, and that should. */
    int up;

    int replicas;

    /** For the present look: since when the oldest job with waiting tasks waits; -1: none does. */
    long waitingMs = -1;

    /** It was warned of, until it gets something again. */
    boolean warned;

    String line(String name, long nowMs) {
      return name
          + " "
          + accepted
          + " accepted "
          + started
          + " started "
          + finished
          + " finished"
          + (replicas > 0 ? ", " + up + " of " + replicas + " replicas up" : "")
          + (waitingMs < 0 ? "" : ", waits " + (nowMs - waitingMs) / 1000 + " s")
          + largest();
    }

    /** What the largest tenth of its jobs got. */
    private String largest() {
      List<JobOutcome> sorted = new ArrayList<>(fates);
      sorted.sort(Comparator.comparingDouble((JobOutcome f) -> -f.size));
      List<JobOutcome> most = sorted.subList(0, (sorted.size() + LARGEST - 1) / LARGEST);
      int begun = 0;
      int over = 0;
      for (JobOutcome f : most) {
        begun += f.started ? 1 : 0;
        over += f.finished ? 1 : 0;
      }
      return most.size() < 2
          ? ""
          : ", of its " + most.size() + " largest " + begun + " started " + over + " finished";
    }
  }

  private List<Group> groups(Job job) {
    return List.of(
        classes.computeIfAbsent(job.spec.jobClass(), n -> new Group()),
        teams.computeIfAbsent(job.spec.team(), n -> new Group()));
  }

  void accepted(Job job) {
    for (Group g : groups(job)) {
      g.accepted++;
    }
    Group own = classes.get(job.spec.jobClass());
    job.fate = new JobOutcome(job.spec.tasks() * Math.max(job.spec.cpus(), job.spec.gpus()));
    own.fates.addLast(job.fate);
    if (own.fates.size() > Constants.FATES_KEPT) {
      own.fates.removeFirst();
    }
  }

  /** A task of the job runs. */
  void started(Job job, long nowMs) {
    if (job.state != Job.State.LIVE) {
      return;
    }
    lastStartMs = Math.max(lastStartMs, nowMs);
    for (Group g : groups(job)) {
      g.started += job.begun ? 0 : 1;
      g.lastStartMs = nowMs;
    }
    job.begun = true;
    job.fate.started = true;
  }

  void ended(Job job, boolean cancelled) {
    for (Group g : groups(job)) {
      g.finished += cancelled ? 0 : 1;
    }
    job.fate.finished = !cancelled;
    if (cancelled) {
      classes.get(job.spec.jobClass()).fates.remove(job.fate);
    }
  }

  /**
   * Warns once of each large job that should have begun and has not, with what keeps it: what its
   * team's own earlier work or a mistake in it keeps is no want of machines.
   */
  void unbegun(Iterable<Job> waiting, Predicate<Job> withinLimit, long nowMs) {
    for (Job job : waiting) {
      boolean late = nowMs - job.submittedMs >= Constants.UNBEGUN_WARN_MS;
      boolean begun = job.begun || job.doneCount() > 0;
      if (!late || begun || job.warned || job.spec.kind() == JobKind.SERVICE) {
        continue;
      }
      job.warned = true;
      String why =
          job.suspect()
              ? "it fails on every machine"
              : job.usableTypes.isEmpty()
                  ? "no machine type takes its tasks"
                  : withinLimit.test(job) ? "others go first" : "its team is at its limit";
      LOG.warn(
          "job {} ({}, {} tasks) has not begun after {} s: {}",
          job.spec.id(),
          job.spec.jobClass(),
          job.spec.tasks(),
          (nowMs - job.submittedMs) / 1000,
          why);
    }
  }

  /** One line for the log; warns of a class or team that gets nothing though others do. */
  String summary(Iterable<Job> jobs, long nowMs) {
    for (Map<String, Group> some : List.of(classes, teams)) {
      for (Group g : some.values()) {
        g.up = 0;
        g.replicas = 0;
        g.waitingMs = -1;
      }
    }
    for (Job job : jobs) {
      for (Group g : groups(job)) {
        if (job.spec.kind() == JobKind.SERVICE) {
          g.up += job.running();
          g.replicas += job.spec.tasks();
        }
        boolean waits = job.waitingCount() > 0 && !job.cancelWanted && !job.suspect();
        if (waits && (g.waitingMs < 0 || job.submittedMs < g.waitingMs)) {
          g.waitingMs = job.submittedMs;
        }
      }
    }
    List<String> out = new ArrayList<>();
    for (Map.Entry<String, Group> e : classes.entrySet()) {
      out.add(e.getValue().line(e.getKey(), nowMs));
      warn("class", e.getKey(), e.getValue(), nowMs);
    }
    // A team of one class says the same again.
    if (teams.size() > 1) {
      for (Map.Entry<String, Group> e : teams.entrySet()) {
        out.add(e.getValue().line("team " + e.getKey(), nowMs));
        warn("team", e.getKey(), e.getValue(), nowMs);
      }
    }
    out.sort(Comparator.comparing(l -> l.startsWith("team ")));
    return "served in this term: " + String.join("; ", out);
  }

  private void warn(String what, String name, Group g, long nowMs) {
    long since = Math.max(g.lastStartMs, g.waitingMs);
    boolean starved =
        g.waitingMs >= 0
            && nowMs - since > Constants.STARVED_MS
            && nowMs - lastStartMs < Constants.STARVED_MS / 2;
    if (starved && !g.warned) {
      LOG.warn(
          "{} {} got nothing for {} s, though others did, and waits since {} s",
          what,
          name,
          (nowMs - since) / 1000,
          (nowMs - g.waitingMs) / 1000);
    }
    g.warned = starved;
  }
}
