package org.astershift.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Recomputes the sums and indexes that a leader's term updates with each event, and reports where
 * the updated values differ from the recomputed ones.
 */
final class DerivedStateCheck {
  private static final double TOLERANCE = 1e-6;

  private DerivedStateCheck() {}

  static List<String> differences(ClusterState cluster) {
    List<String> differences = new ArrayList<>();
    Map<String, double[]> usageByTeam = new HashMap<>();
    Map<Job, Set<TaskAttempt>> attemptsByJob = new HashMap<>();
    int unreconciledMachines = 0;
    double unobservedCpus = 0;
    double unobservedGpus = 0;
    boolean unobservedUsageUnbounded = false;
    for (Machine machine : cluster.allMachines()) {
      double cpus = 0;
      double gpus = 0;
      double memory = 0;
      double replicaCpus = 0;
      double nonGpuCpus = 0;
      int heldAttempts = 0;
      boolean holdsOrphan = false;
      for (TaskAttempt attempt : machine.attempts.values()) {
        check(
            differences,
            attempt.machine == machine,
            attempt.name() + " refers to another machine than the one that holds it");
        check(
            differences,
            machine.attempts.get(attempt.key) == attempt,
            attempt.name() + " is stored under the key of another attempt");
        if (attempt.isExited()) {
          check(
              differences,
              !attempt.job.duplicateAttempts.contains(attempt),
              attempt.name() + " has exited and is still listed as a duplicate");
          check(
              differences,
              attempt.job.attempts.get(attempt.index) != attempt,
              attempt.name() + " has exited and is still its task's current attempt");
          continue;
        }
        JobSpec spec = attempt.job.spec;
        heldAttempts++;
        cpus += spec.cpus();
        gpus += spec.gpus();
        memory += spec.memoryGb();
        replicaCpus += spec.kind() == JobKind.SERVICE ? spec.cpus() : 0;
        nonGpuCpus += spec.gpus() == 0 ? spec.cpus() : 0;
        holdsOrphan |= attempt.job.orphaned;
        double[] usage = usageByTeam.computeIfAbsent(spec.team(), t -> new double[2]);
        usage[0] += spec.cpus();
        usage[1] += spec.gpus();
        attemptsByJob.computeIfAbsent(attempt.job, j -> new HashSet<>()).add(attempt);
        boolean belongsToJob =
            attempt.job.attempts.get(attempt.index) == attempt
                || attempt.job.duplicateAttempts.contains(attempt)
                || (attempt.isUnwanted() && attempt.job.attempts.get(attempt.index) == null);
        check(
            differences,
            belongsToJob,
            attempt.name() + " on " + machine.name + " belongs to no job");
        check(
            differences,
            attempt.job.state != Job.State.LIVE || cluster.jobs.get(spec.id()) == attempt.job,
            attempt.name() + " belongs to a live job that the cluster state does not list");
        boolean isNotWaiting =
            attempt.job.state != Job.State.LIVE
                || attempt.job.doneTasks.get(attempt.index)
                || !attempt.job.waitingTasks.get(attempt.index);
        check(
            differences,
            isNotWaiting,
            attempt.name()
                + " on "
                + machine.name
                + " is held while its task is marked as waiting");
      }
      check(
          differences,
          heldAttempts == machine.heldAttemptCount(),
          machine.name
              + " holds "
              + heldAttempts
              + " attempts, counted "
              + machine.heldAttemptCount());
      checkEqual(differences, machine.name + " used cpus", cpus, machine.usedCpus());
      checkEqual(differences, machine.name + " used gpus", gpus, machine.usedGpus());
      checkEqual(differences, machine.name + " used memory", memory, machine.usedMemoryGb());
      checkEqual(differences, machine.name + " replica cpus", replicaCpus, machine.replicaCpus());
      checkEqual(
          differences,
          machine.name + " cpus of tasks without gpus",
          nonGpuCpus,
          machine.nonGpuCpus());
      boolean mayHoldUnobservedUsage = (machine.inherited && !machine.fenced) || holdsOrphan;
      check(
          differences,
          mayHoldUnobservedUsage == machine.mayHoldUnobservedUsage(),
          machine.name + " may hold unobserved usage: expected " + mayHoldUnobservedUsage);
      if (mayHoldUnobservedUsage) {
        unobservedUsageUnbounded |= machine.type == null;
        unobservedCpus += machine.type == null ? 0 : machine.type.cpus();
        unobservedGpus += machine.type == null ? 0 : machine.type.gpus();
      }
      unreconciledMachines += machine.inherited && !machine.fenced ? 1 : 0;
      boolean isUnregistered = machine.state == Machine.State.LIVE && !machine.registered;
      check(
          differences,
          isUnregistered == cluster.unregisteredMachines.contains(machine),
          machine.name + " is unregistered: expected " + isUnregistered);
    }
    check(
        differences,
        cluster.hasUnreconciledMachines() == unreconciledMachines > 0,
        "hasUnreconciledMachines() is wrong with "
            + unreconciledMachines
            + " unreconciled machines");
    for (Team team : cluster.limits.teams().values()) {
      double[] usage = usageByTeam.getOrDefault(team.name(), new double[2]);
      double[] keptUsage = cluster.teamUsage(team.name());
      checkEqual(differences, team.name() + " used cpus", usage[0], keptUsage[0]);
      checkEqual(differences, team.name() + " used gpus", usage[1], keptUsage[1]);
      double[] remaining = cluster.remainingTeamQuota(team.name());
      if (team.maxCpus() > 0 && !unobservedUsageUnbounded) {
        checkEqual(
            differences,
            team.name() + " remaining cpus",
            team.maxCpus() - usage[0] - unobservedCpus,
            remaining[0]);
      }
      if (team.maxGpus() > 0 && !unobservedUsageUnbounded) {
        checkEqual(
            differences,
            team.name() + " remaining gpus",
            team.maxGpus() - usage[1] - unobservedGpus,
            remaining[1]);
      }
      check(
          differences,
          !unobservedUsageUnbounded || !team.hasQuota() || remaining[0] < 0 || remaining[1] < 0,
          team.name() + " has quota left although unobserved usage is unbounded");
    }
    for (Job job : cluster.jobs.values()) {
      checkJob(cluster, differences, job, attemptsByJob.getOrDefault(job, Set.of()));
    }
    for (Job job : cluster.waitingJobs) {
      check(
          differences,
          cluster.jobs.get(job.spec.id()) == job,
          job.spec.id() + " has ended and is still listed as waiting");
    }
    for (Job job : cluster.jobsToOpen) {
      check(
          differences,
          cluster.jobs.get(job.spec.id()) == job,
          job.spec.id() + " has ended and is still listed as to be opened");
    }
    return differences;
  }

