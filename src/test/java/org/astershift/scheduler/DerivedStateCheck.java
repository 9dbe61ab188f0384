package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Sums up anew what a term keeps up event by event, and says where the two differ. */
final class DerivedStateCheck {
  private static final double TOLERANCE = 1e-6;

  private DerivedStateCheck() {}

  static List<String> differences(ClusterState c) {
    List<String> out = new ArrayList<>();
    Map<String, double[]> teams = new HashMap<>();
    Map<Job, Set<TaskAttempt>> byJob = new HashMap<>();
    int unreconciled = 0;
    double dark = 0;
    double darkGpus = 0;
    boolean unbounded = false;
    for (Machine m : c.allMachines()) {
      double cpus = 0;
      double gpus = 0;
      double memory = 0;
      double replicas = 0;
      double plain = 0;
      int held = 0;
      boolean orphaned = false;
      for (TaskAttempt run : m.attempts.values()) {
        check(out, run.machine == m, run.name() + " is in the books of another machine");
        check(out, m.attempts.get(run.key) == run, run.name() + " under another key");
        if (run.isExited()) {
          check(out, !run.job.duplicateAttempts.contains(run), run.name() + " exited and extra");
          check(out, run.job.attempts.get(run.index) != run, run.name() + " exited and held");
          continue;
        }
        JobSpec s = run.job.spec;
        held++;
        cpus += s.cpus();
        gpus += s.gpus();
        memory += s.memoryGb();
        replicas += s.kind() == JobKind.SERVICE ? s.cpus() : 0;
        plain += s.gpus() == 0 ? s.cpus() : 0;
        orphaned |= run.job.orphaned;
        double[] u = teams.computeIfAbsent(s.team(), t -> new double[2]);
        u[0] += s.cpus();
        u[1] += s.gpus();
        byJob.computeIfAbsent(run.job, j -> new HashSet<>()).add(run);
        boolean known =
            run.job.attempts.get(run.index) == run
                || run.job.duplicateAttempts.contains(run)
                || (run.isUnwanted() && run.job.attempts.get(run.index) == null);
        check(out, known, run.name() + " on " + m.name + " is nobody's");
        check(
            out,
            run.job.state != Job.State.LIVE || c.jobs.get(s.id()) == run.job,
            run.name() + " is of a job that is live and not known");
        boolean counts =
            run.job.state != Job.State.LIVE
                || run.job.doneTasks.get(run.index)
                || !run.job.waitingTasks.get(run.index);
        check(out, counts, run.name() + " on " + m.name + " is held and waits");
      }
      check(
          out,
          held == m.heldAttemptCount(),
          m.name + " holds " + held + ", not " + m.heldAttemptCount());
      checkEqual(out, m.name + " cpus", cpus, m.usedCpus());
      checkEqual(out, m.name + " gpus", gpus, m.usedGpus());
      checkEqual(out, m.name + " memory", memory, m.usedMemoryGb());
      checkEqual(out, m.name + " replicas", replicas, m.replicaCpus());
      checkEqual(out, m.name + " plain", plain, m.nonGpuCpus());
      boolean hidden = (m.inherited && !m.fenced) || orphaned;
      check(out, hidden == m.mayHoldUnobservedUsage(), m.name + " in the dark: " + hidden);
      if (hidden) {
        unbounded |= m.type == null;
        dark += m.type == null ? 0 : m.type.cpus();
        darkGpus += m.type == null ? 0 : m.type.gpus();
      }
      unreconciled += m.inherited && !m.fenced ? 1 : 0;
      boolean unrecorded = m.state == Machine.State.LIVE && !m.registered;
      check(out, unrecorded == c.unregistered.contains(m), m.name + " unrecorded: " + unrecorded);
    }
    check(
        out,
        c.hasUnreconciledMachines() == unreconciled > 0,
        unreconciled + " machines are unheard");
    for (Team team : c.limits.teams().values()) {
      double[] u = teams.getOrDefault(team.name(), new double[2]);
      double[] use = c.teamUsage(team.name());
      checkEqual(out, team.name() + " cpus", u[0], use[0]);
      checkEqual(out, team.name() + " gpus", u[1], use[1]);
      double[] left = c.remainingTeamQuota(team.name());
      if (team.maxCpus() > 0 && !unbounded) {
        checkEqual(out, team.name() + " cpus left", team.maxCpus() - u[0] - dark, left[0]);
      }
      if (team.maxGpus() > 0 && !unbounded) {
        checkEqual(out, team.name() + " gpus left", team.maxGpus() - u[1] - darkGpus, left[1]);
      }
      check(out, !unbounded || !team.isLimited() || left[0] < 0 || left[1] < 0, "unbounded");
    }
    for (Job job : c.jobs.values()) {
      checkJob(c, out, job, byJob.getOrDefault(job, Set.of()));
    }
    for (Job job : c.waitingJobs) {
      check(out, c.jobs.get(job.spec.id()) == job, job.spec.id() + " is over and waits");
    }
    for (Job job : c.jobsToOpen) {
      check(out, c.jobs.get(job.spec.id()) == job, job.spec.id() + " is over and to be opened");
    }
    return out;
  }

  private static void checkJob(ClusterState c, List<String> out, Job job, Set<TaskAttempt> runs) {
    String id = job.spec.id();
    int waiting = 0;
    int running = 0;
    Map<String, Integer> zones = new HashMap<>();
    for (int i = 0; i < job.spec.tasks(); i++) {
      TaskAttempt run = job.attempts.get(i);
      boolean waits = run == null && !job.doneTasks.get(i);
      waiting += waits ? 1 : 0;
      check(out, waits == job.waitingTasks.get(i), id + "/" + i + " waits: " + waits);
      if (run != null) {
        check(out, runs.contains(run), run.name() + " is on no machine");
        running += run.isRunning() ? 1 : 0;
        zones.merge(run.machine.zone, 1, Integer::sum);
      }
    }
    for (TaskAttempt extra : job.duplicateAttempts) {
      check(out, runs.contains(extra), extra.name() + ", extra, is on no machine");
      check(out, job.attempts.get(extra.index) != extra, extra.name() + " is extra and held");
      check(out, job.attempts.containsKey(extra.index), extra.name() + " is extra beside nothing");
    }
    check(out, waiting == job.waitingCount(), id + " waiting " + waiting);
    check(out, job.doneTasks.cardinality() == job.doneCount(), id + " done");
    check(
        out,
        running == job.runningCount(),
        id + " running " + running + ", not " + job.runningCount());
    for (String zone : List.of("a", "b")) {
      check(out, zones.getOrDefault(zone, 0) == job.attemptsInZone(zone), id + " in zone " + zone);
    }
    check(out, waiting > 0 == c.waitingJobs.contains(job), id + " among the waiting: " + waiting);
    check(out, c.unfinishedJobs(job.spec.team()).contains(job), id + " not among its team's");
    boolean unopened = !job.opened && !job.attempts.isEmpty();
    check(out, !unopened || c.jobsToOpen.contains(job), id + " is not to be opened");
    check(out, !job.isComplete() || c.completionCandidates.contains(job), id + " is complete");
  }

  private static void checkEqual(List<String> out, String what, double expected, double kept) {
    check(out, Math.abs(expected - kept) < TOLERANCE, what + ": " + expected + ", not " + kept);
  }

  private static void check(List<String> out, boolean ok, String what) {
    if (!ok) {
      out.add(what);
    }
  }
}
