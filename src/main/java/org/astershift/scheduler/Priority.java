package org.astershift.scheduler;

/** Job priorities, the most urgent first; the wait queue is sorted by their natural order. */
public enum Priority {
  /** Served before all others; may preempt any of them. */
  PRODUCTION,
  /** Served before normal work. */
  HIGH,
  /** The priority of most jobs. */
  NORMAL,
  /** Served after all others. */
  LOW
}
