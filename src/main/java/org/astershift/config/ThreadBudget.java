package org.astershift.config;

/** How many threads and connections a process may have, and how they are shared out. */
public final class ThreadBudget {
  /** Threads that ask the other controllers: one a controller. */
  public static final int PEER_PROBE_THREADS = 4;

  /** Connections from other controllers: they keep a few each. */
  public static final int PEER_CONNECTIONS = 32;

  /** Threads that a process may have: what the platform allows (the operators' letter: 2,000). */
  public static final int MAX_THREADS = 2000;

  /** Share of them that is used: the runtime's own and those about to end come on top. */
  public static final double USED_THREADS_SHARE = 0.85;

  /** Threads of the loops of a node and of two terms, of which one is ending. */
  public static final int LOOP_THREADS = 24;

  /** Threads that the Java runtime starts for itself: compiler, collector, references, signals. */
  public static final int RUNTIME_THREADS = 16;

  /**
   * Share of the sockets allowed that incoming connections may take: those to the workers are at
   * most {@link #KEPT_WORKER_CONNECTIONS} and {@link #COMMAND_THREADS}.
   */
  public static final double INCOMING_SOCKETS_SHARE = 0.75;

  /**
   * Share of the incoming connections that users may take; the rest is for workers, which share it
   * where they are more.
   */
  public static final double USER_CONNECTIONS_SHARE = 0.3;

  /** Threads that send direct orders. */
  public static final int COMMAND_THREADS = 24;

  /**
   * Threads that ask silent machines whether they are there: each is held for the deadline, and all
   * machines of a zone may fall silent at once.
   */
  public static final int MACHINE_PROBE_THREADS = 64;

  /** Threads that give machines back: one call takes a hundred names. */
  public static final int RELEASE_THREADS = 1;

  /** Threads that rent: the cloud's limit allows a few calls a second. */
  public static final int PROVISION_THREADS = 2;

  private ThreadBudget() {}

  /** Threads left for incoming connections by what the node itself starts. */
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

  /** Incoming connections that a node may keep, each with a thread and one of {@code sockets}. */
  public static int maxConnections(int sockets) {
    return Math.min(connectionThreads(), (int) (sockets * INCOMING_SOCKETS_SHARE));
  }
}
