/**
 * Decisions of controllers about each other and about jobs: election, candidacy, reachability, the
 * sources of answers to polls, and cancellation. Values in and values out, as in {@link
 * org.astershift.scheduler}: time is an argument in milliseconds of one steady clock, and no clock,
 * thread or socket is used here.
 */
package org.astershift.coordination;
