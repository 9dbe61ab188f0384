package org.astershift.scheduler;

/** Priorities, the most urgent first: their natural order sorts the queue. */
public enum Priority {
  /** Before all others; may preempt any. */
  PRODUCTION,
  /** Before normal work. */
  HIGH,
  /** What most jobs have. */
  NORMAL,
  /** After all others. */
  LOW
}
