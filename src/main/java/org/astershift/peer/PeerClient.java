package org.astershift.peer;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.astershift.config.Settings;
import org.astershift.http.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends requests to one other controller, each with a timeout. Thread-safe. */
public final class PeerClient {
  private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);

  /** Time for which no request is sent after one has timed out, in milliseconds. */
  private static final long PEER_BACKOFF_MS = 1000;

  /**
   * Timeout of a request forwarded to the leader, in milliseconds; lies within the two seconds that
   * a status poll may take.
   */
  public static final int PEER_TIMEOUT_MS = 1500;

  private final Settings.Endpoint endpoint;
  private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();
  private volatile long backoffUntilNs = System.nanoTime();

  /** A connection without a request in flight. */
  private record IdleConnection(Socket socket, long idleSinceNs) {}

  /** Creates a client, which connects at the first request. */
  public PeerClient(Settings.Endpoint endpoint) {
    this.endpoint = endpoint;
  }

  /**
   * Sends a request and waits for the response. For {@link #PEER_BACKOFF_MS} after a timeout,
   * requests fail immediately: callers have alternatives, and otherwise each of them would wait for
   * the whole timeout.
   *
   * @throws IOException if no valid response arrives in time; the request may have been handled
   */
  public PeerResponse send(PeerOperation operation, String argument, int timeoutMs)
      throws IOException {
    if (System.nanoTime() - backoffUntilNs < 0) {
      throw new IOException(
          "not sent: the peer timed out within the last " + PEER_BACKOFF_MS + " ms");
    }
    try {
      Socket reused = takeIdle();
      if (reused != null) {
        try {
          return call(reused, operation, argument, timeoutMs);
        } catch (SocketTimeoutException e) {
          throw e;
        } catch (IOException e) {
          // The peer has closed the connection, for example by restarting, which is no sign of a
          // partition. The request is sent again: all requests are idempotent.
          LOG.debug("idle peer connection was closed; connecting again: {}", e.toString());
        }
      }
      return call(null, operation, argument, timeoutMs);
    } catch (SocketTimeoutException e) {
      backoffUntilNs = System.nanoTime() + PEER_BACKOFF_MS * 1_000_000;
      throw e;
    }
  }

  private PeerResponse call(Socket reused, PeerOperation operation, String argument, int timeoutMs)
      throws IOException {
    Socket socket = reused;
    boolean succeeded = false;
    try {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
            new InetSocketAddress(InetAddress.getByName(endpoint.host()), endpoint.port()),
            timeoutMs);
      }
      socket.setSoTimeout(timeoutMs);
      DataOutputStream out =
          new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
      PeerCodec.write(out, new PeerCodec.PeerRequest(operation.wireName(), argument));
      PeerResponse response = PeerCodec.readResponse(new DataInputStream(socket.getInputStream()));
      succeeded = true;
      return response;
    } catch (RuntimeException e) {
      throw new IOException("malformed peer response: " + e, e);
    } finally {
      if (succeeded) {
        returnIdle(socket);
      } else if (socket != null) {
        socket.close();
      }
    }
  }

  private synchronized Socket takeIdle() throws IOException {
    while (!idleConnections.isEmpty()) {
      IdleConnection connection = idleConnections.pollLast();
      if (System.nanoTime() - connection.idleSinceNs() < HttpClient.CLIENT_CONNECTION_IDLE_NS) {
        return connection.socket();
      }
      connection.socket().close();
    }
    return null;
  }

  private synchronized void returnIdle(Socket socket) throws IOException {
    if (idleConnections.size() >= 4) {
      socket.close();
    } else {
      idleConnections.addLast(new IdleConnection(socket, System.nanoTime()));
    }
  }
}
