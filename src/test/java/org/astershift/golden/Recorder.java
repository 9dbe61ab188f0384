package org.astershift.golden;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.Collectors;
import org.astershift.config.Settings;
import org.astershift.emulator.Emulators;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Request;
import org.astershift.http.HttpServer.Response;

/** A server that records the requests to it and sends the responses that were queued. */
public final class Recorder implements AutoCloseable {
  private final HttpServer server;
  private final Deque<Response> queuedResponses = new ArrayDeque<>();
  private final List<String> requests = new ArrayList<>();
  private Response defaultResponse = Response.error(500, "no response was queued");

  public Recorder() throws IOException {
    this.server = new HttpServer("127.0.0.1", 0, 10, this::handle);
    server.start();
  }

  /** Returns the settings of a node whose store and cloud are this server. */
  public Settings settings(Path dir) throws Exception {
    return Emulators.settings(dir, server.port(), server.port());
  }

  /** Queues a response; each request takes the next one of the queue. */
  public synchronized void enqueueResponse(int status, String body) {
    queuedResponses.add(new Response(status, body.getBytes(StandardCharsets.UTF_8), 0));
  }

  /** Sets the response to each request that finds the queue empty. */
  public synchronized void setDefaultResponse(int status, String body) {
    defaultResponse = new Response(status, body.getBytes(StandardCharsets.UTF_8), 0);
  }

  private synchronized Response handle(Request request) {
    String query = request.query().isEmpty() ? "" : "?" + request.query();
    String body = new String(request.body(), StandardCharsets.UTF_8);
    requests.add((request.method() + " " + request.path() + query + " " + body).trim());
    Response next = queuedResponses.poll();
    return next == null ? defaultResponse : next;
  }

  /** Returns the requests since the last call, each once however often it was repeated. */
  public synchronized String takeDistinctRequests() {
    String text = requests.stream().distinct().collect(Collectors.joining(" & "));
    requests.clear();
    return text;
  }

  /** Returns the requests since the last call. */
  public synchronized String takeRequests() {
    String text = String.join(" & ", requests);
    requests.clear();
    return text;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
