package org.astershift.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Deployment settings that the scheduler needs; all durations are in seconds. */
public record DeploymentLimits(
    Map<String, Team> teams,
    List<ServiceLevelObjective> objectives,
    double heartbeatIntervalS,
    double leaseS,
    double gangWaitS,
    double gangPeerS,
    double cancellationS,
    double listLagS) {

  /** Returns the tightest objectives of this job class. */
  public ClassObjectives objectivesFor(String jobClass) {
    Double startS = null;
    Double finishS = null;
    boolean anyObjective = false;
    for (ServiceLevelObjective objective : objectives) {
      if (objective.jobClass().equals(jobClass)) {
        anyObjective = true;
        if (objective.kind().equals("wait")) {
          startS = startS == null ? objective.withinS() : Math.min(startS, objective.withinS());
        } else if (objective.kind().equals("finished")) {
          finishS = finishS == null ? objective.withinS() : Math.min(finishS, objective.withinS());
        }
      }
    }
    return new ClassObjectives(startS, finishS, anyObjective);
  }

  /** Returns the multiples of a deadline that have an objective, ascending; always includes 1. */
  public Set<Double> deadlineMultiples() {
    Set<Double> multiples = new TreeSet<>(Set.of(1.0));
    for (ServiceLevelObjective objective : objectives) {
      if (objective.kind().equals("deadline")) {
        multiples.add(objective.deadlineMultiple());
      }
    }
    return multiples;
  }
}
