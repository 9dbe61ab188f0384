package org.astershift.core;

/** The parameters of the design that are open to measurement; operators may set them. */
public record Policy(
    int window, double utilization, int batch, double waitingAgeS, double idleReleaseS) {}
