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

/** A server with more connections than it can handle. */
@Timeout(60)
class HttpServerTest {
  private static HttpServer.Response ok(HttpServer.Request request) {
    return HttpServer.Response.of(200, Map.of("path", request.path()));
  }

  /** A thread that cannot be started, as when the process has too many. */
  private static final class Unstartable extends Thread {
    @Override
    public synchronized void start() {
      throw new OutOfMemoryError("unable to create native thread");
    }
  }

  private static String readAll(InputStream in) throws IOException {
    return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static void send(Socket socket, String path) throws IOException {
    socket
        .getOutputStream()
        .write(("GET " + path + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads one response from a connection that stays open; returns its head. */
  private static String readResponseHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return head.toString();
      }
      head.append((char) next);
    }
    String length = head.toString().replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1");
    socket.getInputStream().readNBytes(Integer.parseInt(length));
    return head.toString();
  }

  /** Without a thread a connection is closed with 503, and does not keep its slot. */
  @Test
  void connectionWhoseThreadCannotStartIsClosed() throws Exception {
    AtomicInteger refusals = new AtomicInteger(5);
    ThreadFactory scarceThreads =
        task ->
            refusals.getAndDecrement() > 0
                ? new Unstartable()
                : Threads.connectionThreadFactory().newThread(task);
    try (HttpServer server =
        new HttpServer(
            "127.0.0.1",
            0,
            new ConnectionSlots(2, 2),
            path -> false,
            HttpServerTest::ok,
            scarceThreads)) {
      server.start();
      for (int i = 0; i < 5; i++) {
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
          String text = readAll(socket.getInputStream());
          assertTrue(text.startsWith("HTTP/1.1 503") && text.contains("Retry-After: "), text);
        }
      }
      HttpClient client = new HttpClient("127.0.0.1", server.port(), 1);
      assertEquals(200, client.call("GET", "/x", null, 10_000).status());
      client.close();
    }
  }

  /** Workers' connections outlast any number of users' connections. */
  @Test
  void usersLeaveWorkersTheirConnections() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try (HttpServer server =
        new HttpServer(
            "127.0.0.1",
            0,
            new ConnectionSlots(20, 5),
            path -> path.equals("/heartbeat"),
            HttpServerTest::ok)) {
      server.start();
      List<Socket> workers = new ArrayList<>();
      for (int i = 0; i < 15; i++) {
        Socket socket = new Socket("127.0.0.1", server.port());
        sockets.add(socket);
        workers.add(socket);
        send(socket, "/heartbeat");
        assertTrue(readResponseHead(socket).startsWith("HTTP/1.1 200"));
      }
      for (int i = 0; i < 200; i++) {
        Socket socket = new Socket("127.0.0.1", server.port());
        sockets.add(socket);
        send(socket, "/job");
        assertTrue(
            readResponseHead(socket).startsWith("HTTP/1.1 200"), "a new user is served as well");
      }
      for (Socket socket : workers) {
        send(socket, "/heartbeat");
        assertTrue(
            readResponseHead(socket).startsWith("HTTP/1.1 200"), "a worker lost its connection");
      }
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** A task stays queued if no thread can start, and runs once one can. */
  @Test
  void taskStaysQueuedIfNoThreadCanStart() throws Exception {
    AtomicInteger refusals = new AtomicInteger(1);
    TaskPool pool =
        new TaskPool(
            2,
            task ->
                refusals.getAndDecrement() > 0
                    ? new Unstartable()
                    : Threads.connectionThreadFactory().newThread(task));
    CountDownLatch done = new CountDownLatch(1);
    pool.execute("work", done::countDown);
    assertEquals(1, done.getCount());
    pool.startQueuedTasks();
    done.await();
  }
}
