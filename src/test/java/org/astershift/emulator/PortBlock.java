package org.astershift.emulator;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Ports for processes that take theirs from settings and are killed and started again on them, so
 * that nobody can hold them meanwhile. The first port of a block is held open for as long as the
 * block is in use: test runs beside each other so never have the same one. All blocks lie below the
 * range from which systems take ports by themselves (from 32768 on, or later), so no outgoing
 * connection and no server that lets the system choose takes one between two processes.
 */
public final class PortBlock implements AutoCloseable {
  private static final int FIRST = 22_000;
  private static final int PAST_LAST = 32_000;
  private static final int SIZE = 10;

  /** Where this process looks next: what an earlier test left behind finds nobody. */
  private static int next = FIRST;

  private final ServerSocket held;

  private PortBlock(ServerSocket held) {
    this.held = held;
  }

  /** The next block of which all ports are free, each once before any comes a second time. */
  public static synchronized PortBlock take() throws IOException {
    for (int tries = (PAST_LAST - FIRST) / SIZE; tries > 0; tries--) {
      int first = next;
      next = first + SIZE < PAST_LAST ? first + SIZE : FIRST;
      ServerSocket held = bound(first);
      if (held != null) {
        if (othersFree(first)) {
          return new PortBlock(held);
        }
        held.close();
      }
    }
    throw new IOException("no block of ports is free from " + FIRST + " to " + PAST_LAST);
  }

  private static boolean othersFree(int first) throws IOException {
    for (int port = first + 1; port < first + SIZE; port++) {
      ServerSocket s = bound(port);
      if (s == null) {
        return false;
      }
      s.close();
    }
    return true;
  }

  /** Null if it is somebody else's, on whatever address. */
  private static ServerSocket bound(int port) throws IOException {
    ServerSocket s = new ServerSocket();
    try {
      s.setReuseAddress(true);
      s.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
      return s;
    } catch (BindException e) {
      s.close();
      return null;
    }
  }

  /** So many ports that are this block's until it is closed. */
  public List<Integer> ports(int n) {
    if (n >= SIZE) {
      throw new IllegalArgumentException("a block has " + (SIZE - 1) + " ports: " + n);
    }
    List<Integer> out = new ArrayList<>();
    for (int i = 1; i <= n; i++) {
      out.add(held.getLocalPort() + i);
    }
    return out;
  }

  @Override
  public void close() throws IOException {
    held.close();
  }
}
