package org.astershift.scheduler;

/**
 * How much of its fleet a leader observes.
 *
 * @param machineCount number of machines that should send heartbeats
 * @param overdueCount number of these machines whose heartbeat is overdue
 * @param isIsolated whether most are overdue, and more than a few overdue machines that this leader
 *     has seen before left a direct command unanswered
 * @param isInboundPartitioned whether most are overdue, and most overdue machines, including those
 *     that this leader has never seen, left a direct command unanswered. A busy new leader is
 *     neither isolated nor inbound-partitioned, because it has not sent any command yet
 */
record FleetVisibility(
    int machineCount, int overdueCount, boolean isIsolated, boolean isInboundPartitioned) {

  /** Returns whether this leader seems to be partitioned from most machines. */
  boolean isLeaderPartitioned() {
    return isIsolated || isInboundPartitioned;
  }

  /** Returns what share of the machines that should send heartbeats do so; 1 if there are none. */
  double observedShare() {
    return machineCount == 0 ? 1 : 1 - (double) overdueCount / machineCount;
  }
}
