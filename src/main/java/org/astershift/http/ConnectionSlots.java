package org.astershift.http;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Admission control for incoming connections, each of which holds a thread and a socket. Workers'
 * heartbeats keep leases alive, so part of the slots is reserved for workers and cannot be taken by
 * users. A new connection may take any slot until its first request shows whether it belongs to a
 * user or a worker; if its kind then exceeds its share of the slots, the longest-idle connection of
 * that kind is evicted. This class only decides; the server closes the evicted connections.
 *
 * <p>There may be more workers than slots, since each worker sends a heartbeat only every few
 * seconds. Some slots are therefore kept free for new connections: when free slots run short, a
 * worker's connection is closed together with the response to its heartbeat, and the worker
 * reconnects for its next heartbeat. Closing an idle connection at any other time would make its
 * worker treat this controller as dead.
 *
 * <p>Thread-safe.
 */
public final class ConnectionSlots {
  /** Time after which an idle connection of a user or worker is closed, in milliseconds. */
  public static final int CONNECTION_IDLE_TIMEOUT_MS = 60_000;

  /** Time within which a request must have arrived completely, in milliseconds. */
  private static final int REQUEST_TIMEOUT_MS = 5000;

  /** Share of the slots that is kept free for new connections. */
  private static final double KEPT_FREE_SHARE = 0.1;

  /** Kind of a connection; determines the share of the slots that the connection counts against. */
  private enum ConnectionKind {
    /** No request has arrived yet. */
    NEW,
    /** A user's connection. */
    UNRESERVED,
    /** A worker's connection, which may use the reserved slots. */
    RESERVED
  }

  /**
   * State of one connection. The thread that serves the connection updates the state; the reaper
   * reads it without a lock, so the fields that the reaper reads are volatile.
   */
  static final class Connection {
    private ConnectionKind kind = ConnectionKind.NEW;
    private volatile long idleSinceNs;
    private volatile boolean isServed;
    private volatile boolean hasActiveRequest;
    private volatile long readingRequestSinceNs;
    private volatile boolean isReadingRequest;

    Connection(long nowNs) {
      this.idleSinceNs = nowNs;
    }

    /** Records that the connection waits for its next request. */
    void onIdle(long nowNs) {
      idleSinceNs = nowNs;
      hasActiveRequest = false;
    }

    /**
     * Records that a request is being read; the connection is not evictable until {@link #onIdle}.
     */
    void onRequestStarted(long nowNs) {
      readingRequestSinceNs = nowNs;
      isReadingRequest = true;
      hasActiveRequest = true;
    }

    /** Records that the request has arrived completely. */
    void onRequestRead() {
      isReadingRequest = false;
    }

    /**
     * Returns whether the connection has been idle, or its current request incomplete, for too
     * long.
     */
    boolean isOverdue(long nowNs) {
      return hasActiveRequest
          ? isReadingRequest && nowNs - readingRequestSinceNs > REQUEST_TIMEOUT_MS * 1_000_000L
          : nowNs - idleSinceNs > CONNECTION_IDLE_TIMEOUT_MS * 1_000_000L;
    }

    /**
     * Returns whether a thread reads from the connection; if not, the thread that evicts the
     * connection must close its socket.
     */
    boolean isBeingServed() {
      return isServed;
    }

    void setBeingServed(boolean served) {
      isServed = served;
    }
  }

  private final int capacity;
  private final int unreservedCapacity;

  /** Number of slots kept free for new connections. */
  private final int minFreeSlots;

  private final Set<Connection> connections = new LinkedHashSet<>();
  private int reservedCount;
  private int unreservedCount;
  private int peakConnections;
  private long evictedCount;

  /** Creates {@code capacity} slots in all, of which users may take {@code unreservedCapacity}. */
  public ConnectionSlots(int capacity, int unreservedCapacity) {
    this.capacity = capacity;
    this.unreservedCapacity = unreservedCapacity;
    this.minFreeSlots = (int) (capacity * KEPT_FREE_SHARE);
  }

