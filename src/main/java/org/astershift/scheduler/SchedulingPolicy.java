package org.astershift.scheduler;

/** The parameters of the design that are open to measurement; operators may set them. */
public record SchedulingPolicy(
    int windowTasks,
    double utilizationThreshold,
    int machineBatchTasks,
    double waitingAgeS,
    double idleReleaseS) {}
