package org.astershift.scheduler;

/**
 * How much of its fleet a leader sees.
 *
 * @param machines machines that should send heartbeats
 * @param overdue those of them whose heartbeat is overdue
 * @param isolated most are overdue, and some that this leader has seen left a command unanswered
 * @param inboundPartitioned most are overdue, and most of these left a command unanswered, also
 *     such as this leader has never seen; a busy new leader is neither, as it has sent none yet
 */
record FleetVisibility(
    int machineCount, int overdueCount, boolean isolated, boolean inboundPartitioned) {}
