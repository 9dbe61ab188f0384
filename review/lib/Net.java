import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP on loopback for the stand-ins. */
final class Net {
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          runnable -> {
            Thread thread = new Thread(null, runnable, "stand-in", 256 * 1024);
            thread.setDaemon(true);
            return thread;
          });

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .executor(THREADS)
          .build();

  private Net() {}

  /** A response; a status of 0 means that none arrived. */
  record Answer(int status, String body) {
    @Override
    public String toString() {
      return status == 0 ? "no answer (" + body + ")" : status + " " + body;
    }
  }

  /** Handles a request; an answer of null closes the connection without a response. */
  interface Handler {
    Answer handle(String method, String path, String query, String body) throws Exception;
  }

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  private static void handle(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String query = exchange.getRequestURI().getQuery();
      Answer answer;
      try {
        answer =
            handler.handle(
                exchange.getRequestMethod(),
                exchange.getRequestURI().getPath(),
                query == null ? "" : query,
                body);
      } catch (Exception e) {
        answer = new Answer(400, Json.write(Json.of("error", String.valueOf(e))));
      }
      if (answer == null) {
        // A status line without a body of the announced length makes the server cut the connection.
        exchange.sendResponseHeaders(200, 1);
        return;
      }
      byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status(), bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  static Answer call(int port, String method, String path, String body, int timeoutMs) {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
              .timeout(Duration.ofMillis(timeoutMs));
      if (method.equals("GET")) {
        request.GET();
      } else {
        request.method(
            method,
            HttpRequest.BodyPublishers.ofString(body == null ? "" : body));
      }
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, e.getClass().getSimpleName());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, "interrupted");
    }
  }

  /**
   * Returns a free port below those that the system hands out by itself, so that no stand-in or
   * connection takes it while a controller is down.
   */
  static int freePort() throws IOException {
    for (int tries = 0; tries < 100; tries++) {
      int port = 12_000 + ThreadLocalRandom.current().nextInt(18_000);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress("127.0.0.1", port));
        return port;
      } catch (BindException e) {
        // taken; another one is tried
      }
    }
    throw new IOException("no free port");
  }
}
