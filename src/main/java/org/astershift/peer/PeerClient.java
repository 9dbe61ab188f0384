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

/** Asks one other controller, with a deadline. */
public final class PeerClient {
  private final Settings.Endpoint endpoint;
  private final Deque<Socket> idle = new ArrayDeque<>();
  private volatile long restUntilNs = System.nanoTime();

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
      return call(op, job, timeoutMs);
    } catch (SocketTimeoutException e) {
      restUntilNs = System.nanoTime() + Constants.PEER_REST_MS * 1_000_000;
      throw e;
    }
  }

  private JobAnswer call(String op, String job, int timeoutMs) throws IOException {
    Socket socket = take();
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
      PeerWire.write(out, new PeerWire.Ask(op, job));
      JobAnswer a = PeerWire.answer(new DataInputStream(socket.getInputStream()));
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

  private synchronized Socket take() {
    return idle.pollLast();
  }

  private synchronized void give(Socket socket) throws IOException {
    if (idle.size() >= 4) {
      socket.close();
    } else {
      idle.addLast(socket);
    }
  }
}
