package org.astershift.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Pooled connections that the server closes. */
@Timeout(60)
class HttpClientTest {
  private static final int POOLED_CONNECTIONS = 6;
  private static final byte[] OK =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

  /**
   * Counts the first requests, which are answered once all have arrived, so that each opens a
   * connection.
   */
  private final CountDownLatch firstRequests = new CountDownLatch(POOLED_CONNECTIONS);

  private final List<Socket> openSockets = new ArrayList<>();

  /**
   * The server restarts. One request has to fail, since it may have been executed; the other pooled
   * connections are discarded with the connection of that request. If each failed one lease
   * renewal, the lease would expire.
   */
  @Test
  void oneRequestFailsAfterAServerRestart() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        HttpClient client =
            new HttpClient("127.0.0.1", server.getLocalPort(), POOLED_CONNECTIONS)) {
      new Thread(() -> accept(server)).start();
      List<FutureTask<Integer>> calls = new ArrayList<>();
      for (int i = 0; i < POOLED_CONNECTIONS; i++) {
        FutureTask<Integer> call = new FutureTask<>(() -> status(client));
        calls.add(call);
        new Thread(call).start();
      }
      for (FutureTask<Integer> call : calls) {
        assertEquals(200, call.get());
      }
      synchronized (openSockets) {
        assertEquals(POOLED_CONNECTIONS, openSockets.size());
        for (Socket socket : openSockets) {
          socket.close();
        }
      }
      List<Integer> statuses = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        statuses.add(status(client));
      }
      assertEquals(List.of(0, 200, 200), statuses);
    }
  }

  private void accept(ServerSocket server) {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        synchronized (openSockets) {
          openSockets.add(socket);
        }
        new Thread(Threads.logFailures("connection", () -> serve(socket))).start();
      } catch (IOException e) {
        return; // the test is over
      }
    }
  }

  private void serve(Socket socket) throws InterruptedException {
    try (socket) {
      HttpMessageReader reader = new HttpMessageReader(socket);
      while (reader.awaitFirstByte()) {
        reader.readRequest(HttpServer.MAX_REQUEST_BODY_BYTES);
        firstRequests.countDown();
        firstRequests.await();
        socket.getOutputStream().write(OK);
      }
    } catch (IOException e) {
      // closed by the test or the client
    }
  }

  /** Returns the status of the response, or 0 if there is none. */
  private static int status(HttpClient client) {
    try {
      return client.call("GET", "/", null, 5000).status();
    } catch (IOException e) {
      return 0;
    }
  }
}
