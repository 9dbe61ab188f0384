package org.astershift.peer;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import org.astershift.config.ThreadBudget;
import org.astershift.http.ConnectionSlots;
import org.astershift.http.HttpServer;
import org.astershift.http.ThreadUnavailableException;
import org.astershift.http.Threads;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves the requests of the other controllers, with one thread per connection. */
public final class PeerServer {
  private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);

  /** Handles the requests of other controllers, without forwarding them. */
  public interface RequestHandler {
    /**
     * Returns the response to a request; {@code operation} may be {@link PeerOperation#UNKNOWN}.
     */
    PeerResponse handle(PeerOperation operation, String argument) throws InterruptedException;
  }

  private final ServerSocket server;
  private final RequestHandler handler;
  private final Semaphore connectionSlots = new Semaphore(ThreadBudget.PEER_CONNECTIONS);

  /** Creates a server that listens from now on; connections are accepted after {@link #start}. */
  public PeerServer(String host, int port, RequestHandler handler) throws IOException {
    this.handler = handler;
    this.server = HttpServer.listen(host, port, ThreadBudget.PEER_CONNECTIONS);
  }

  /** Starts accepting connections. */
  public void start() {
    Threads.startLoop("peer-accept", this::acceptLoop);
  }

  private void acceptLoop() {
    while (true) {
      try {
        Socket socket = server.accept();
        if (!connectionSlots.tryAcquire()) {
          socket.close();
          continue;
        }
        try {
          Threads.start("peer", () -> serve(socket));
        } catch (ThreadUnavailableException e) {
          connectionSlots.release(); // no thread serves this connection
          socket.close();
          throw e;
        }
      } catch (IOException | ThreadUnavailableException e) {
        LOG.info("accepting a peer connection failed; will retry: {}", e.toString());
        Threads.backOff();
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(ConnectionSlots.CONNECTION_IDLE_TIMEOUT_MS);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      DataOutputStream out =
          new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
      while (true) {
        PeerCodec.PeerRequest request = PeerCodec.readRequest(in);
        PeerCodec.write(
            out,
            handler.handle(
                PeerOperation.fromWireName(request.operationName()), request.argument()));
      }
    } catch (IOException | RuntimeException e) {
      LOG.debug("peer connection ended: {}", e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connectionSlots.release();
    }
  }
}
