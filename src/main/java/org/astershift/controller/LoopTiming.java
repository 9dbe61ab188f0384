package org.astershift.controller;

/** Intervals, timeouts and batch sizes of the controller's loops. */
public final class LoopTiming {
  /** Interval of lease renewals, milliseconds: several attempts fit into the lease's duration. */
  public static final long LEADER_LEASE_RENEW_INTERVAL_MS = 500;

  /** Timeout of a compare-and-swap of the leader's key, milliseconds. */
  public static final long LEADER_KEY_TIMEOUT_MS = 1000;

  /** Pause between election attempts while another holds the lease, milliseconds. */
  public static final long ELECTION_POLL_INTERVAL_MS = 300;

  /** Interval between passes without events, milliseconds. */
  public static final long PASS_INTERVAL_MS = 250;

  /** Shortest gap between two passes, milliseconds: one pass handles a burst of events. */
  public static final long PASS_MIN_GAP_MS = 30;

  /** Rest after a pass as a multiple of its duration: heartbeats and requests come first. */
  public static final long PASS_REST_FACTOR = 2;

  /**
   * Longest such rest while machines of earlier leaders are unreconciled, milliseconds: long passes
   * must not delay their reconciliation. At other times an overloaded node needs the full rest.
   */
  public static final long PASS_REST_MAX_MS = 750;

  /** Delay of a pass from which the process counts as having been paused, milliseconds. */
  public static final long PROCESS_PAUSE_MS = 1500;

  /** Interval between reachability samples of machines by each controller, milliseconds. */
  public static final long REACHABILITY_SAMPLE_INTERVAL_MS = 2000;

  /** Machines in one such sample. */
  public static final int REACHABILITY_SAMPLE_MACHINES = 6;

  /** Interval between queries to the peers while the store does not answer, milliseconds. */
  public static final long REACHABILITY_QUERY_INTERVAL_MS = 500;

  /** Timeout of such a query, which is answered from memory, milliseconds. */
  public static final int REACHABILITY_QUERY_TIMEOUT_MS = 400;

  /** Pause before a cloud call is retried, milliseconds. */
  public static final long CLOUD_RETRY_BACKOFF_MS = 1000;

  /** Longest wait of a cancellation until it can be persisted, milliseconds. */
  public static final long CANCEL_WAIT_MS = 1200;

  /** Interval at which such a cancellation is tried, milliseconds. */
  public static final long CANCEL_POLL_INTERVAL_MS = 40;

  /** Interval between machine lists, milliseconds. */
  public static final long MACHINE_LIST_INTERVAL_MS = 2500;

  /** Interval between lists of the machine types, whose prices change, milliseconds. */
  public static final long MACHINE_TYPES_INTERVAL_MS = 60_000;

  /** Interval between writes of progress, milliseconds. */
  public static final long PROGRESS_SAVE_INTERVAL_MS = 2000;

  /** Job completions in one write. */
  public static final int COMPLETION_BATCH_JOBS = 100;

  private LoopTiming() {}
}
