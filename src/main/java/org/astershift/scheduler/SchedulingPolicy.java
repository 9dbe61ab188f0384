package org.astershift.scheduler;

/** The parameters of the design that are open to measurement; operators may set them. */
public record SchedulingPolicy(
    int window, double utilization, int batch, double waitingAgeS, double idleReleaseS) {}
