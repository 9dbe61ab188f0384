package org.astershift.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The settings of the deployment that scheduling needs; durations in seconds. */
public record DeploymentLimits(
    Map<String, Team> teams,
    List<ServiceLevelObjective> objectives,
    double heartbeatIntervalS,
    double leaseS,
    double gangWaitS,
    double gangPeerS,
    double cancellationS,
    double listLagS) {

  /** The objectives of this class. */
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

  /** Multiples of its deadline by which a job should be done, ascending; 1 is always included. */
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
