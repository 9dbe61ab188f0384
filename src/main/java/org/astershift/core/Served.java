package org.astershift.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.astershift.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What each class of jobs and each team got in this term, for the log: where machines are short one
 * of them may get nothing while the sums look well.
 */
final class Served {
  private static final Logger LOG = LoggerFactory.getLogger(Served.class);
  private final Map<String, Group> classes = new TreeMap<>();
  private final Map<String, Group> teams = new TreeMap<>();
  private long lastStartMs = Long.MIN_VALUE / 2;

  /** One class or team; jobs an earlier leader had accepted count as accepted when taken over. */
  private static final class Group {
    int accepted;
    int started;
    int finished;
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
          + (waitingMs < 0 ? "" : ", waits " + (nowMs - waitingMs) / 1000 + " s");
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
  }

  void ended(Job job, boolean cancelled) {
    for (Group g : groups(job)) {
      g.finished += cancelled ? 0 : 1;
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
