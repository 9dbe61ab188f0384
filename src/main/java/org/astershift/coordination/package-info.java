/**
 * Decisions of controllers about each other and about jobs: election, candidacy, reachability, the
 * source of answers to polls, and cancellation. As in {@link org.astershift.scheduler}, all classes
 * are pure state machines: time is an argument in milliseconds of one monotonic clock, and no
 * clock, thread or socket is used.
 */
package org.astershift.coordination;
