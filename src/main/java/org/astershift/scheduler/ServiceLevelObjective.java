package org.astershift.scheduler;

/**
 * An aim of the operators: {@code kind} as the settings name it, {@code withinS} 0 if it has none,
 * {@code deadlineMultiple} how many times its deadline a job may take.
 */
public record ServiceLevelObjective(
    String kind, String jobClass, double withinS, double share, double deadlineMultiple) {}
