/**
 * Scheduling itself, as values in and values out. Nothing here does input or output, reads a clock
 * or starts a thread: time comes in as an argument in milliseconds of one steady clock, and
 * decisions leave as {@link org.astershift.scheduler.Decision} values for the loops around it to
 * carry out.
 */
package org.astershift.scheduler;
