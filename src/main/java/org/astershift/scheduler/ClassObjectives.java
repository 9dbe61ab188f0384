package org.astershift.scheduler;

/**
 * What the operators aim at for a class of jobs, in seconds: the tightest aim on starting its tasks
 * and the tightest on finishing its jobs, null where there is none; {@code anyObjective}: there is
 * some aim.
 */
public record ClassObjectives(Double startS, Double finishS, boolean anyObjective) {
  static final ClassObjectives NONE = new ClassObjectives(null, null, false);
}
