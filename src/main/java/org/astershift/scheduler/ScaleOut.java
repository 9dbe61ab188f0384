package org.astershift.scheduler;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.ThreadBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests machines from the cloud for the waiting tasks that neither free nor booting machines
 * cover. Used by the scheduler's thread only.
 */
final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);

  /** Machines in one request; the cloud's limit. */
  static final int PROVISION_BATCH_MACHINES = 50;

  private final ClusterState cluster;
  private final PoolAvailability availability;

  /** Calls to the cloud that are under way, by request. */
  private final Map<String, Decision.ProvisionMachines> pendingRequests = new LinkedHashMap<>();

  private boolean planDue;

  ScaleOut(ClusterState cluster) {
    this.cluster = cluster;
    this.availability = new PoolAvailability(cluster);
  }

  /** The call to the cloud is under way. */
  void onRequested(String requestId, Decision.ProvisionMachines request) {
    pendingRequests.put(requestId, request);
  }

  /** The call to the cloud has ended, in whatever way. */
  void onSettled(String requestId) {
    planDue |= pendingRequests.remove(requestId) != null;
  }

  /** The cloud gave fewer machines than requested. */
  void onNoCapacity(Decision.ProvisionMachines request, long nowMs) {
    availability.onNoCapacity(CapacityPool.of(request), nowMs);
  }

  /** Whether a call to the cloud has ended since the last plan, so that the next may go out. */
  boolean planDue() {
    return planDue;
  }

  /**
   * Adds the requests that are due. Calls to the cloud are few: while some are under way, demand
   * gathers, and then each call asks for as many machines as it may.
   */
  void plan(List<Decision> decisions, long nowMs) {
    planDue = false;
    int calls = ThreadBudget.PROVISION_THREADS - pendingRequests.size();
    if (calls <= 0) {
      return;
    }
    ScaleOutPlan plan = new ScaleOutPlan(cluster, availability, nowMs);
    for (Decision.ProvisionMachines request : plan.requestsForDemand(pendingRequests.values())) {
      if (calls-- == 0) {
        return;
      }
      int count = Math.min(request.count(), PROVISION_BATCH_MACHINES);
      decisions.add(CapacityPool.of(request).request(count));
      LOG.info(
          "scale-out requested: count={} type={} zone={} spot={}",
          count,
          request.typeName(),
          request.zone(),
          request.spot());
    }
  }
}
