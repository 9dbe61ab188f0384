package org.astershift.scheduler;

import java.util.HashMap;
import java.util.Map;

/**
 * The resources that the tasks of each team use, and what remains of the team's quota. Resources
 * that unobserved tasks may use count in full against every team; see {@link UnobservedUsage}.
 */
final class QuotaUsage {
  private final Map<String, Team> teams;
  private final UnobservedUsage unobservedUsage;

  /** Processors and accelerators in use, by team. */
  private final Map<String, double[]> usageByTeam = new HashMap<>();

  QuotaUsage(Map<String, Team> teams, UnobservedUsage unobservedUsage) {
    this.teams = teams;
    this.unobservedUsage = unobservedUsage;
  }

  /** Adds one task of the job, or removes one if {@code sign} is -1. */
  void add(JobSpec spec, int sign) {
    double[] usage = usageByTeam.computeIfAbsent(spec.team(), t -> new double[2]);
    usage[0] += sign * spec.cpus();
    usage[1] += sign * spec.gpus();
  }

  /** Returns the processors and accelerators that the team's tasks use. */
  double[] of(String team) {
    return usageByTeam.getOrDefault(team, new double[2]);
  }

  /** Returns whether the quota of the job's team allows this many more of its tasks. */
  boolean allows(JobSpec spec, int tasks) {
    Team team = teams.get(spec.team());
    if (team == null) {
      return false;
    }
    double[] usage = of(team.name());
    return team.allows(
        usage[0] + (spec.cpus() > 0 ? tasks * spec.cpus() + unobservedUsage.cpus() : 0),
        usage[1] + (spec.gpus() > 0 ? tasks * spec.gpus() + unobservedUsage.gpus() : 0));
  }

  /**
   * Returns the processors and accelerators that the team may still take; negative if the team is
   * over its quota.
   */
  double[] remaining(String teamName) {
    Team team = teams.get(teamName);
    if (team == null) {
      return new double[2];
    }
    double[] usage = of(teamName);
    return new double[] {
      team.maxCpus() > 0 ? team.maxCpus() - usage[0] - unobservedUsage.cpus() : Double.MAX_VALUE,
      team.maxGpus() > 0 ? team.maxGpus() - usage[1] - unobservedUsage.gpus() : Double.MAX_VALUE
    };
  }
}
