package org.astershift.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** What the settings say of the deployment, as far as scheduling needs it. */
public record DeploymentLimits(
    Map<String, Team> teams,
    List<ServiceLevelObjective> objectives,
    double heartbeatIntervalS,
    double leaseS,
    double gangWaitS,
    double gangPeerS,
    double cancellationS,
    double listLagS) {

  /** What is aimed at for this class. */
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

  /**
   * By how many times its deadline a job should be done, as far as the operators care; ascending.
   */
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
