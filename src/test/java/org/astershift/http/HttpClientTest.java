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

/** Connections that are kept for the next request, and end meanwhile. */
@Timeout(60)
class HttpClientTest {
  private static final int KEPT = 6;
  private static final byte[] OK =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

  /** The first requests are answered once all of them have come, each on a connection. */
  private final CountDownLatch all = new CountDownLatch(KEPT);

  private final List<Socket> open = new ArrayList<>();

  /**
   * The service was away and is back. One request learns that by failing, since it may have been
   * carried out; the others that are kept have ended, too. Each of them failed one renewal of the
   * leader's lease, and six in a row took longer than it lives.
   */
  @Test
  void oneRequestLearnsThatTheServiceBeganAnew() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        HttpClient client = new HttpClient("127.0.0.1", server.getLocalPort(), KEPT)) {
      new Thread(() -> accept(server)).start();
      List<FutureTask<Integer>> together = new ArrayList<>();
      for (int i = 0; i < KEPT; i++) {
        FutureTask<Integer> f = new FutureTask<>(() -> status(client));
        together.add(f);
        new Thread(f).start();
      }
      for (FutureTask<Integer> f : together) {
        assertEquals(200, f.get());
      }
      synchronized (open) {
        assertEquals(KEPT, open.size());
        for (Socket s : open) {
          s.close();
        }
      }
      List<Integer> said = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        said.add(status(client));
      }
      assertEquals(List.of(0, 200, 200), said);
    }
  }

  private void accept(ServerSocket server) {
    while (!server.isClosed()) {
      try {
        Socket s = server.accept();
        synchronized (open) {
          open.add(s);
        }
        new Thread(Threads.logFailures("connection", () -> serve(s))).start();
      } catch (IOException e) {
        return; // the test is over
      }
    }
  }

  private void serve(Socket socket) throws InterruptedException {
    try (socket) {
      HttpMessageReader wire = new HttpMessageReader(socket);
      while (wire.awaitFirstByte()) {
        wire.readRequest(HttpServer.MAX_REQUEST_BODY_BYTES);
        all.countDown();
        all.await();
        socket.getOutputStream().write(OK);
      }
    } catch (IOException e) {
      // closed by the test, or by the client at its end
    }
  }

  /** 0 without an answer. */
  private static int status(HttpClient client) {
    try {
      return client.call("GET", "/", null, 5000).status();
    } catch (IOException e) {
      return 0;
    }
  }
}
