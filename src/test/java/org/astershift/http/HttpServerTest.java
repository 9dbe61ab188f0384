package org.astershift.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** More connections than a node can serve. */
@Timeout(60)
class HttpServerTest {
  private static HttpServer.Response ok(HttpServer.Request r) {
    return HttpServer.Response.of(200, Map.of("path", r.path()));
  }

  /** A thread that the system refuses to start, as it does when a process has too many. */
  private static final class Unstartable extends Thread {
    @Override
    public synchronized void start() {
      throw new OutOfMemoryError("unable to create native thread");
    }
  }

  private static String all(InputStream in) throws IOException {
    return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static void ask(Socket s, String path) throws IOException {
    s.getOutputStream()
        .write(("GET " + path + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads one answer, headers and body, from a connection that stays open. */
  private static String answer(Socket s) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int b = s.getInputStream().read();
      if (b < 0) {
        return head.toString();
      }
      head.append((char) b);
    }
    String length = head.toString().replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1");
    s.getInputStream().readNBytes(Integer.parseInt(length));
    return head.toString();
  }

  /**
   * The socket stayed open with nobody serving it: it hung for its user, and counted as open until
   * the node had no places left.
   */
  @Test
  void connectionWhoseThreadCannotStartIsClosed() throws Exception {
    AtomicInteger refused = new AtomicInteger(5);
    ThreadFactory scarce =
        r ->
            refused.getAndDecrement() > 0
                ? new Unstartable()
                : Threads.connectionThreadFactory().newThread(r);
    try (HttpServer server =
        new HttpServer(
            "127.0.0.1", 0, new ConnectionSlots(2, 2), p -> false, HttpServerTest::ok, scarce)) {
      server.start();
      for (int i = 0; i < 5; i++) {
        try (Socket s = new Socket("127.0.0.1", server.port())) {
          String text = all(s.getInputStream());
          assertTrue(text.startsWith("HTTP/1.1 503") && text.contains("Retry-After: "), text);
        }
      }
      HttpClient client = new HttpClient("127.0.0.1", server.port(), 1);
      assertEquals(200, client.call("GET", "/x", null, 10_000).status());
      client.close();
    }
  }

  /** The connections of workers outlast a storm of users: reports keep leases alive. */
  @Test
  void usersStormLeavesReportsTheirConnections() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try (HttpServer server =
        new HttpServer(
            "127.0.0.1",
            0,
            new ConnectionSlots(20, 5),
            p -> p.equals("/report"),
            HttpServerTest::ok)) {
      server.start();
      List<Socket> workers = new ArrayList<>();
      for (int i = 0; i < 15; i++) {
        Socket s = new Socket("127.0.0.1", server.port());
        sockets.add(s);
        workers.add(s);
        ask(s, "/report");
        assertTrue(answer(s).startsWith("HTTP/1.1 200"));
      }
      for (int i = 0; i < 200; i++) {
        Socket s = new Socket("127.0.0.1", server.port());
        sockets.add(s);
        ask(s, "/job");
        assertTrue(answer(s).startsWith("HTTP/1.1 200"), "a new user is served as well");
      }
      for (Socket s : workers) {
        ask(s, "/report");
        assertTrue(answer(s).startsWith("HTTP/1.1 200"), "a worker lost its connection");
      }
    } finally {
      for (Socket s : sockets) {
        s.close();
      }
    }
  }

  /** A pool whose thread could not start threw the refusal at the pass, and forgot the work. */
  @Test
  void workOutlastsAThreadThatCannotStart() throws Exception {
    AtomicInteger refused = new AtomicInteger(1);
    TaskPool pool =
        new TaskPool(
            2,
            r ->
                refused.getAndDecrement() > 0
                    ? new Unstartable()
                    : Threads.connectionThreadFactory().newThread(r));
    CountDownLatch done = new CountDownLatch(1);
    pool.execute("work", done::countDown);
    assertEquals(1, done.getCount());
    pool.startWaitingWork();
    done.await();
  }
}
