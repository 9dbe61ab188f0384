package org.astershift.scheduler;

/**
 * Parameters of scheduling that operators may set.
 *
 * @param windowTasks tasks of the wait queue that a pass looks at
 * @param utilizationThreshold share of busy processors below which a task takes a machine without
 *     its image
 * @param machineBatchTasks tasks that one machine is given in a pass
 * @param waitingAgeS seconds after which a task takes any machine
 * @param idleReleaseS seconds for which an idle machine is kept at least
 */
public record SchedulingPolicy(
    int windowTasks,
    double utilizationThreshold,
    int machineBatchTasks,
    double waitingAgeS,
    double idleReleaseS) {}
