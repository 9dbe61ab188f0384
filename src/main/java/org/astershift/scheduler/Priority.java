package org.astershift.scheduler;

/** Priorities, the most urgent first, so that the ordinal sorts the queue. */
public enum Priority {
  PRODUCTION,
  HIGH,
  NORMAL,
  LOW
}
