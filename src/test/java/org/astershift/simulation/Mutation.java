package org.astershift.simulation;

/** Safety measures, each of which tests disable to verify that the checker detects its absence. */
enum Mutation {
  /** A leader's writes are not conditional on its leader key. */
  UNFENCED_WRITES,
  /** A leader whose own lease is uncertain assumes that a worker's lease has expired. */
  TRUST_EXPIRY_WITH_UNCERTAIN_LEASE,
  /** Start commands are sent before the record that opens the job is durable. */
  START_BEFORE_JOB_OPENED,
  /** A new term does not load the durable machine records. */
  NO_INHERITED_MACHINES,
  /** A new term begins with a watch cache that may lag. */
  NO_CATCH_UP,
  /** Peers report every suspect machine as unreachable. */
  PEER_PROBES_ALWAYS_FAIL,
  /** Duplicate heartbeats count as new. */
  ACCEPT_DUPLICATE_HEARTBEATS,
  /** Duplicate heartbeats carry the fencing token of the current leader. */
  DUPLICATES_CARRY_CURRENT_TOKEN,
  /** One controller answers no question about one job. */
  FORGET_ONE_JOB,
  /** A cancellation is confirmed before all machines are reconciled. */
  CONFIRM_CANCEL_UNRECONCILED,
  /** A leader whose lease is uncertain sends no stop commands. */
  NO_STOPS_WITH_UNCERTAIN_LEASE,
  /** A cancellation is confirmed while a start command of the job is in flight. */
  CONFIRM_CANCEL_WHILE_STARTING,
  /** A cancellation is confirmed before it is durable. */
  CONFIRM_CANCEL_BEFORE_WRITE,
  /** A term adopts jobs from reads that may be older than the jobs' ends. */
  ADOPT_STALE_JOBS,
  /** A later end of a job replaces the first durable one. */
  OVERWRITE_JOB_END,
  /** Answers from memory ignore that the job's end may already be durable. */
  ANSWER_WHILE_ENDING,
  /** Answers come from the watch cache, however outdated it is. */
  ANSWER_FROM_WATCH_CACHE,
  /** A question joins a request that is already in flight. */
  JOIN_REQUEST_IN_FLIGHT,
  /** Records are written regardless of the revision of their key. */
  UNCONDITIONAL_RECORD_WRITES,
  /** An isolated leader never transfers its leadership. */
  NO_LEADERSHIP_TRANSFER,
  /** An answer to a command renews the worker's lease as a heartbeat does. */
  COMMAND_ANSWERS_RENEW_LEASES,
  /** Tasks of ended jobs get no stop commands. */
  NO_STOPS_FOR_ENDED_JOBS,
  /** A machine gets tasks before its registration is durable. */
  TASKS_BEFORE_REGISTRATION,
  /** A leader whose lease is uncertain uses any incarnation of a machine that sends heartbeats. */
  TRUST_UNPROVEN_INCARNATIONS,
  /** An answer that a newer message has overtaken counts as the newest. */
  BELIEVE_OVERTAKEN_ANSWERS,
  /** Starts are sent as direct commands, too. */
  DIRECT_STARTS
}
