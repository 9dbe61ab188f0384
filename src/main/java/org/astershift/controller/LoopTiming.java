package org.astershift.controller;

/** Intervals, deadlines and batch sizes of the controller's loops. */
public final class LoopTiming {
  /** How often the lease is renewed: several tries fit into its life. */
  public static final long LEADER_LEASE_RENEW_INTERVAL_MS = 500;

  /** Deadline of a change of the leader's key, milliseconds. */
  public static final long LEADER_KEY_TIMEOUT_MS = 1000;

  /** Pause between tries to become leader while another holds the lease. */
  public static final long ELECTION_POLL_INTERVAL_MS = 300;

  /** Milliseconds between passes when nothing happens. */
  public static final long PASS_INTERVAL_MS = 250;

  /** Least milliseconds between two passes: what happens in a burst is served by one. */
  public static final long PASS_MIN_GAP_MS = 30;

  /** After a pass its own length is rested so many times: reports and answers come first. */
  public static final long PASS_REST_FACTOR = 2;

  /**
   * But no longer than this, milliseconds, while machines of earlier leaders are still to be heard:
   * when all report at once a pass takes seconds, and what it would find proved or lost waited for
   * many more. At other times an overloaded node would come to nothing but passes.
   */
  public static final long PASS_REST_MAX_MS = 750;

  /** Milliseconds by which a pass comes too late that show that the node stood still. */
  public static final long PROCESS_PAUSE_MS = 1500;

  /** Milliseconds between samples of machines that each controller asks whether it reaches them. */
  public static final long REACHABILITY_SAMPLE_INTERVAL_MS = 2000;

  /** Machines in one sample: at 1,000 machines and five controllers 15 questions a second. */
  public static final int REACHABILITY_SAMPLE_MACHINES = 6;

  /** Milliseconds between questions to the others while the state service does not answer. */
  public static final long REACHABILITY_QUERY_INTERVAL_MS = 500;

  /** Deadline of such a question, milliseconds: it is answered from memory. */
  public static final int REACHABILITY_QUERY_TIMEOUT_MS = 400;

  /** Pause before a cloud call is repeated, milliseconds. */
  public static final long CLOUD_RETRY_BACKOFF_MS = 1000;

  /** How long a cancellation waits until it can be kept, within the peer's deadline. */
  public static final long CANCEL_WAIT_MS = 1200;

  /** Milliseconds between looks whether it can. */
  public static final long CANCEL_POLL_INTERVAL_MS = 40;

  /** Milliseconds between machine lists. */
  public static final long MACHINE_LIST_INTERVAL_MS = 2500;

  /** Milliseconds between looks at the machine types once they are known: prices move. */
  public static final long MACHINE_TYPES_INTERVAL_MS = 60_000;

  /** Milliseconds between saves of progress. */
  public static final long PROGRESS_SAVE_INTERVAL_MS = 2000;

  /** Jobs whose ends are written at once: each takes some 300 bytes. */
  public static final int COMPLETION_BATCH_JOBS = 100;

  private LoopTiming() {}
}
