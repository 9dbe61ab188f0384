package org.astershift.scheduler;

/**
 * Scheduling parameters that operators can set.
 *
 * @param windowTasks number of tasks at the head of the wait queue that a pass considers
 * @param utilizationThreshold share of busy processors below which a task may be placed on a
 *     machine that lacks its image
 * @param machineBatchTasks maximum number of tasks that a pass places on one machine
 * @param waitingAgeS waiting time in seconds after which a task may be placed on any machine
 * @param idleReleaseS minimum time in seconds for which an idle machine is kept
 */
public record SchedulingPolicy(
    int windowTasks,
    double utilizationThreshold,
    int machineBatchTasks,
    double waitingAgeS,
    double idleReleaseS) {}
