package org.astershift.scheduler;

/** Why an attempt is known to be no longer on its machine. */
enum DropReason {
  /** The machine's lease with this leader has expired. */
  LEASE_EXPIRED,
  /** A message is of a later epoch; the worker ended all tasks of the earlier one. */
  NEW_EPOCH,
  /** The machine's worker process has restarted. */
  NEW_INCARNATION,
  /** A newer message no longer reports the attempt, which an older one did. */
  NOT_LISTED,
  /** The machine no longer exists. */
  MACHINE_GONE
}
