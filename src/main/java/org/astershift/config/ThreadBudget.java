package org.astershift.config;

/** Limits on the threads and connections of a process, and how they are divided among its uses. */
public final class ThreadBudget {
  /** Threads that send requests for probes of machines to the other controllers. */
  public static final int PEER_PROBE_THREADS = 4;

  /** Maximum number of connections from other controllers, each of which takes a thread. */
  public static final int PEER_CONNECTIONS = 32;

  /** Number of threads that the platform allows a process. */
  public static final int MAX_THREADS = 2000;

  /**
   * Share of {@link #MAX_THREADS} that is used; the rest is left for threads that are about to end.
   */
  public static final double USED_THREADS_SHARE = 0.85;

  /** Threads of the loops of a controller and of two leader terms, one of which is ending. */
  public static final int LOOP_THREADS = 24;

  /** Threads of the Java runtime itself. */
  public static final int RUNTIME_THREADS = 16;

  /**
   * Share of the allowed sockets that incoming connections may take; the rest is left for outgoing
   * ones.
   */
  public static final double INCOMING_SOCKETS_SHARE = 0.75;

  /** Share of the incoming connections that users may take; the rest is reserved for workers. */
  public static final double USER_CONNECTIONS_SHARE = 0.3;

  /** Threads that send commands to workers. */
  public static final int COMMAND_THREADS = 24;

  /**
   * Threads that probe silent machines. A probe may block until its timeout, and all machines of a
   * zone may fall silent at once.
   */
  public static final int MACHINE_PROBE_THREADS = 64;

  /** Threads that release machines; one call to the cloud releases many machines. */
  public static final int RELEASE_THREADS = 1;

  /** Threads that provision machines; the cloud's rate limit allows only a few calls per second. */
  public static final int PROVISION_THREADS = 2;

  /**
   * Share of the incoming connections whose heartbeats may wait for commands. There may be more
   * machines than connections, which then give up theirs with each response.
   */
  private static final double DEFERRED_RESPONSES_SHARE = 0.5;

  private ThreadBudget() {}

  /** Returns the number of threads left for incoming connections. */
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

  /**
   * Returns the number of incoming connections allowed to a controller that may have {@code
   * sockets} sockets; each connection takes a thread and a socket.
   */
  public static int maxConnections(int sockets) {
    return Math.min(connectionThreads(), (int) (sockets * INCOMING_SOCKETS_SHARE));
  }

  /**
   * Returns how many heartbeats may wait for commands at the same time in a controller that may
   * have {@code sockets} sockets.
   */
  public static int maxDeferredResponses(int sockets) {
    return (int) (maxConnections(sockets) * DEFERRED_RESPONSES_SHARE);
  }
}
