package org.astershift.scheduler;

/** Priorities, the most urgent first: their natural order sorts the queue. */
public enum Priority {
  PRODUCTION,
  HIGH,
  NORMAL,
  LOW
}
