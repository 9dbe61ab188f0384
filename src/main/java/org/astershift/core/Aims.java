package org.astershift.core;

/**
 * What the operators aim at for a class of jobs, in seconds: the tightest aim on starting its tasks
 * and the tightest on finishing its jobs, null where there is none; {@code any}: there is some aim.
 */
public record Aims(Double startS, Double finishS, boolean any) {
  static final Aims NONE = new Aims(null, null, false);
}
