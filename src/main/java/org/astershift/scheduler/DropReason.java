package org.astershift.scheduler;

/** Why an attempt counts as gone from its machine. */
enum DropReason {
  /** The machine's lease with this leader has expired. */
  LEASE_EXPIRED,
  /** A message shows a later epoch, in which nothing of the earlier one is left. */
  NEW_EPOCH,
  /** The machine's process has restarted. */
  NEW_INCARNATION,
  /** A newer message lacks the attempt, which an older one had shown. */
  NOT_LISTED,
  /** The machine no longer exists. */
  MACHINE_GONE
}
