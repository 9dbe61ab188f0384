package org.astershift.scheduler;

/** One entry of the cloud's machine list. */
public record ListedMachine(
    String name,
    String address,
    String typeName,
    String zone,
    boolean spot,
    String state,
    double ageS) {}
