package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.astershift.config.Constants;

/**
 * Which arrays can still meet their deadlines together. Where machines are short, serving all in
 * the order of their deadlines makes all of them late; so of those that do not fit, the largest are
 * put off, which leaves most jobs in time (Moore's rule). What is put off is served after the
 * others.
 */
final class DeadlineAdmission {
  private final ClusterState c;

  DeadlineAdmission(ClusterState cluster) {
    this.c = cluster;
  }

  /** Sets the urgency of these waiting arrays of one priority, all with a deadline. */
  void sort(Priority priority, List<Job> jobs, long nowMs) {
    double processors = c.utilization.plainProcessors();
    double load = 0;
    for (Job job : c.jobs.values()) {
      JobSpec spec = job.spec;
      if (spec.gpus() > 0) {
        continue;
      }
      double held = job.runs.size() * spec.cpus();
      if (spec.priority().compareTo(priority) < 0) {
        processors -= held;
      } else if (spec.priority() == priority) {
        load += held * spec.estimateS() * Constants.RUN_LEFT;
      }
    }
    double perMs = Math.max(processors, 1) / 1000;
    List<Job> rest = new ArrayList<>(jobs.size());
    // What waits so long that its longer aims are in danger is put off no more.
    for (Job job : jobs) {
      double rescueMs = job.rescueMs();
      if (nowMs >= rescueMs && nowMs < job.rescuedMs()) {
        job.urgencyMs = rescueMs;
        load += work(job);
      } else {
        rest.add(job);
      }
    }
    rest.sort(Comparator.comparingDouble(Job::startMs));
    double behind = 0;
    for (double times : c.facts.deadlineTimes()) {
      List<Job> late = new ArrayList<>();
      load = choose(rest, times, load, perMs, late, nowMs);
      for (Job job : rest) {
        job.urgencyMs = job.startMs() + behind;
      }
      rest = late;
      rest.sort(Comparator.comparingDouble(Job::startMs));
      behind += Constants.OVERDUE_BEHIND_MS;
    }
    for (Job job : rest) {
      job.urgencyMs = job.startMs() + behind;
    }
  }

  /**
   * Moves jobs from {@code rest} to {@code late} until the others can be in time, each with what is
   * due before it: on all machines, and on as many as its team's limit allows. Gives their load.
   */
  private double choose(
      List<Job> rest, double times, double before, double perMs, List<Job> late, long nowMs) {
    Chosen all = new Chosen(perMs, before);
    Map<String, Chosen> teams = new HashMap<>();
    for (Job job : rest) {
      Chosen team =
          teams.computeIfAbsent(job.spec.team(), t -> new Chosen(limitPerMs(t, perMs), held(t)));
      all.add(job);
      team.add(job);
      double runMs = job.spec.estimateS() * 1000;
      double dueMs = job.endMs(times) - nowMs + runMs * Constants.HOPEFUL_SHARE;
      boolean overLimit = Math.max(runMs, team.needsMs()) > dueMs;
      if (overLimit || Math.max(runMs, all.needsMs()) > dueMs) {
        Job largest = (overLimit ? team : all).largest();
        all.remove(largest);
        teams.get(largest.spec.team()).remove(largest);
        late.add(largest);
      }
    }
    rest.removeAll(late);
    return all.load;
  }

  /** Jobs that can be in time, and the processor seconds that they need. */
  private static final class Chosen {
    private final PriorityQueue<Job> jobs =
        new PriorityQueue<>(Comparator.comparingDouble(j -> -work(j)));
    private final double perMs;
    private double load;

    Chosen(double perMs, double load) {
      this.perMs = perMs;
      this.load = load;
    }

    void add(Job job) {
      jobs.add(job);
      load += work(job);
    }

    void remove(Job job) {
      jobs.remove(job);
      load -= work(job);
    }

    Job largest() {
      return jobs.peek();
    }

    double needsMs() {
      return load / perMs;
    }
  }

  private double limitPerMs(String name, double perMs) {
    Team team = c.facts.teams().get(name);
    return team == null || team.cpusMax() <= 0 ? perMs : Math.min(perMs, team.cpusMax() / 1000);
  }

  /** Processor seconds that what the team's tasks hold is still taken for. */
  private double held(String team) {
    double load = 0;
    for (Job job : c.unfinished(team)) {
      load += job.runs.size() * job.spec.cpus() * job.spec.estimateS() * Constants.RUN_LEFT;
    }
    return load;
  }

  /** Processor seconds that its waiting tasks need. */
  private static double work(Job job) {
    return job.waitingCount() * job.spec.cpus() * Math.max(job.spec.estimateS(), 1);
  }
}
