package org.astershift.http;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Which connections a node keeps: each holds a thread and a socket, and both are limited. Workers'
 * reports keep leases alive, so they have a part of the places that users cannot take, however many
 * come. A new connection may take any place until its first request says whose it is; then a group
 * that has more than its part gives up its connection that has been idle for longest. Decides only:
 * the server closes what is given up.
 *
 * <p>There may be more workers than places, since each says something only every few seconds. So
 * some places are always left free for those that come: once it comes to that, a connection is
 * closed with the answer that it waited for, and its worker comes again with its next report. Idle
 * connections closed at any other moment made workers take the node for dead and try others.
 */
public final class ConnectionSlots {
  /** An idle connection of a user or worker is closed after this many milliseconds. */
  public static final int CONNECTION_IDLE_TIMEOUT_MS = 60_000;

  /** A started request has to arrive whole within this many milliseconds. */
  private static final int REQUEST_TIMEOUT_MS = 5000;

  /**
   * Share of the places that are left free for connections that come: beyond that each is closed
   * with its answer. At 1,676 machines that report every 5 s to 1,533 places some 60 come a second.
   */
  private static final double RESERVED_FREE_CONNECTIONS_SHARE = 0.1;

  /** Whose a connection is. */
  private enum ConnectionKind {
    NEW,
    UNRESERVED,
    RESERVED
  }

  /** One connection as far as its place is concerned. */
  static final class Connection {
    private ConnectionKind side = ConnectionKind.NEW;
    private volatile long idleSinceNs;
    private volatile boolean beingServed;
    private volatile boolean busy;
    private volatile long readingSinceNs;
    private volatile boolean reading;

    Connection(long nowNs) {
      this.idleSinceNs = nowNs;
    }

    /** It waits for its next request. */
    void onIdle(long nowNs) {
      idleSinceNs = nowNs;
      busy = false;
    }

    /** A request of it is being read: it is not given up. */
    void onRequestStarted(long nowNs) {
      readingSinceNs = nowNs;
      reading = true;
      busy = true;
    }

    /** Its request is there whole. */
    void onRequestRead() {
      reading = false;
    }

    /** It has been idle, or a request of it on its way, for too long. */
    boolean isOverdue(long nowNs) {
      return busy
          ? reading && nowNs - readingSinceNs > REQUEST_TIMEOUT_MS * 1_000_000L
          : nowNs - idleSinceNs > CONNECTION_IDLE_TIMEOUT_MS * 1_000_000L;
    }

    /** Whether a thread reads from it. */
    boolean isBeingServed() {
      return beingServed;
    }

    void setBeingServed(boolean active) {
      beingServed = active;
    }
  }

  private final int capacity;
  private final int unreservedCapacity;

  /** Places that are left free for connections that come. */
  private final int reservedFree;

  private final Set<Connection> all = new LinkedHashSet<>();
  private int reservedCount;
  private int unreservedCount;
  private int peak;
  private long evictedCount;

  /**
   * {@code capacity} places in all, of which at most {@code unreservedCapacity} for connections
   * without a reserved place.
   */
  public ConnectionSlots(int capacity, int unreservedCapacity) {
    this.capacity = capacity;
    this.unreservedCapacity = unreservedCapacity;
    this.reservedFree = (int) (capacity * RESERVED_FREE_CONNECTIONS_SHARE);
  }

  /** A connection comes; gives those to close, itself if no other can go. */
  synchronized List<Connection> admit(Connection connection) {
    all.add(connection);
    List<Connection> evicted = new ArrayList<>(1);
    if (all.size() > capacity) {
      // Users' and new connections go first: a worker's is only given up beyond the workers' part.
      Connection longestIdle =
          longestIdle(connection, ConnectionKind.UNRESERVED, ConnectionKind.NEW);
      if (longestIdle == null && reservedCount > capacity - unreservedCapacity) {
        longestIdle = longestIdle(connection, ConnectionKind.RESERVED, ConnectionKind.RESERVED);
      }
      evict(longestIdle == null ? connection : longestIdle, evicted);
    }
    peak = Math.max(peak, all.size());
    return evicted;
  }

  /** Its request is for a reserved path, or not; gives those to close. */
  synchronized List<Connection> onRequest(Connection connection, boolean reserved) {
    List<Connection> evicted = new ArrayList<>(0);
    if (!all.contains(connection)) {
      return evicted; // given up a moment ago
    }
    ConnectionKind side = reserved ? ConnectionKind.RESERVED : ConnectionKind.UNRESERVED;
    if (connection.side != side) {
      adjustCount(connection.side, -1);
      connection.side = side;
      adjustCount(side, 1);
      boolean overShare =
          reserved
              ? reservedCount > capacity - unreservedCapacity
                  && capacity - all.size() < reservedFree / 2
              : unreservedCount > unreservedCapacity;
      if (overShare) {
        Connection longestIdle = longestIdle(connection, side, side);
        evict(longestIdle == null ? connection : longestIdle, evicted);
      }
    }
    return evicted;
  }

  /**
   * Whether the connection stays open after the answer that it gets now: not if too few places are
   * left for those that come, or the users' are nearly used up.
   */
  synchronized boolean mayKeepAlive(Connection connection) {
    return connection.side == ConnectionKind.RESERVED
        ? capacity - all.size() >= reservedFree
        : unreservedCount
            <= unreservedCapacity - (int) (unreservedCapacity * RESERVED_FREE_CONNECTIONS_SHARE);
  }

  /** The connection is closed. */
  synchronized void release(Connection connection) {
    if (all.remove(connection)) {
      adjustCount(connection.side, -1);
    }
  }

  private void evict(Connection connection, List<Connection> evicted) {
    release(connection);
    evictedCount++;
    evicted.add(connection);
  }

  private void adjustCount(ConnectionKind side, int delta) {
    reservedCount += side == ConnectionKind.RESERVED ? delta : 0;
    unreservedCount += side == ConnectionKind.UNRESERVED ? delta : 0;
  }

  private Connection longestIdle(
      Connection excluded, ConnectionKind firstSide, ConnectionKind secondSide) {
    Connection longestIdle = null;
    for (Connection connection : all) {
      boolean evictable =
          connection != excluded
              && !connection.busy
              && (connection.side == firstSide || connection.side == secondSide);
      if (evictable
          && (longestIdle == null || connection.idleSinceNs - longestIdle.idleSinceNs < 0)) {
        longestIdle = connection;
      }
    }
    return longestIdle;
  }

  @Override
  public synchronized String toString() {
    return reservedCount
        + " of workers, "
        + unreservedCount
        + " of users, "
        + (all.size() - reservedCount - unreservedCount)
        + " new, at most "
        + peak
        + " of "
        + capacity
        + " at once, "
        + evictedCount
        + " given up for want of places";
  }
}
