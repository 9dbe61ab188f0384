package org.astershift.simulation;

/** Fences of ours, each of which a test takes away to see that the checker misses it. */
enum Mutation {
  /** Writes of a leader are applied whoever leads by then. */
  WRITES_WITHOUT_THE_KEY,
  /** A leader in doubt proves by leases as one that is certainly alone. */
  LEASES_PROVE_IN_DOUBT,
  /** Start commands go out before the job is opened on record. */
  STARTS_BEFORE_OPENED,
  /** A successor takes over without the machines on record. */
  NO_ROSTER,
  /** A successor takes over from a mirror that may lag. */
  NO_CATCHING_UP,
  /** What other controllers reach is taken for silent too. */
  DEAF_WITNESSES,
  /** Copies of old reports are taken for the newest there are. */
  COPIES_ARE_NEWS,
  /** Copies of old reports show the token of whoever leads by then. */
  COPIES_SHOW_THE_TOKEN,
  /** One node answers no question about one job. */
  ONE_JOB_IS_FORGOTTEN,
  /** A cancellation is confirmed whatever machines may still answer to an older leader. */
  CANCELS_UNHEARD,
  /** A leader in doubt keeps its workers and stops nothing. */
  IN_DOUBT_STOPS_NOTHING,
  /** A cancellation is confirmed though a start of the job is on its way. */
  CONFIRMS_WHILE_STARTING,
  /** A cancellation is confirmed before it is on record. */
  CANCELS_UNWRITTEN,
  /** A term takes in whatever job it is told of. */
  LATE_NEWS_OF_JOBS,
  /** Done and cancelled do not exclude each other on record. */
  ENDS_REPLACE_ENDS,
  /** What is told of a job from memory does not mind that its end may be on record. */
  TOLD_WHILE_ENDING,
  /** What the mirror shows of a live job is told, however old it is. */
  TOLD_FROM_THE_MIRROR,
  /** Who asks about a job while an answer is being worked out shares that one. */
  SHARES_THE_ROUND_IN_WORK,
  /** A note is written whatever its key holds by then. */
  NOTES_WITHOUT_REVISIONS,
  /** A leader that hears few never hands over, and all stand at once. */
  NO_HANDING_OVER,
  /** An answer to an order counts as a report that was answered. */
  ANSWERS_RENEW_LEASES,
  /** Tasks of jobs that are over are stopped by nobody. */
  WHAT_IS_OVER_GOES_ON,
  /** A machine gets tasks before it is on record that it may. */
  TASKS_BEFORE_THE_RECORD,
  /** A leader whose lease is uncertain uses whatever incarnation of a machine it hears. */
  USES_UNPROVEN_INCARNATIONS,
  /** A start decided before its connection goes out whoever may lead by then. */
  STARTS_WHOEVER_LEADS
}
