package org.astershift.peer;

/** Operations that one controller may request from another, with their names in requests. */
public enum PeerOperation {
  /** Asks the leader for the state of a job. */
  POLL_JOB("poll"),
  /** Asks the leader to cancel a job. */
  CANCEL_JOB("cancel"),
  /** Asks whether the store responds to the other controller, and which controller leads. */
  STORE_STATUS("state"),
  /** Asks how much of the fleet the other controller reaches. */
  WORKER_REACHABILITY("reach"),
  /** Announces a transfer of the leadership; the argument names the successor. */
  ANNOUNCE_TRANSFER("yield"),
  /** Asks whether machines respond to the other controller; the argument holds their addresses. */
  PROBE_MACHINES("witness"),
  /** An operation that only a later version knows. */
  UNKNOWN("");

  private static final PeerOperation[] ALL = values();

  private final String wireName;

  PeerOperation(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name of the operation in requests. */
  public String wireName() {
    return wireName;
  }

  /** Returns the operation with this name in requests; {@link #UNKNOWN} if there is none. */
  public static PeerOperation fromWireName(String name) {
    for (PeerOperation operation : ALL) {
      if (operation.wireName.equals(name)) {
        return operation;
      }
    }
    return UNKNOWN;
  }
}
