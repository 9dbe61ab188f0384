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

/** Sends requests to one other controller, each with a deadline. Callable from any thread. */
public final class PeerClient {
  private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);

  /** Milliseconds for which a controller is not asked again after a timeout. */
  private static final long PEER_BACKOFF_MS = 1000;

  /** Milliseconds for a request forwarded to the leader, within the two seconds of a poll. */
  public static final int PEER_TIMEOUT_MS = 1500;

  private final Settings.Endpoint endpoint;
  private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();
  private volatile long backoffUntilNs = System.nanoTime();

  /** A connection without a request in flight. */
  private record IdleConnection(Socket socket, long idleSinceNs) {}

  /** Connects at the first request. */
  public PeerClient(Settings.Endpoint endpoint) {
    this.endpoint = endpoint;
  }

  /**
   * Sends a request and waits for its answer. Fails at once for a while after a timeout: callers
   * have alternatives, and each would wait for the whole deadline.
   *
   * @throws IOException without an answer in time; the request may have been handled
   */
  public PeerResponse send(PeerOperation operation, String argument, int timeoutMs)
      throws IOException {
    if (System.nanoTime() - backoffUntilNs < 0) {
      throw new IOException("did not answer a moment ago");
    }
    try {
      Socket reused = takeIdle();
      if (reused != null) {
        try {
          return call(reused, operation, argument, timeoutMs);
        } catch (SocketTimeoutException e) {
          throw e;
        } catch (IOException e) {
          // Closed by the peer meanwhile, as after its restart, which is no sign of a partition.
          // All requests are idempotent.
          LOG.debug("idle peer connection was closed: {}", e.toString());
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
      PeerResponse answer = PeerCodec.readResponse(new DataInputStream(socket.getInputStream()));
      succeeded = true;
      return answer;
    } catch (RuntimeException e) {
      throw new IOException("broken answer: " + e, e);
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
