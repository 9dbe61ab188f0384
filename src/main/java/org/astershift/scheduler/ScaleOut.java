package org.astershift.scheduler;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.config.ThreadBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests machines from the cloud for the waiting tasks that neither free nor booting machines
 * cover. Not thread-safe: runs under the lock of the {@link Scheduler}'s caller.
 */
final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);

  /** Maximum number of machines in one request, which is the cloud's limit. */
  static final int PROVISION_BATCH_MACHINES = 50;

  private final ClusterState cluster;
  private final PoolAvailability availability;

  /** Calls to the cloud that are in flight, by request ID. */
  private final Map<String, Decision.ProvisionMachines> pendingRequests = new LinkedHashMap<>();

  private boolean isPlanDue;

  ScaleOut(ClusterState cluster) {
    this.cluster = cluster;
    this.availability = new PoolAvailability(cluster);
  }

  /** Records that the call to the cloud is in flight. */
  void onRequested(String requestId, Decision.ProvisionMachines request) {
    pendingRequests.put(requestId, request);
  }

  /** Records that the call to the cloud has ended, whatever its result. */
  void onSettled(String requestId) {
    isPlanDue |= pendingRequests.remove(requestId) != null;
  }

  /** Records that the cloud provided fewer machines than requested. */
  void onNoCapacity(Decision.ProvisionMachines request, long nowMs) {
    availability.onNoCapacity(CapacityPool.of(request), nowMs);
  }

  /**
   * Returns whether a call to the cloud has ended since the last plan, so that another call may go
   * out.
   */
  boolean isPlanDue() {
    return isPlanDue;
  }

  /**
   * Adds the requests that are due. Only a few calls to the cloud may be in flight at a time; while
   * they are, demand accumulates, and the next calls ask for as many machines as they may.
   */
  void plan(List<Decision> decisions, long nowMs) {
    isPlanDue = false;
    int availableCalls = ThreadBudget.PROVISION_THREADS - pendingRequests.size();
    if (availableCalls <= 0) {
      return;
    }
    ScaleOutPlan plan = new ScaleOutPlan(cluster, availability, nowMs);
    for (Decision.ProvisionMachines request : plan.planRequests(pendingRequests.values())) {
      if (availableCalls-- == 0) {
        return;
      }
      int count = Math.min(request.count(), PROVISION_BATCH_MACHINES);
      decisions.add(CapacityPool.of(request).createRequest(count));
      LOG.info(
          "scale-out requested: count={} type={} zone={} spot={}",
          count,
          request.typeName(),
          request.zone(),
          request.spot());
    }
  }
}
