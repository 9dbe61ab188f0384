package org.astershift.scheduler;

/**
 * A service-level objective from the settings.
 *
 * @param kind the kind by its name in the settings
 * @param withinS the time limit in seconds; 0 if it has none
 * @param share the share of the jobs that should meet it
 * @param deadlineMultiple the multiple of its deadline that a job may take
 */
public record ServiceLevelObjective(
    String kind, String jobClass, double withinS, double share, double deadlineMultiple) {}
