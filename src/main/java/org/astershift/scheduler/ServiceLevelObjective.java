package org.astershift.scheduler;

/**
 * A service-level objective of the settings.
 *
 * @param kind the kind as the settings name it
 * @param withinS its time in seconds; 0 if it has none
 * @param share the share of the jobs that should meet it
 * @param deadlineMultiple how many times its deadline a job may take
 */
public record ServiceLevelObjective(
    String kind, String jobClass, double withinS, double share, double deadlineMultiple) {}
