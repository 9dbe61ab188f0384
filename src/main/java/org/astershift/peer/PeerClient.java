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

/** Asks one other controller, with a deadline. */
public final class PeerClient {
  private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);

  /** Milliseconds in which a controller that did not answer is not asked again. */
  private static final long PEER_BACKOFF_MS = 1000;

  /** Deadline of a request forwarded to the leader, within the user's two seconds for a poll. */
  public static final int PEER_TIMEOUT_MS = 1500;

  private final Settings.Endpoint endpoint;
  private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();
  private volatile long backoffUntilNs = System.nanoTime();

  /** A connection without a question on it. */
  private record IdleConnection(Socket socket, long idleSinceNs) {}

  public PeerClient(Settings.Endpoint endpoint) {
    this.endpoint = endpoint;
  }

  /**
   * A controller that did not answer in time is left alone for a while: its askers have other ways,
   * and each would wait for the whole deadline.
   */
  public JobAnswer ask(String operation, String jobId, int timeoutMs) throws IOException {
    if (System.nanoTime() - backoffUntilNs < 0) {
      throw new IOException("did not answer a moment ago");
    }
    try {
      Socket reused = takeIdle();
      if (reused != null) {
        try {
          return call(reused, operation, jobId, timeoutMs);
        } catch (SocketTimeoutException e) {
          throw e;
        } catch (IOException e) {
          // Closed at the other end meanwhile, as after its restart: a leader that took this for
          // silence believed the one witness that was cut off with it. Every question may be asked
          // twice.
          LOG.debug("a kept connection has ended: {}", e.toString());
        }
      }
      return call(null, operation, jobId, timeoutMs);
    } catch (SocketTimeoutException e) {
      backoffUntilNs = System.nanoTime() + PEER_BACKOFF_MS * 1_000_000;
      throw e;
    }
  }

  private JobAnswer call(Socket reused, String operation, String jobId, int timeoutMs)
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
      PeerCodec.write(out, new PeerCodec.PeerRequest(operation, jobId));
      JobAnswer answer = PeerCodec.readAnswer(new DataInputStream(socket.getInputStream()));
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
