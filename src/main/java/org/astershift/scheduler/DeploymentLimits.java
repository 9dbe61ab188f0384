package org.astershift.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** What the settings say of the deployment, as far as scheduling needs it. */
public record DeploymentLimits(
    Map<String, Team> teams,
    List<ServiceLevelObjective> objectives,
    double reportS,
    double leaseS,
    double gangWaitS,
    double gangPeerS,
    double cancelS,
    double listLagS) {

  /** What is aimed at for this class. */
  public ClassObjectives aims(String jobClass) {
    Double startS = null;
    Double finishS = null;
    boolean any = false;
    for (ServiceLevelObjective o : objectives) {
      if (o.jobClass().equals(jobClass)) {
        any = true;
        if (o.kind().equals("wait")) {
          startS = startS == null ? o.withinS() : Math.min(startS, o.withinS());
        } else if (o.kind().equals("finished")) {
          finishS = finishS == null ? o.withinS() : Math.min(finishS, o.withinS());
        }
      }
    }
    return new ClassObjectives(startS, finishS, any);
  }

  /**
   * By how many times its deadline a job should be done, as far as the operators care; ascending.
   */
  public Set<Double> deadlineTimes() {
    Set<Double> times = new TreeSet<>(Set.of(1.0));
    for (ServiceLevelObjective o : objectives) {
      if (o.kind().equals("deadline")) {
        times.add(o.times());
      }
    }
    return times;
  }
}