  /**
   * Admits a new connection and returns the connections to close: the new one itself if no other is
   * evictable.
   */
  synchronized List<Connection> admit(Connection connection) {
    connections.add(connection);
    List<Connection> evicted = new ArrayList<>(1);
    if (connections.size() > capacity) {
      // Users' and new connections are evicted first, workers' only if they exceed their share.
      Connection longestIdle =
          findLongestIdle(connection, ConnectionKind.UNRESERVED, ConnectionKind.NEW);
      if (longestIdle == null && reservedCount > capacity - unreservedCapacity) {
        longestIdle = findLongestIdle(connection, ConnectionKind.RESERVED, ConnectionKind.RESERVED);
      }
      evict(longestIdle == null ? connection : longestIdle, evicted);
    }
    peakConnections = Math.max(peakConnections, connections.size());
    return evicted;
  }

  /**
   * Records that a request has arrived on the connection, {@code reserved} if it is for a reserved
   * path; returns the connections to close.
   */
  synchronized List<Connection> onRequest(Connection connection, boolean reserved) {
    List<Connection> evicted = new ArrayList<>(0);
    if (!connections.contains(connection)) {
      return evicted; // evicted concurrently
    }
    ConnectionKind kind = reserved ? ConnectionKind.RESERVED : ConnectionKind.UNRESERVED;
    if (connection.kind != kind) {
      adjustCount(connection.kind, -1);
      connection.kind = kind;
      adjustCount(kind, 1);
      boolean overShare =
          reserved
              ? reservedCount > capacity - unreservedCapacity
                  && capacity - connections.size() < minFreeSlots / 2
              : unreservedCount > unreservedCapacity;
      if (overShare) {
        Connection longestIdle = findLongestIdle(connection, kind, kind);
        evict(longestIdle == null ? connection : longestIdle, evicted);
      }
    }
    return evicted;
  }

  /**
   * Returns whether the connection may stay open after its current response. A worker's may not
   * while too few slots are free for new connections, and a user's may not while the users' share
   * is nearly used up.
   */
  synchronized boolean mayKeepAlive(Connection connection) {
    return connection.kind == ConnectionKind.RESERVED
        ? capacity - connections.size() >= minFreeSlots
        : unreservedCount <= unreservedCapacity - (int) (unreservedCapacity * KEPT_FREE_SHARE);
  }

  /**
   * Frees the slot of a connection that is closed; has no effect if the slot has already been
   * freed.
   */
  synchronized void release(Connection connection) {
    if (connections.remove(connection)) {
      adjustCount(connection.kind, -1);
    }
  }

  private void evict(Connection connection, List<Connection> evicted) {
    release(connection);
    evictedCount++;
    evicted.add(connection);
  }

  private void adjustCount(ConnectionKind kind, int delta) {
    reservedCount += kind == ConnectionKind.RESERVED ? delta : 0;
    unreservedCount += kind == ConnectionKind.UNRESERVED ? delta : 0;
  }

  private Connection findLongestIdle(
      Connection excluded, ConnectionKind firstKind, ConnectionKind secondKind) {
    Connection longestIdle = null;
    for (Connection connection : connections) {
      boolean evictable =
          connection != excluded
              && !connection.hasActiveRequest
              && (connection.kind == firstKind || connection.kind == secondKind);
      if (evictable
          && (longestIdle == null || connection.idleSinceNs - longestIdle.idleSinceNs < 0)) {
        longestIdle = connection;
      }
    }
    return longestIdle;
  }

  @Override
  public synchronized String toString() {
    return "workers="
        + reservedCount
        + " users="
        + unreservedCount
        + " new="
        + (connections.size() - reservedCount - unreservedCount)
        + " peak="
        + peakConnections
        + " capacity="
        + capacity
        + ", "
        + evictedCount
        + " given up for want of places"; // operators' scripts match this text
  }
}
