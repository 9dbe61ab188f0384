package org.astershift.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * Requests to one address over kept connections. Every call has a deadline over connecting, sending
 * and receiving. It never repeats a request by itself: whether that is safe only the caller knows.
 */
public final class HttpClient implements AutoCloseable {
  /**
   * Largest response taken from the state service or the cloud, bytes. A watch has no size limit.
   */
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  /** A kept connection of ours is not used again after this many nanoseconds without use. */
  public static final long CLIENT_CONNECTION_IDLE_NS = 20_000_000_000L;

  private final String host;
  private final int port;
  private final int maxIdle;
  private final Deque<Connection> idle = new ArrayDeque<>();
  private boolean closed;

  public HttpClient(String host, int port, int maxIdle) {
    this.host = host;
    this.port = port;
    this.maxIdle = maxIdle;
  }

  /** Status and body of an answer. */
  public record Response(int status, byte[] body) {}

  private static final class Connection {
    final Socket socket;
    final HttpMessageReader reader;
    long lastUsedNs;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.reader = new HttpMessageReader(socket);
    }
  }

  /** Sends one request. An {@link IOException} other than NotSent leaves its effect unknown. */
  public Response call(String method, String path, byte[] body, int timeoutMs) throws IOException {
    return callConnected(method, path, () -> body, timeoutMs);
  }

  /**
   * The same of a request that is made up once there is a connection: that may be long after the
   * call where the connection was slow to come about or this process stood still. What is sent goes
   * to who accepted that connection, or to nobody: a process that begins anew at that address does
   * not have it.
   */
  public Response callConnected(
      String method, String path, Supplier<byte[]> bodySupplier, int timeoutMs) throws IOException {
    long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000L;
    Connection reused = takeIdle();
    Connection connection = reused == null ? connect(timeoutMs) : reused;
    boolean reusable = false;
    try {
      byte[] body = bodySupplier.get();
      StringBuilder head = new StringBuilder(128);
      head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(host);
      head.append(':').append(port);
      if (body != null) {
        head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(body.length);
      }
      head.append("\r\n\r\n");
      write(connection.socket, head.toString(), body == null ? new byte[0] : body);
      int leftMs = (int) Math.max(1, (deadlineNs - System.nanoTime()) / 1_000_000);
      HttpMessageReader.Message message =
          connection.reader.readResponse(leftMs, MAX_RESPONSE_BYTES);
      String[] statusLine = message.startLine().split(" ", 3);
      if (statusLine.length < 2 || !statusLine[1].matches("[0-9]{3}")) {
        throw new IOException("bad status line");
      }
      reusable = !message.closesConnection();
      return new Response(Integer.parseInt(statusLine[1]), message.body());
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      if (reused != null) {
        closeIdleSince(reused.lastUsedNs);
      }
      throw e;
    } finally {
      if (reusable) {
        release(connection);
      } else {
        connection.socket.close();
      }
    }
  }

  private Connection connect(int timeoutMs) throws RequestNotSentException {
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), timeoutMs);
      return new Connection(socket);
    } catch (IOException e) {
      try {
        socket.close();
      } catch (IOException closeFailure) {
        e.addSuppressed(closeFailure);
      }
      throw new RequestNotSentException(e);
    }
  }

  private synchronized Connection takeIdle() {
    while (!idle.isEmpty()) {
      Connection connection = idle.pollLast();
      // An old connection may be closed at the other end, and a failure there looks like an
      // unknown.
      if (System.nanoTime() - connection.lastUsedNs < CLIENT_CONNECTION_IDLE_NS) {
        return connection;
      }
      closeQuietly(connection);
    }
    return null;
  }

  /**
   * A kept connection has ended at the other end, as when that begins anew: those that have not
   * been used since have, too, and each would fail one more request.
   */
  private synchronized void closeIdleSince(long unusedSinceNs) {
    idle.removeIf(
        connection -> {
          boolean stale = connection.lastUsedNs - unusedSinceNs <= 0;
          if (stale) {
            closeQuietly(connection);
          }
          return stale;
        });
  }

  private synchronized void release(Connection connection) {
    connection.lastUsedNs = System.nanoTime();
    idle.addLast(connection);
    if (closed || idle.size() > maxIdle) {
      closeQuietly(idle.pollFirst());
    }
  }

  /** Closes what is idle, and keeps nothing from now on; calls still go through. */
  @Override
  public synchronized void close() {
    closed = true;
    while (!idle.isEmpty()) {
      closeQuietly(idle.pollFirst());
    }
  }

  private static void closeQuietly(Connection connection) {
    try {
      connection.socket.close();
    } catch (IOException e) {
      // it is given up either way
    }
  }

  /** One write for head and body: each is a packet and a system call. */
  static void write(Socket socket, String head, byte[] body) throws IOException {
    byte[] headBytes = HttpMessageReader.latin1(head);
    byte[] packet = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, packet, 0, headBytes.length);
    System.arraycopy(body, 0, packet, headBytes.length, body.length);
    socket.getOutputStream().write(packet);
  }
}
