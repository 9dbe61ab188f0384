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
import org.astershift.config.LogIntervals;
import org.astershift.http.ConnectionSlots.Connection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves HTTP/1.1 on blocking sockets with one thread per connection. {@link ConnectionSlots}
 * limits the number of connections. Reads have no timeouts: a reaper thread shuts down connections
 * that are idle or slow for too long.
 */
public final class HttpServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  /** Value of the Retry-After header of a 503 response, in seconds. */
  private static final int RETRY_AFTER_S = 1;

  /** Maximum size of a request body, in bytes, as published. */
  static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;

  /** Interval at which the reaper looks for overdue connections, in milliseconds. */
  private static final long CONNECTION_REAP_INTERVAL_MS = 1000;

  /** Length of the accept queue. After a restart, all workers and users connect at once. */
  private static final int LISTEN_BACKLOG_CONNECTIONS = 1024;

  /** Handles requests; called on several threads at once. */
  public interface Handler {
    /** Returns the response to a request. An exception is logged and answered with 503. */
    Response handle(Request request) throws Exception;
  }

  /** A request; {@code path} excludes the query, and {@code query} is empty if there is none. */
  public record Request(String method, String path, String query, byte[] body) {}

  /**
   * A response with a JSON body; {@code retryAfterS} is the value of the Retry-After header, and 0
   * means no such header.
   */
  public record Response(int status, byte[] body, int retryAfterS) {
    /** Creates a response without a Retry-After header. */
    public static Response of(int status, Map<String, Object> body) {
      return new Response(status, Json.encode(body), 0);
    }

    /**
     * Creates a response with an error text, and with a Retry-After header if its status is 503.
     */
    public static Response error(int status, String message) {
      int retryAfterS = status == 503 ? RETRY_AFTER_S : 0;
      return new Response(status, Json.encode(Map.of("error", message)), retryAfterS);
    }
  }

  private final ServerSocket serverSocket;
  private final Handler handler;
  private final ConnectionSlots slots;
  private final Predicate<String> isReservedPath;
  private final ConnectionThreads threads;
  private final Map<Connection, Socket> openSockets = new ConcurrentHashMap<>();
  private volatile boolean isClosed;
  private long lastSummaryNs = System.nanoTime();

  /** Creates a server for up to {@code capacity} connections, without reserved slots. */
  public HttpServer(String host, int port, int capacity, Handler handler) throws IOException {
    this(
        host,
        port,
        new ConnectionSlots(capacity, capacity),
        path -> false,
        handler,
        Threads.connectionThreadFactory());
  }

  /**
   * Creates a server on which connections that send requests for reserved paths use the reserved
   * slots.
   */
  public HttpServer(
      String host,
      int port,
      ConnectionSlots slots,
      Predicate<String> isReservedPath,
      Handler handler)
      throws IOException {
    this(host, port, slots, isReservedPath, handler, Threads.connectionThreadFactory());
  }

  HttpServer(
      String host,
      int port,
      ConnectionSlots slots,
      Predicate<String> isReservedPath,
      Handler handler,
      ThreadFactory threads)
      throws IOException {
    this.handler = handler;
    this.slots = slots;
    this.isReservedPath = isReservedPath;
    this.threads = new ConnectionThreads(threads);
    this.serverSocket = listen(host, port, LISTEN_BACKLOG_CONNECTIONS);
  }

  /** Opens a socket that listens on an address; the socket is closed if binding fails. */
  public static ServerSocket listen(String host, int port, int backlog) throws IOException {
    ServerSocket serverSocket = new ServerSocket();
    try {
      serverSocket.setReuseAddress(true);
      serverSocket.bind(new InetSocketAddress(InetAddress.getByName(host), port), backlog);
      return serverSocket;
    } catch (IOException e) {
      serverSocket.close();
      throw e;
    }
  }

  /** Returns the port that the server listens on, also if the system chose it. */
  public int port() {
    return serverSocket.getLocalPort();
  }

  /** Starts accepting connections. */
  public void start() {
    Threads.startLoop("http-accept", this::acceptLoop);
    Threads.startLoop("http-reaper", this::reapLoop);
  }

  private void reapLoop() throws InterruptedException {
    while (!isClosed) {
      Thread.sleep(CONNECTION_REAP_INTERVAL_MS);
      long nowNs = System.nanoTime();
      for (Map.Entry<Connection, Socket> entry : openSockets.entrySet()) {
        if (entry.getKey().isOverdue(nowNs)) {
          LOG.debug("closing a connection that was idle or slow for too long");
          shutDownInput(entry.getValue());
        }
      }
    }
  }

  /**
   * Ends the pending read of the thread that serves the connection; that thread then closes the
   * socket.
   */
  private static void shutDownInput(Socket socket) {
    try {
      socket.shutdownInput();
    } catch (IOException e) {
      LOG.debug("connection shutdown failed: {}", e.toString());
    }
  }

  @Override
  public void close() throws IOException {
    isClosed = true;
    serverSocket.close();
    for (Socket socket : openSockets.values()) {
      socket.close();
    }
  }

  private void acceptLoop() {
    while (!isClosed) {
      try {
        Socket socket = serverSocket.accept();
        Connection connection = new Connection(System.nanoTime());
        openSockets.put(connection, socket);
        admit(connection, socket);
        logConnections();
      } catch (IOException | ThreadUnavailableException e) {
        if (!isClosed) {
          LOG.info("accepting a connection failed; will retry: {}", e.toString());
          Threads.backOff();
        }
      }
    }
  }

  private void admit(Connection connection, Socket socket) {
    for (Connection evicted : slots.admit(connection)) {
      closeWithoutSlot(evicted);
    }
    if (!openSockets.containsKey(connection)) {
      return; // rejected: no other connection could be evicted
    }
    try {
      connection.setBeingServed(true);
      threads.execute(() -> serve(connection, socket));
    } catch (ThreadUnavailableException e) {
      // Without a thread to serve it, an open connection would hang its client and hold its slot
      // indefinitely.
      slots.release(connection);
      connection.setBeingServed(false);
      closeWithoutSlot(connection);
      throw e;
    }
  }

  /**
   * Closes a connection that has no slot. An idle connection is closed by the thread that serves
   * it; a connection without a thread is answered with 503 and closed here.
   */
  private void closeWithoutSlot(Connection connection) {
    Socket socket = openSockets.remove(connection);
    if (socket != null && connection.isBeingServed()) {
      shutDownInput(socket);
    } else if (socket != null) {
      try (socket) {
        sendResponse(socket, Response.error(503, "no place for more connections"), true);
      } catch (IOException e) {
        LOG.debug("connection shutdown failed: {}", e.toString());
      }
    }
  }

  private void logConnections() {
    long nowNs = System.nanoTime();
    if (nowNs - lastSummaryNs >= LogIntervals.SUMMARY_INTERVAL_MS * 1_000_000) {
      lastSummaryNs = nowNs;
      LOG.info("connections: {} threads={}", slots, Thread.activeCount());
    }
  }

  private void serve(Connection connection, Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      HttpMessageReader reader = new HttpMessageReader(socket);
      while (!isClosed) {
        connection.onIdle(System.nanoTime());
        if (!reader.awaitFirstByte()) {
          return;
        }
        connection.onRequestStarted(System.nanoTime());
        boolean keepAlive = handleRequest(connection, socket, reader);
        if (!keepAlive) {
          return;
        }
      }
    } catch (IOException e) {
      LOG.debug("serving a connection failed; closing it: {}", e.toString());
    } finally {
      openSockets.remove(connection);
      slots.release(connection);
    }
  }

  private boolean handleRequest(Connection connection, Socket socket, HttpMessageReader reader)
      throws IOException {
    HttpMessageReader.Message message;
    Request request;
    try {
      message = reader.readRequest(MAX_REQUEST_BODY_BYTES);
      request = parseRequest(message);
    } catch (HttpException e) {
      sendResponse(socket, Response.error(e.status(), e.getMessage()), true);
      return false;
    }
    connection.onRequestRead();
    for (Connection evicted : slots.onRequest(connection, isReservedPath.test(request.path()))) {
      if (evicted == connection) {
        sendResponse(socket, Response.error(503, "no place for more connections"), true);
        return false;
      }
      closeWithoutSlot(evicted);
    }
    Response response = handle(request);
    boolean close = message.closesConnection() || !slots.mayKeepAlive(connection);
    sendResponse(socket, response, close);
    return !close;
  }

  private static Request parseRequest(HttpMessageReader.Message message) throws HttpException {
    String[] requestLine = message.startLine().split(" ", -1);
    if (requestLine.length != 3
        || !requestLine[2].startsWith("HTTP/1.")
        || !requestLine[1].startsWith("/")) {
      throw new HttpException(400, "bad request line");
    }
    String target = requestLine[1];
    int queryIndex = target.indexOf('?');
    String path = queryIndex < 0 ? target : target.substring(0, queryIndex);
    String query = queryIndex < 0 ? "" : target.substring(queryIndex + 1);
    return new Request(requestLine[0], path, query, message.body());
  }

  private Response handle(Request request) {
    try {
      return handler.handle(request);
    } catch (Exception e) {
      LOG.error(
          "handling a request failed: method={} path={}", request.method(), request.path(), e);
      return Response.error(503, "internal error");
    }
  }

  private static void sendResponse(Socket socket, Response response, boolean close)
      throws IOException {
    StringBuilder head = new StringBuilder(128);
    head.append("HTTP/1.1 ")
        .append(response.status())
        .append(' ')
        .append(reasonPhrase(response.status()));
    head.append("\r\nContent-Type: application/json\r\nContent-Length: ")
        .append(response.body().length);
    if (response.retryAfterS() > 0) {
      head.append("\r\nRetry-After: ").append(response.retryAfterS());
    }
    if (close) {
      head.append("\r\nConnection: close");
    }
    head.append("\r\n\r\n");
    HttpClient.writeMessage(socket, head.toString(), response.body());
  }

  private static String reasonPhrase(int status) {
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
