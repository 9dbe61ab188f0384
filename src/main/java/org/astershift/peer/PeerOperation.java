package org.astershift.peer;

/** What one controller may ask another, with the words that requests carry. */
public enum PeerOperation {
  /** The state of a job, from the leader. */
  POLL_JOB("poll"),
  /** The cancellation of a job, by the leader. */
  CANCEL_JOB("cancel"),
  /** Whether the store answers there, and who leads. */
  STORE_STATUS("state"),
  /** How much of the fleet the other controller reaches. */
  WORKER_REACHABILITY("reach"),
  /** Announces a transfer of the leadership; the argument names the successor. */
  ANNOUNCE_TRANSFER("yield"),
  /** Whether machines answer there; the argument holds their addresses. */
  PROBE_MACHINES("witness"),
  /** A request of a later version. */
  UNKNOWN("");

  private static final PeerOperation[] ALL = values();

  private final String wireName;

  PeerOperation(String word) {
    this.wireName = word;
  }

  /** The word in a request. */
  public String wireName() {
    return wireName;
  }

  /** The operation of this word; {@link #UNKNOWN} if there is none. */
  public static PeerOperation fromWireName(String word) {
    for (PeerOperation operation : ALL) {
      if (operation.wireName.equals(word)) {
        return operation;
      }
    }
    return UNKNOWN;
  }
}
