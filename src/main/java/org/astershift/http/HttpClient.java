package org.astershift.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sends requests to one address over pooled connections. Each call has one deadline for connecting,
 * sending and receiving. The client never retries a request by itself: only the caller knows
 * whether a retry is safe. Thread-safe.
 */
public final class HttpClient implements AutoCloseable {
  /**
   * Maximum size of a response body, in bytes; the store's watch responses have no limit of their
   * own.
   */
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  /** Idle time after which a pooled connection is no longer used, in nanoseconds. */
  public static final long CLIENT_CONNECTION_IDLE_NS = 20_000_000_000L;

  private final String host;
  private final int port;
  private final int maxIdleConnections;
  private final Deque<Connection> idleConnections = new ArrayDeque<>();
  private boolean isClosed;

  /** Creates a client that keeps at most {@code maxIdleConnections} idle connections. */
  public HttpClient(String host, int port, int maxIdle) {
    this.host = host;
    this.port = port;
    this.maxIdleConnections = maxIdle;
  }

  /** Status and body of a response. */
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

  /**
   * Sends one request and returns the response. {@link RequestNotSentException} means that the
   * request had no effect; after any other {@link IOException} its effect is unknown.
   */
  public Response call(String method, String path, byte[] body, int timeoutMs) throws IOException {
    long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000L;
    Connection reused = takeIdle();
    Connection connection = reused == null ? connect(timeoutMs) : reused;
    boolean reusable = false;
    try {
      writeMessage(
          connection.socket, requestHead(method, path, body), body == null ? new byte[0] : body);
      int remainingMs = (int) Math.max(1, (deadlineNs - System.nanoTime()) / 1_000_000);
      HttpMessageReader.Message message =
          connection.reader.readResponse(remainingMs, MAX_RESPONSE_BYTES);
      int status = parseStatus(message.startLine());
      reusable = !message.closesConnection();
      return new Response(status, message.body());
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      if (reused != null) {
        closeIdleSince(reused.lastUsedNs);
      }
      throw e;
    } finally {
      if (reusable) {
        returnIdle(connection);
      } else {
        connection.socket.close();
      }
    }
  }

  private String requestHead(String method, String path, byte[] body) {
    StringBuilder head = new StringBuilder(128);
    head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(host);
    head.append(':').append(port);
    if (body != null) {
      head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(body.length);
    }
    return head.append("\r\n\r\n").toString();
  }

  private static int parseStatus(String startLine) throws IOException {
    String[] statusLine = startLine.split(" ", 3);
    if (statusLine.length < 2 || !statusLine[1].matches("[0-9]{3}")) {
      throw new IOException("malformed HTTP response: status line without a three-digit status");
    }
    return Integer.parseInt(statusLine[1]);
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
    while (!idleConnections.isEmpty()) {
      Connection connection = idleConnections.pollLast();
      // The server may have closed a connection that was idle for long; a call that fails on it
      // has an unknown effect.
      if (System.nanoTime() - connection.lastUsedNs < CLIENT_CONNECTION_IDLE_NS) {
        return connection;
      }
      closeQuietly(connection);
    }
    return null;
  }

  /**
   * Closes the pooled connections that have been idle since {@code unusedSinceNs} or longer. When
   * the server has closed one pooled connection, for example by restarting, it has closed these
   * too, and each of them would fail one more request.
   */
  private synchronized void closeIdleSince(long unusedSinceNs) {
    idleConnections.removeIf(
        connection -> {
          boolean stale = connection.lastUsedNs - unusedSinceNs <= 0;
          if (stale) {
            closeQuietly(connection);
          }
          return stale;
        });
  }

  private synchronized void returnIdle(Connection connection) {
    connection.lastUsedNs = System.nanoTime();
    idleConnections.addLast(connection);
    if (isClosed || idleConnections.size() > maxIdleConnections) {
      closeQuietly(idleConnections.pollFirst());
    }
  }

  /** Closes the idle connections and pools none from now on; calls still work. */
  @Override
  public synchronized void close() {
    isClosed = true;
    while (!idleConnections.isEmpty()) {
      closeQuietly(idleConnections.pollFirst());
    }
  }

  private static void closeQuietly(Connection connection) {
    try {
      connection.socket.close();
    } catch (IOException e) {
      // the connection is discarded either way
    }
  }

  /** Writes head and body at once: each write costs a packet and a system call. */
  static void writeMessage(Socket socket, String head, byte[] body) throws IOException {
    byte[] headBytes = HttpMessageReader.encodeLatin1(head);
    byte[] packet = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, packet, 0, headBytes.length);
    System.arraycopy(body, 0, packet, headBytes.length, body.length);
    socket.getOutputStream().write(packet);
  }
}
