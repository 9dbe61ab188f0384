package org.astershift.http;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Admission control for incoming connections, each of which holds a thread and a socket. Workers'
 * heartbeats keep leases alive, so part of the slots is reserved for them and cannot be taken by
 * users. A new connection may take any slot until its first request shows its kind; a kind above
 * its share then loses its longest idle connection. Decides only: the server closes what is
 * evicted.
 *
 * <p>There may be more workers than slots, since each sends a heartbeat only every few seconds. So
 * some slots stay free for new connections: when they run short, a worker's connection is closed
 * together with the response it waited for, and the worker reconnects for its next heartbeat.
 * Closing an idle connection at any other moment would make its worker treat the node as dead.
 *
 * <p>Safe for use by several threads.
 */
public final class ConnectionSlots {
  /** Time after which an idle connection of a user or worker is closed, milliseconds. */
  public static final int CONNECTION_IDLE_TIMEOUT_MS = 60_000;

  /** Time within which a request has to arrive whole, milliseconds. */
  private static final int REQUEST_TIMEOUT_MS = 5000;

  /** Share of the slots kept free for new connections. */
  private static final double KEPT_FREE_SHARE = 0.1;

  /** Which share of the slots a connection counts against. */
  private enum ConnectionKind {
    /** No request yet. */
    NEW,
    /** Of a user. */
    UNRESERVED,
    /** Of a worker. */
    RESERVED
  }

  /**
   * State of one connection. Its serving thread reports its activity; the reaper reads it without a
   * lock, so the fields it reads are volatile.
   */
  static final class Connection {
    private ConnectionKind kind = ConnectionKind.NEW;
    private volatile long idleSinceNs;
    private volatile boolean beingServed;
    private volatile boolean busy;
    private volatile long readingSinceNs;
    private volatile boolean reading;

    Connection(long nowNs) {
      this.idleSinceNs = nowNs;
    }

    /** The connection waits for its next request. */
    void onIdle(long nowNs) {
      idleSinceNs = nowNs;
      busy = false;
    }

    /** A request is being read: the connection is not evictable until {@link #onIdle}. */
    void onRequestStarted(long nowNs) {
      readingSinceNs = nowNs;
      reading = true;
      busy = true;
    }

    /** The request has arrived whole. */
    void onRequestRead() {
      reading = false;
    }

    /** Whether it has been idle, or a request incomplete, for too long. */
    boolean isOverdue(long nowNs) {
      return busy
          ? reading && nowNs - readingSinceNs > REQUEST_TIMEOUT_MS * 1_000_000L
          : nowNs - idleSinceNs > CONNECTION_IDLE_TIMEOUT_MS * 1_000_000L;
    }

    /** Whether a thread reads from it; if not, whoever evicts it has to close its socket. */
    boolean isBeingServed() {
      return beingServed;
    }

    void setBeingServed(boolean active) {
      beingServed = active;
    }
  }

  private final int capacity;
  private final int unreservedCapacity;

  /** Slots kept free for new connections. */
  private final int keptFree;

  private final Set<Connection> connections = new LinkedHashSet<>();
  private int reservedCount;
  private int unreservedCount;
  private int peak;
  private long evictedCount;

  /** {@code capacity} slots in all, of which users may take {@code unreservedCapacity}. */
  public ConnectionSlots(int capacity, int unreservedCapacity) {
    this.capacity = capacity;
    this.unreservedCapacity = unreservedCapacity;
    this.keptFree = (int) (capacity * KEPT_FREE_SHARE);
  }

  /** Admits a new connection; returns those to close, itself if no other is evictable. */
  synchronized List<Connection> admit(Connection connection) {
    connections.add(connection);
    List<Connection> evicted = new ArrayList<>(1);
    if (connections.size() > capacity) {
      // Users' and new connections go first; a worker's only beyond the workers' share.
      Connection longestIdle =
          longestIdle(connection, ConnectionKind.UNRESERVED, ConnectionKind.NEW);
      if (longestIdle == null && reservedCount > capacity - unreservedCapacity) {
        longestIdle = longestIdle(connection, ConnectionKind.RESERVED, ConnectionKind.RESERVED);
      }
      evict(longestIdle == null ? connection : longestIdle, evicted);
    }
    peak = Math.max(peak, connections.size());
    return evicted;
  }

  /** The connection sent a request, for a reserved path or not; returns those to close. */
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
                  && capacity - connections.size() < keptFree / 2
              : unreservedCount > unreservedCapacity;
      if (overShare) {
        Connection longestIdle = longestIdle(connection, kind, kind);
        evict(longestIdle == null ? connection : longestIdle, evicted);
      }
    }
    return evicted;
  }

  /**
   * Whether the connection may stay open after its current response: not while too few slots are
   * free for new ones, or the users' share is nearly used up.
   */
  synchronized boolean mayKeepAlive(Connection connection) {
    return connection.kind == ConnectionKind.RESERVED
        ? capacity - connections.size() >= keptFree
        : unreservedCount <= unreservedCapacity - (int) (unreservedCapacity * KEPT_FREE_SHARE);
  }

  /** The connection is closed; frees its slot, once. */
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

  private Connection longestIdle(
      Connection excluded, ConnectionKind firstKind, ConnectionKind secondKind) {
    Connection longestIdle = null;
    for (Connection connection : connections) {
      boolean evictable =
          connection != excluded
              && !connection.busy
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
        + peak
        + " capacity="
        + capacity
        + ", "
        + evictedCount
        + " given up for want of places"; // operators' scripts read these words
  }
}
