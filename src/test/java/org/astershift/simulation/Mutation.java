package org.astershift.simulation;

/** Fences of ours, each of which a test takes away to see that the checker misses it. */
enum Mutation {
  /** Writes of a leader are applied whoever leads by then. */
  UNFENCED_WRITES,
  /** A leader in doubt proves by leases as one that is certainly alone. */
  TRUST_EXPIRY_WITH_UNCERTAIN_LEASE,
  /** Start commands go out before the job is opened on record. */
  START_BEFORE_JOB_OPENED,
  /** A successor takes over without the machines on record. */
  NO_INHERITED_MACHINES,
  /** A successor takes over from a mirror that may lag. */
  NO_CATCH_UP,
  /** What other controllers reach is taken for silent too. */
  PEER_PROBES_ALWAYS_FAIL,
  /** Copies of old reports are taken for the newest there are. */
  ACCEPT_DUPLICATE_HEARTBEATS,
  /** Copies of old reports show the token of whoever leads by then. */
  DUPLICATES_CARRY_CURRENT_TOKEN,
  /** One node answers no question about one job. */
  FORGET_ONE_JOB,
  /** A cancellation is confirmed whatever machines may still answer to an older leader. */
  CONFIRM_CANCEL_UNRECONCILED,
  /** A leader in doubt keeps its workers and stops nothing. */
  NO_STOPS_WITH_UNCERTAIN_LEASE,
  /** A cancellation is confirmed though a start of the job is on its way. */
  CONFIRM_CANCEL_WHILE_STARTING,
  /** A cancellation is confirmed before it is on record. */
  CONFIRM_CANCEL_BEFORE_WRITE,
  /** A term takes in whatever job it is told of. */
  ADOPT_STALE_JOBS,
  /** Done and cancelled do not exclude each other on record. */
  OVERWRITE_JOB_END,
  /** What is told of a job from memory does not mind that its end may be on record. */
  ANSWER_WHILE_ENDING,
  /** What the mirror shows of a live job is told, however old it is. */
  ANSWER_FROM_WATCH_CACHE,
  /** Who asks about a job while an answer is being worked out shares that one. */
  JOIN_REQUEST_IN_FLIGHT,
  /** A note is written whatever its key holds by then. */
  UNCONDITIONAL_RECORD_WRITES,
  /** A leader that hears few never hands over, and all stand at once. */
  NO_LEADERSHIP_TRANSFER,
  /** An answer to an order counts as a report that was answered. */
  COMMAND_ANSWERS_RENEW_LEASES,
  /** Tasks of jobs that are over are stopped by nobody. */
  NO_STOPS_FOR_ENDED_JOBS,
  /** A machine gets tasks before it is on record that it may. */
  TASKS_BEFORE_REGISTRATION,
  /** A leader whose lease is uncertain uses whatever incarnation of a machine it hears. */
  TRUST_UNPROVEN_INCARNATIONS,
  /** A start decided before its connection goes out whoever may lead by then. */
  STARTS_WITH_UNCERTAIN_LEASE
}
