package org.astershift.scheduler;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Holds the unfinished jobs of each team in the order of their submission. */
final class UnfinishedJobs {
  private static final double TOLERANCE = 1e-6;
  private static final Comparator<Job> BY_SUBMISSION =
      Comparator.comparingLong((Job job) -> job.submittedMs).thenComparing(job -> job.spec.id());

  private final Map<String, Team> teams;
  private final Map<String, TreeSet<Job>> jobsByTeam = new HashMap<>();

  UnfinishedJobs(Map<String, Team> teams) {
    this.teams = teams;
  }

  void add(Job job) {
    jobsByTeam.computeIfAbsent(job.spec.team(), t -> new TreeSet<>(BY_SUBMISSION)).add(job);
  }

  void remove(Job job) {
    jobsByTeam.get(job.spec.team()).remove(job);
  }

  Set<Job> ofTeam(String team) {
    TreeSet<Job> unfinished = jobsByTeam.get(team);
    return unfinished == null ? Set.of() : unfinished;
  }

  /**
   * Returns whether the job fits into its team's guaranteed quota together with the team's earlier
   * unfinished jobs. Checking against the team's current usage instead would give the guarantee to
   * each job of a long queue in turn.
   */
  boolean isWithinGuaranteedQuota(Job job) {
    Team team = teams.get(job.spec.team());
    if (team == null) {
      return false;
    }
    double remainingQuota = job.spec.gpus() > 0 ? team.guaranteedGpus() : team.guaranteedCpus();
    for (Job earlier : jobsByTeam.get(team.name()).headSet(job, true)) {
      JobSpec spec = earlier.spec;
      remainingQuota -=
          (job.spec.gpus() > 0 ? spec.gpus() : spec.cpus()) * team.maxConcurrentTasks(spec);
      if (remainingQuota < -TOLERANCE) {
        return false;
      }
    }
    return true;
  }
}
