package org.astershift.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.astershift.config.Constants;
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
  private final int most;
  private final Map<Socket, AtomicLong> open = new ConcurrentHashMap<>();
  private volatile boolean closed;

  public HttpServer(String host, int port, int most, Handler handler) throws IOException {
    this.handler = handler;
    this.most = most;
    this.server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 128);
  }

  public int port() {
    return server.getLocalPort();
  }

  public void start() {
    Threads.start("http-accept", this::acceptLoop);
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
    for (Socket s : open.keySet()) {
      s.close();
    }
  }

  private void acceptLoop() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        if (open.size() >= most) {
          closeIdlest();
        }
        AtomicLong idleSince = new AtomicLong(System.nanoTime());
        open.put(socket, idleSince);
        Threads.start("http", () -> serve(socket, idleSince));
      } catch (IOException | OutOfMemoryError e) {
        if (!closed) {
          LOG.info("a connection could not be taken: {}", e.toString());
          Threads.pause();
        }
      }
    }
  }

  /** A full node gives up the connection that has been idle for longest. */
  private void closeIdlest() {
    Socket idlest = null;
    long since = Long.MAX_VALUE;
    for (Map.Entry<Socket, AtomicLong> e : open.entrySet()) {
      long at = e.getValue().get();
      if (at < since) {
        since = at;
        idlest = e.getKey();
      }
    }
    if (idlest != null) {
      open.remove(idlest);
      quietly(idlest);
    }
  }

  private static void quietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      LOG.debug("closing: {}", e.toString());
    }
  }

  private void serve(Socket socket, AtomicLong idleSince) {
    try (socket) {
      socket.setTcpNoDelay(true);
      Wire wire = new Wire(socket);
      while (!closed) {
        idleSince.set(System.nanoTime());
        if (!wire.await(Constants.IDLE_TIMEOUT_MS)) {
          return;
        }
        idleSince.set(Long.MAX_VALUE);
        boolean keep = one(socket, wire);
        if (!keep) {
          return;
        }
      }
    } catch (SocketTimeoutException e) {
      LOG.debug("a connection was idle or slow for too long");
    } catch (IOException e) {
      LOG.debug("connection: {}", e.toString());
    } catch (RuntimeException e) {
      LOG.error("connection ended by", e);
    } finally {
      open.remove(socket);
    }
  }

  private boolean one(Socket socket, Wire wire) throws IOException {
    Wire.Message m;
    String[] start;
    try {
      m = wire.read(Constants.REQUEST_TIMEOUT_MS, Constants.BODY_BYTES, true);
      start = m.start().split(" ", -1);
      if (start.length != 3 || !start[2].startsWith("HTTP/1.") || !start[1].startsWith("/")) {
        throw new HttpException(400, "bad request line");
      }
    } catch (HttpException e) {
      send(socket, Response.error(e.status(), e.getMessage()), true);
      return false;
    }
    int query = start[1].indexOf('?');
    String path = query < 0 ? start[1] : start[1].substring(0, query);
    String rest = query < 0 ? "" : start[1].substring(query + 1);
    Response response;
    try {
      response = handler.handle(new Request(start[0], path, rest, m.body()));
    } catch (Exception e) {
      LOG.error("{} {} failed", start[0], path, e);
      response = Response.error(503, "internal error");
    }
    boolean close = m.closes();
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
