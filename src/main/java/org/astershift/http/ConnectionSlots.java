package org.astershift.http;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.astershift.config.Constants;

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
  /** Whose a connection is. */
  private enum Side {
    NEW,
    OTHER,
    RESERVED
  }

  /** One connection as far as its place is concerned. */
  static final class Connection {
    private Side side = Side.NEW;
    private volatile long idleSinceNs;
    private volatile boolean served;
    private volatile boolean busy;
    private volatile long readingSinceNs;
    private volatile boolean reading;

    Connection(long nowNs) {
      this.idleSinceNs = nowNs;
    }

    /** It waits for its next request. */
    void idleSince(long nowNs) {
      idleSinceNs = nowNs;
      busy = false;
    }

    /** A request of it is being read: it is not given up. */
    void busy(long nowNs) {
      readingSinceNs = nowNs;
      reading = true;
      busy = true;
    }

    /** Its request is there whole. */
    void read() {
      reading = false;
    }

    /** It has been idle, or a request of it on its way, for too long. */
    boolean overdue(long nowNs) {
      return busy
          ? reading && nowNs - readingSinceNs > Constants.REQUEST_TIMEOUT_MS * 1_000_000L
          : nowNs - idleSinceNs > Constants.IDLE_TIMEOUT_MS * 1_000_000L;
    }

    /** Whether a thread reads from it. */
    boolean served() {
      return served;
    }

    void served(boolean now) {
      served = now;
    }
  }

  private final int most;
  private final int others;

  /** Places that are left free for connections that come. */
  private final int spare;

  private final Set<Connection> all = new LinkedHashSet<>();
  private int reservedNow;
  private int othersNow;
  private int peak;
  private long givenUp;

  /**
   * {@code most} places in all, of which at most {@code others} for connections without a reserved
   * place.
   */
  public ConnectionSlots(int most, int others) {
    this.most = most;
    this.others = others;
    this.spare = (int) (most * Constants.SPARE_PLACES);
  }

  /** A connection comes; gives those to close, itself if no other can go. */
  synchronized List<Connection> enter(Connection c) {
    all.add(c);
    List<Connection> over = new ArrayList<>(1);
    if (all.size() > most) {
      // Users' and new connections go first: a worker's is only given up beyond the workers' part.
      Connection idlest = idlest(c, Side.OTHER, Side.NEW);
      if (idlest == null && reservedNow > most - others) {
        idlest = idlest(c, Side.RESERVED, Side.RESERVED);
      }
      giveUp(idlest == null ? c : idlest, over);
    }
    peak = Math.max(peak, all.size());
    return over;
  }

  /** Its request is for a reserved path, or not; gives those to close. */
  synchronized List<Connection> asks(Connection c, boolean reserved) {
    List<Connection> over = new ArrayList<>(0);
    if (!all.contains(c)) {
      return over; // given up a moment ago
    }
    Side side = reserved ? Side.RESERVED : Side.OTHER;
    if (c.side != side) {
      count(c.side, -1);
      c.side = side;
      count(side, 1);
      boolean beyond =
          reserved
              ? reservedNow > most - others && most - all.size() < spare / 2
              : othersNow > others;
      if (beyond) {
        Connection idlest = idlest(c, side, side);
        giveUp(idlest == null ? c : idlest, over);
      }
    }
    return over;
  }

  /**
   * Whether the connection stays open after the answer that it gets now: not if too few places are
   * left for those that come, or the users' are nearly used up.
   */
  synchronized boolean keeps(Connection c) {
    return c.side == Side.RESERVED
        ? most - all.size() >= spare
        : othersNow <= others - (int) (others * Constants.SPARE_PLACES);
  }

  /** The connection is closed. */
  synchronized void leave(Connection c) {
    if (all.remove(c)) {
      count(c.side, -1);
    }
  }

  private void giveUp(Connection c, List<Connection> over) {
    leave(c);
    givenUp++;
    over.add(c);
  }

  private void count(Side side, int by) {
    reservedNow += side == Side.RESERVED ? by : 0;
    othersNow += side == Side.OTHER ? by : 0;
  }

  private Connection idlest(Connection but, Side one, Side other) {
    Connection idlest = null;
    for (Connection c : all) {
      boolean may = c != but && !c.busy && (c.side == one || c.side == other);
      if (may && (idlest == null || c.idleSinceNs - idlest.idleSinceNs < 0)) {
        idlest = c;
      }
    }
    return idlest;
  }

  @Override
  public synchronized String toString() {
    return reservedNow
        + " of workers, "
        + othersNow
        + " of users, "
        + (all.size() - reservedNow - othersNow)
        + " new, at most "
        + peak
        + " of "
        + most
        + " at once, "
        + givenUp
        + " given up for want of places";
  }
}
