package org.astershift.controller;

/** Intervals, timeouts and batch sizes of the controller's loops. */
public final class LoopTiming {
  /**
   * Interval between renewals of the leader lease, in milliseconds; several fit into its duration.
   */
  public static final long LEADER_LEASE_RENEW_INTERVAL_MS = 500;

  /** Maximum wait of a write of the leader key for the store's rate limit, in milliseconds. */
  public static final long LEADER_KEY_TIMEOUT_MS = 1000;

  /** Interval between election steps while another controller holds the lease, in milliseconds. */
  public static final long ELECTION_POLL_INTERVAL_MS = 300;

  /** Maximum wait for an event before the next scheduling pass, in milliseconds. */
  public static final long PASS_INTERVAL_MS = 250;

  /**
   * Minimum pause between two passes, in milliseconds, so that one pass handles a burst of events.
   */
  public static final long PASS_MIN_GAP_MS = 30;

  /**
   * Pause after a pass as a multiple of its duration, so that heartbeats and requests get processor
   * time first.
   */
  public static final long PASS_REST_FACTOR = 2;

  /**
   * Maximum pause after a pass while machines of earlier leaders are unreconciled, in milliseconds:
   * pauses after long passes must not delay their reconciliation. At other times an overloaded
   * controller needs the full pause.
   */
  public static final long PASS_REST_MAX_MS = 750;

  /** Delay of a pass above which the process is assumed to have been paused, in milliseconds. */
  public static final long PROCESS_PAUSE_MS = 1500;

  /** Interval between the samples in which each controller probes machines, in milliseconds. */
  public static final long REACHABILITY_SAMPLE_INTERVAL_MS = 2000;

  /** Maximum number of machines in one reachability sample. */
  public static final int REACHABILITY_SAMPLE_MACHINES = 6;

  /** Interval between queries to the peers while the store does not respond, in milliseconds. */
  public static final long REACHABILITY_QUERY_INTERVAL_MS = 500;

  /** Timeout of a query that a peer answers from memory, in milliseconds. */
  public static final int REACHABILITY_QUERY_TIMEOUT_MS = 400;

  /** Pause before a cloud call is retried, in milliseconds. */
  public static final long CLOUD_RETRY_BACKOFF_MS = 1000;

  /** Time after which no further attempt is made to persist a cancellation, in milliseconds. */
  public static final long CANCEL_WAIT_MS = 1200;

  /** Interval between checks whether a waiting cancellation can be persisted, in milliseconds. */
  public static final long CANCEL_POLL_INTERVAL_MS = 40;

  /** Interval between reads of the cloud's machine list, in milliseconds. */
  public static final long MACHINE_LIST_INTERVAL_MS = 2500;

  /** Interval between reads of the cloud's machine types, whose prices change, in milliseconds. */
  public static final long MACHINE_TYPES_INTERVAL_MS = 60_000;

  /** Interval between saves of the progress of jobs, in milliseconds. */
  public static final long PROGRESS_SAVE_INTERVAL_MS = 2000;

  /** Maximum number of job ends in one transaction. */
  public static final int COMPLETION_BATCH_JOBS = 100;

  private LoopTiming() {}
}
