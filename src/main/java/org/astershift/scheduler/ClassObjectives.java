package org.astershift.scheduler;

/**
 * The service-level objectives of one job class.
 *
 * @param startS the tightest objective for starting its tasks, in seconds; null if there is none
 * @param finishS the tightest objective for finishing its jobs, in seconds; null if there is none
 * @param hasAnyObjective whether there is an objective of any kind
 */
public record ClassObjectives(Double startS, Double finishS, boolean hasAnyObjective) {
  static final ClassObjectives NONE = new ClassObjectives(null, null, false);
}
