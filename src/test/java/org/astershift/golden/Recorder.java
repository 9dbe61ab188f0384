package org.astershift.golden;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.astershift.config.Settings;
import org.astershift.emulator.Emulators;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Request;
import org.astershift.http.HttpServer.Response;

/** A server that notes what it is asked and gives the answers that it was told to give. */
public final class Recorder implements AutoCloseable {
  private final HttpServer server;
  private final Deque<Response> queuedResponses = new ArrayDeque<>();
  private final List<String> requests = new ArrayList<>();

  public Recorder() throws IOException {
    this.server = new HttpServer("127.0.0.1", 0, 10, this::handle);
    server.start();
  }

  /** Settings of a node whose state service and cloud are this server. */
  public Settings settings(Path dir) throws Exception {
    return Emulators.settings(dir, server.port(), server.port());
  }

  /** The next request without an answer of its own gets this one. */
  public synchronized void enqueueResponse(int status, String body) {
    queuedResponses.add(new Response(status, body.getBytes(StandardCharsets.UTF_8), 0));
  }

  private synchronized Response handle(Request r) {
    String query = r.query().isEmpty() ? "" : "?" + r.query();
    String body = new String(r.body(), StandardCharsets.UTF_8);
    requests.add((r.method() + " " + r.path() + query + " " + body).trim());
    Response next = queuedResponses.poll();
    return next == null ? Response.error(500, "no answer was recorded") : next;
  }

  /** What was asked since the last call. */
  public synchronized String takeRequests() {
    String all = String.join(" & ", requests);
    requests.clear();
    return all;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
