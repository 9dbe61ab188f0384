package org.astershift.emulator;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * A block of loopback ports for processes that are killed and restarted on the same ports. The
 * first port of a block stays bound while the block is in use, so that parallel test runs never
 * share a block. All blocks lie below the ephemeral range (32768 and up), so no outgoing connection
 * or other server takes a port between two processes.
 */
public final class PortBlock implements AutoCloseable {
  private static final int FIRST = 22_000;
  private static final int PAST_LAST = 32_000;
  private static final int SIZE = 10;

  /**
   * First port of the block that is tried next. Blocks are taken in turn and not reused soon, so
   * that leftover connections from an earlier block reach no process.
   */
  private static int nextFirstPort = FIRST;

  private final ServerSocket reservation;

  private PortBlock(ServerSocket held) {
    this.reservation = held;
  }

  /** Acquires the next block whose ports are all free. Throws an IOException if there is none. */
  public static synchronized PortBlock acquire() throws IOException {
    for (int tries = (PAST_LAST - FIRST) / SIZE; tries > 0; tries--) {
      int first = nextFirstPort;
      nextFirstPort = first + SIZE < PAST_LAST ? first + SIZE : FIRST;
      ServerSocket held = tryBind(first);
      if (held != null) {
        if (areRemainingPortsFree(first)) {
          return new PortBlock(held);
        }
        held.close();
      }
    }
    throw new IOException("no free block of ports between " + FIRST + " and " + PAST_LAST);
  }

  private static boolean areRemainingPortsFree(int first) throws IOException {
    for (int port = first + 1; port < first + SIZE; port++) {
      ServerSocket socket = tryBind(port);
      if (socket == null) {
        return false;
      }
      socket.close();
    }
    return true;
  }

  /** Returns a socket bound to the port, or null if the port is in use on any address. */
  private static ServerSocket tryBind(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    try {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
      return socket;
    } catch (BindException e) {
      socket.close();
      return null;
    }
  }

  /** Returns the first {@code count} ports of the block, valid until the block is closed. */
  public List<Integer> ports(int count) {
    if (count >= SIZE) {
      throw new IllegalArgumentException(
          "a block has " + (SIZE - 1) + " ports; requested: " + count);
    }
    List<Integer> result = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      result.add(reservation.getLocalPort() + i);
    }
    return result;
  }

  @Override
  public void close() throws IOException {
    reservation.close();
  }
}
