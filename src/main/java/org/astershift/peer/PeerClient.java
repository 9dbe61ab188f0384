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
import org.astershift.config.Constants;
import org.astershift.config.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks one other controller, with a deadline. */
public final class PeerClient {
  private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
  private final Settings.Endpoint endpoint;
  private final Deque<Kept> idle = new ArrayDeque<>();
  private volatile long restUntilNs = System.nanoTime();

  /** A connection without a question on it. */
  private record Kept(Socket socket, long sinceNs) {}

  public PeerClient(Settings.Endpoint endpoint) {
    this.endpoint = endpoint;
  }

  /**
   * A controller that did not answer in time is left alone for a while: its askers have other ways,
   * and each would wait for the whole deadline.
   */
  public JobAnswer ask(String op, String job, int timeoutMs) throws IOException {
    if (System.nanoTime() - restUntilNs < 0) {
      throw new IOException("did not answer a moment ago");
    }
    try {
      Socket kept = take();
      if (kept != null) {
        try {
          return call(kept, op, job, timeoutMs);
        } catch (SocketTimeoutException e) {
          throw e;
        } catch (IOException e) {
          // Closed at the other end meanwhile, as after its restart: a leader that took this for
          // silence believed the one witness that was cut off with it. Every question may be asked
          // twice.
          LOG.debug("a kept connection has ended: {}", e.toString());
        }
      }
      return call(null, op, job, timeoutMs);
    } catch (SocketTimeoutException e) {
      restUntilNs = System.nanoTime() + Constants.PEER_REST_MS * 1_000_000;
      throw e;
    }
  }

  private JobAnswer call(Socket kept, String op, String job, int timeoutMs) throws IOException {
    Socket socket = kept;
    boolean ok = false;
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
      PeerCodec.write(out, new PeerCodec.PeerRequest(op, job));
      JobAnswer a = PeerCodec.answer(new DataInputStream(socket.getInputStream()));
      ok = true;
      return a;
    } catch (RuntimeException e) {
      throw new IOException("broken answer: " + e, e);
    } finally {
      if (ok) {
        give(socket);
      } else if (socket != null) {
        socket.close();
      }
    }
  }

  private synchronized Socket take() throws IOException {
    while (!idle.isEmpty()) {
      Kept kept = idle.pollLast();
      if (System.nanoTime() - kept.sinceNs() < Constants.KEEP_CLIENT_NS) {
        return kept.socket();
      }
      kept.socket().close();
    }
    return null;
  }

  private synchronized void give(Socket socket) throws IOException {
    if (idle.size() >= 4) {
      socket.close();
    } else {
      idle.addLast(new Kept(socket, System.nanoTime()));
    }
  }
}
