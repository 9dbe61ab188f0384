package org.astershift.config;

/** The threads and connections that a process may have, and how they are divided. */
public final class ThreadBudget {
  /** Threads that send requests to the other controllers. */
  public static final int PEER_PROBE_THREADS = 4;

  /** Connections from other controllers. */
  public static final int PEER_CONNECTIONS = 32;

  /** Threads that the platform allows a process. */
  public static final int MAX_THREADS = 2000;

  /** Share of them that is used; the rest is for threads that are about to end. */
  public static final double USED_THREADS_SHARE = 0.85;

  /** Threads of the loops of a node and of two leader terms, of which one is ending. */
  public static final int LOOP_THREADS = 24;

  /** Threads of the Java runtime itself. */
  public static final int RUNTIME_THREADS = 16;

  /** Share of the allowed sockets for incoming connections; the rest is for outgoing ones. */
  public static final double INCOMING_SOCKETS_SHARE = 0.75;

  /** Share of the incoming connections that users may take; the rest is reserved for workers. */
  public static final double USER_CONNECTIONS_SHARE = 0.3;

  /** Threads that send commands to workers. */
  public static final int COMMAND_THREADS = 24;

  /**
   * Threads that probe silent machines. A probe may block until its deadline, and all machines of a
   * zone may fall silent at once.
   */
  public static final int MACHINE_PROBE_THREADS = 64;

  /** Threads that release machines; one call releases many. */
  public static final int RELEASE_THREADS = 1;

  /** Threads that provision machines; the cloud's rate limit allows a few calls a second. */
  public static final int PROVISION_THREADS = 2;

  private ThreadBudget() {}

  /** Threads left for incoming connections. */
  public static int connectionThreads() {
    int ownThreads =
        COMMAND_THREADS
            + MACHINE_PROBE_THREADS
            + PROVISION_THREADS
            + RELEASE_THREADS
            + PEER_PROBE_THREADS
            + PEER_CONNECTIONS
            + LOOP_THREADS
            + RUNTIME_THREADS;
    return (int) (MAX_THREADS * USED_THREADS_SHARE) - ownThreads;
  }

  /** Incoming connections allowed to a node; each takes a thread and one of {@code sockets}. */
  public static int maxConnections(int sockets) {
    return Math.min(connectionThreads(), (int) (sockets * INCOMING_SOCKETS_SHARE));
  }
}
