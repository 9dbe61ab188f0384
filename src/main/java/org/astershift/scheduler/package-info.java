/**
 * The scheduler of one leader's term. It takes in events and returns {@link
 * org.astershift.scheduler.Decision} values for its caller to carry out. Nothing in this package
 * does input or output, reads a clock or starts a thread: time is passed in as milliseconds of one
 * monotonic clock, and the caller's lock guards all state.
 *
 * <p>{@link org.astershift.scheduler.Scheduler} is the entry point. {@code ClusterState} holds the
 * state of the term; heartbeats and command results update it ({@code HeartbeatReconciler}, {@code
 * DirectCommands}), and {@code SchedulingPass} decides from it.
 */
package org.astershift.scheduler;
