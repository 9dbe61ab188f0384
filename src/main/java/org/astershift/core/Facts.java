package org.astershift.core;

import java.util.List;
import java.util.Map;

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
}
