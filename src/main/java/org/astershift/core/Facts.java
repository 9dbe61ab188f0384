package org.astershift.core;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** What the settings say of the deployment, as far as scheduling needs it. */
public record Facts(
    Map<String, Team> teams,
    List<Objective> objectives,
    double reportS,
    double leaseS,
    double gangWaitS,
    double gangPeerS,
    double cancelS,
    double listLagS) {

  /** The tightest aim on starting a task of this class, in seconds; null if there is none. */
  public Double startAim(String jobClass) {
    Double best = null;
    for (Objective o : objectives) {
      if (o.kind().equals("wait") && o.jobClass().equals(jobClass)) {
        best = best == null ? o.withinS() : Math.min(best, o.withinS());
      }
    }
    return best;
  }

  /**
   * By how many times its deadline a job should be done, as far as the operators care; ascending.
   */
  public Set<Double> deadlineTimes() {
    Set<Double> times = new TreeSet<>(Set.of(1.0));
    for (Objective o : objectives) {
      if (o.kind().equals("deadline")) {
        times.add(o.times());
      }
    }
    return times;
  }
}
