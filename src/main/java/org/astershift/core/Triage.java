package org.astershift.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.astershift.config.Constants;

/**
 * Which arrays can still meet their deadlines together. Where machines are short, serving all in
 * the order of their deadlines makes all of them late; so of those that do not fit, the largest are
 * put off, which leaves most jobs in time (Moore's rule). What is put off is served after the
 * others.
 */
final class Triage {
  private final Cluster c;

  Triage(Cluster cluster) {
    this.c = cluster;
  }

  /** Sets the urgency of these waiting arrays of one priority, all with a deadline. */
  void sort(Priority priority, List<Job> jobs, long nowMs) {
    double processors = c.plainProcessors();
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
    rest.sort(Comparator.comparingDouble(Triage::startMs));
    double behind = 0;
    for (double times : c.facts.deadlineTimes()) {
      List<Job> late = new ArrayList<>();
      load = choose(rest, times, load, perMs, late, nowMs);
      for (Job job : rest) {
        job.urgencyMs = startMs(job) + behind;
      }
      rest = late;
      rest.sort(Comparator.comparingDouble(Triage::startMs));
      behind += Constants.OVERDUE_BEHIND_MS;
    }
    for (Job job : rest) {
      job.urgencyMs = startMs(job) + behind;
    }
  }

  /**
   * Moves jobs from {@code rest} to {@code late} until the others can be in time; gives their load.
   */
  private static double choose(
      List<Job> rest, double times, double before, double perMs, List<Job> late, long nowMs) {
    PriorityQueue<Job> chosen = new PriorityQueue<>(Comparator.comparingDouble(j -> -work(j)));
    double load = before;
    for (Job job : rest) {
      load += work(job);
      chosen.add(job);
      double runMs = job.spec.estimateS() * 1000;
      double endMs = nowMs + Math.max(runMs, load / perMs) - runMs * Constants.HOPEFUL_SHARE;
      if (endMs > job.submittedMs + times * job.dueS * 1000) {
        Job largest = chosen.remove();
        load -= work(largest);
        late.add(largest);
      }
    }
    rest.removeAll(late);
    return load;
  }

  /** Processor seconds that its waiting tasks need. */
  private static double work(Job job) {
    return job.waitingCount() * job.spec.cpus() * Math.max(job.spec.estimateS(), 1);
  }

  /** When its tasks should start, on the steady clock. */
  static double startMs(Job job) {
    double deadline = job.dueS != null ? job.dueS : Constants.NO_DEADLINE_S;
    return job.submittedMs + (deadline - job.spec.estimateS()) * 1000;
  }
}
