package org.astershift.scheduler;

/** One machine of the cloud's list. */
public record ListedMachine(
    String name,
    String address,
    String typeName,
    String zone,
    boolean spot,
    String state,
    double ageS) {}