  private static void checkJob(
      ClusterState cluster, List<String> differences, Job job, Set<TaskAttempt> jobAttempts) {
    String jobId = job.spec.id();
    int waitingTasks = 0;
    int runningTasks = 0;
    Map<String, Integer> attemptsByZone = new HashMap<>();
    for (int index = 0; index < job.spec.tasks(); index++) {
      TaskAttempt attempt = job.attempts.get(index);
      boolean isWaiting = attempt == null && !job.doneTasks.get(index);
      waitingTasks += isWaiting ? 1 : 0;
      check(
          differences,
          isWaiting == job.waitingTasks.get(index),
          jobId + "/" + index + " is waiting: expected " + isWaiting);
      if (attempt != null) {
        check(
            differences, jobAttempts.contains(attempt), attempt.name() + " is held by no machine");
        runningTasks += attempt.isRunning() ? 1 : 0;
        attemptsByZone.merge(attempt.machine.zone, 1, Integer::sum);
      }
    }
    for (TaskAttempt duplicate : job.duplicateAttempts) {
      check(
          differences,
          jobAttempts.contains(duplicate),
          duplicate.name() + ", a duplicate, is held by no machine");
      check(
          differences,
          job.attempts.get(duplicate.index) != duplicate,
          duplicate.name() + " is a duplicate and its task's current attempt");
      check(
          differences,
          job.attempts.containsKey(duplicate.index),
          duplicate.name() + " is a duplicate of a task without a current attempt");
    }
    check(
        differences,
        waitingTasks == job.waitingCount(),
        jobId + " has " + waitingTasks + " waiting tasks, counted " + job.waitingCount());
    check(
        differences,
        job.doneTasks.cardinality() == job.doneCount(),
        jobId + " has another count of done tasks than its set of them");
    check(
        differences,
        runningTasks == job.runningCount(),
        jobId + " has " + runningTasks + " running tasks, counted " + job.runningCount());
    for (String zone : List.of("a", "b")) {
      check(
          differences,
          attemptsByZone.getOrDefault(zone, 0) == job.attemptsInZone(zone),
          jobId + " has another count of attempts in zone " + zone);
    }
    check(
        differences,
        waitingTasks > 0 == cluster.waitingJobs.contains(job),
        jobId + " has " + waitingTasks + " waiting tasks, unlike the index of waiting jobs");
    check(
        differences,
        cluster.unfinishedJobs(job.spec.team()).contains(job),
        jobId + " is missing among the unfinished jobs of its team");
    boolean needsOpening = !job.opened && !job.attempts.isEmpty();
    check(
        differences,
        !needsOpening || cluster.jobsToOpen.contains(job),
        jobId + " has attempts and is neither opened nor listed as to be opened");
    check(
        differences,
        !job.isComplete() || cluster.completionCandidates.contains(job),
        jobId + " is complete and missing among the candidates for completion");
  }

  private static void checkEqual(
      List<String> differences, String value, double expected, double kept) {
    check(
        differences,
        Math.abs(expected - kept) < TOLERANCE,
        value + ": expected " + expected + ", kept " + kept);
  }

  private static void check(List<String> differences, boolean holds, String difference) {
    if (!holds) {
      differences.add(difference);
    }
  }
}
