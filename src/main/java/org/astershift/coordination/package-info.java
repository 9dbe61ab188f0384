/**
 * What controllers decide about each other: who reaches what, who stands for the leadership and who
 * hands it over; and what a leader may say and do about jobs that others may have ended. Values in
 * and values out, as in {@link org.astershift.scheduler}: time is an argument in milliseconds of
 * one steady clock, and no clock, thread or socket is used here.
 */
package org.astershift.coordination;
