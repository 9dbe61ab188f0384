package org.astershift.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadFactory;
import java.util.function.Predicate;
import org.astershift.config.Constants;
import org.astershift.http.ConnectionSlots.Connection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves HTTP/1.1 on blocking sockets, one thread a connection up to a limit. */
public final class HttpServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  /** Answers requests. */
  public interface Handler {
    Response handle(Request request) throws Exception;
  }

  /** A request; the path is without its query, which is empty if there is none. */
  public record Request(String method, String path, String query, byte[] body) {}

  /** A response with a JSON text; {@code retryAfterS} 0 for none. */
  public record Response(int status, byte[] body, int retryAfterS) {
    public static Response of(int status, Map<String, Object> body) {
      return new Response(status, Json.bytes(body), 0);
    }

    public static Response error(int status, String why) {
      int retryAfterS = status == 503 ? Constants.RETRY_AFTER_S : 0;
      return new Response(status, Json.bytes(Map.of("error", why)), retryAfterS);
    }
  }

  private final ServerSocket server;
  private final Handler handler;
  private final ConnectionSlots places;
  private final Predicate<String> reserved;
  private final Threads.ConnectionThreads threads;
  private final Map<Connection, Socket> open = new ConcurrentHashMap<>();
  private volatile boolean closed;
  private long toldNs = System.nanoTime();

  /** {@code most} connections, none of them with a place of its own. */
  public HttpServer(String host, int port, int most, Handler handler) throws IOException {
    this(
        host, port, new ConnectionSlots(most, most), path -> false, handler, Threads.connections());
  }

  /** Connections that ask for a {@code reserved} path have places that others cannot take. */
  public HttpServer(
      String host, int port, ConnectionSlots places, Predicate<String> reserved, Handler handler)
      throws IOException {
    this(host, port, places, reserved, handler, Threads.connections());
  }

  HttpServer(
      String host,
      int port,
      ConnectionSlots places,
      Predicate<String> reserved,
      Handler handler,
      ThreadFactory threads)
      throws IOException {
    this.handler = handler;
    this.places = places;
    this.reserved = reserved;
    this.threads = new Threads.ConnectionThreads(threads);
    this.server = listen(host, port, Constants.BACKLOG);
  }

  /** Takes an address; nothing of it is left if that fails. */
  public static ServerSocket listen(String host, int port, int backlog) throws IOException {
    ServerSocket server = new ServerSocket();
    try {
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(InetAddress.getByName(host), port), backlog);
      return server;
    } catch (IOException e) {
      server.close();
      throw e;
    }
  }

  public int port() {
    return server.getLocalPort();
  }

  public void start() {
    Threads.startLoop("http-accept", this::acceptLoop);
    Threads.startLoop("http-reaper", this::reapLoop);
  }

  /** Closes what is idle or slow for too long: reads have no timeouts of their own. */
  private void reapLoop() throws InterruptedException {
    while (!closed) {
      Thread.sleep(Constants.REAP_MS);
      long now = System.nanoTime();
      for (Map.Entry<Connection, Socket> e : open.entrySet()) {
        if (e.getKey().overdue(now)) {
          LOG.debug("a connection was idle or slow for too long");
          hangUp(e.getValue());
        }
      }
    }
  }

  /** Ends what its thread reads from it; the thread then closes it. */
  private static void hangUp(Socket socket) {
    try {
      socket.shutdownInput();
    } catch (IOException e) {
      LOG.debug("closing: {}", e.toString());
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
    for (Socket s : open.values()) {
      s.close();
    }
  }

  private void acceptLoop() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        Connection c = new Connection(System.nanoTime());
        open.put(c, socket);
        take(c, socket);
        tell();
      } catch (IOException | Threads.ThreadUnavailableException e) {
        if (!closed) {
          LOG.info("a connection could not be taken: {}", e.toString());
          Threads.pause();
        }
      }
    }
  }

  private void take(Connection c, Socket socket) {
    for (Connection over : places.enter(c)) {
      drop(over);
    }
    if (!open.containsKey(c)) {
      return; // all others were at work: it was told to come back
    }
    try {
      c.served(true);
      threads.execute(() -> serve(c, socket));
    } catch (Threads.ThreadUnavailableException e) {
      // Nobody will serve it: kept, it would hang for its user and count as open for ever.
      places.leave(c);
      c.served(false);
      drop(c);
      throw e;
    }
  }

  /** Closes a connection that has no place: it was served and is idle, or nobody serves it. */
  private void drop(Connection c) {
    Socket socket = open.remove(c);
    if (socket != null && c.served()) {
      hangUp(socket);
    } else if (socket != null) {
      try (socket) {
        send(socket, Response.error(503, "no place for more connections"), true);
      } catch (IOException e) {
        LOG.debug("closing: {}", e.toString());
      }
    }
  }

  private void tell() {
    long now = System.nanoTime();
    if (now - toldNs >= Constants.SUMMARY_MS * 1_000_000) {
      toldNs = now;
      LOG.info("connections: {}; {} threads", places, Thread.activeCount());
    }
  }

  private void serve(Connection c, Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      HttpMessageReader wire = new HttpMessageReader(socket);
      while (!closed) {
        c.idleSince(System.nanoTime());
        if (!wire.await()) {
          return;
        }
        c.busy(System.nanoTime());
        boolean keep = one(c, socket, wire);
        if (!keep) {
          return;
        }
      }
    } catch (IOException e) {
      LOG.debug("connection: {}", e.toString());
    } catch (RuntimeException | Error e) {
      LOG.error("connection ended by", e);
    } finally {
      open.remove(c);
      places.leave(c);
    }
  }

  private boolean one(Connection c, Socket socket, HttpMessageReader wire) throws IOException {
    HttpMessageReader.Message m;
    String[] start;
    try {
      m = wire.request(Constants.BODY_BYTES);
      start = m.start().split(" ", -1);
      if (start.length != 3 || !start[2].startsWith("HTTP/1.") || !start[1].startsWith("/")) {
        throw new HttpException(400, "bad request line");
      }
    } catch (HttpException e) {
      send(socket, Response.error(e.status(), e.getMessage()), true);
      return false;
    }
    c.read();
    int query = start[1].indexOf('?');
    String path = query < 0 ? start[1] : start[1].substring(0, query);
    String rest = query < 0 ? "" : start[1].substring(query + 1);
    for (Connection over : places.asks(c, reserved.test(path))) {
      if (over == c) {
        send(socket, Response.error(503, "no place for more connections"), true);
        return false;
      }
      drop(over);
    }
    Response response;
    try {
      response = handler.handle(new Request(start[0], path, rest, m.body()));
    } catch (Exception e) {
      LOG.error("{} {} failed", start[0], path, e);
      response = Response.error(503, "internal error");
    }
    boolean close = m.closes() || !places.keeps(c);
    send(socket, response, close);
    return !close;
  }

  private static void send(Socket socket, Response r, boolean close) throws IOException {
    StringBuilder head = new StringBuilder(128);
    head.append("HTTP/1.1 ").append(r.status()).append(' ').append(reason(r.status()));
    head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(r.body().length);
    if (r.retryAfterS() > 0) {
      head.append("\r\nRetry-After: ").append(r.retryAfterS());
    }
    if (close) {
      head.append("\r\nConnection: close");
    }
    head.append("\r\n\r\n");
    HttpClient.write(socket, head.toString(), r.body());
  }

  private static String reason(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 201 -> "Created";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 413 -> "Content Too Large";
      case 421 -> "Misdirected Request";
      case 422 -> "Unprocessable Content";
      case 431 -> "Request Header Fields Too Large";
      case 501 -> "Not Implemented";
      case 503 -> "Service Unavailable";
      default -> "Status";
    };
  }
}
