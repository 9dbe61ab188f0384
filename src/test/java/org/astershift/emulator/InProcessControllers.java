package org.astershift.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.astershift.api.PublicApi;
import org.astershift.config.ConfigurationException;
import org.astershift.config.OperatorSettings;
import org.astershift.config.Settings;
import org.astershift.controller.ControllerRuntime;
import org.astershift.controller.JobService;
import org.astershift.http.HttpClient;
import org.astershift.http.HttpServer;
import org.astershift.http.Json;
import org.astershift.peer.JobAnswer;
import org.astershift.peer.PeerOperation;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;

/**
 * Real controllers in this process, at ports that the system chooses. Users, workers, the state
 * service and the cloud are behind sockets; what controllers ask each other is a plain call.
 */
public final class InProcessControllers implements AutoCloseable {
  private static final long PATIENCE_MS = 60_000;

  /** Whatever the controllers start is in here, so that it can be ended. */
  private final ThreadGroup threads = new ThreadGroup("controllers");

  private final List<HttpServer> servers = new ArrayList<>();
  private final Map<String, JobService> desks = new HashMap<>();

  /** {@code ports} gets theirs; {@code more}: tables that the settings have besides. */
  public InProcessControllers(
      int count, int storePort, int cloudPort, List<Integer> ports, String more, Path dir)
      throws Exception {
    Exception[] failure = new Exception[1];
    Thread starter =
        new Thread(
            threads,
            () -> {
              try {
                for (int i = 0; i < count; i++) {
                  start(settings(i, count, storePort, cloudPort, more, dir));
                }
              } catch (IOException | ConfigurationException e) {
                failure[0] = e;
              }
            });
    starter.start();
    starter.join();
    if (failure[0] != null) {
      throw failure[0];
    }
    servers.forEach(s -> ports.add(s.port()));
    for (int i = 0; i < count; i++) {
      await(i, "GET", "/ready", null, 200, "ready");
    }
  }

  private static Settings settings(
      int i, int count, int storePort, int cloudPort, String more, Path dir)
      throws IOException, ConfigurationException {
    StringBuilder others = new StringBuilder();
    for (int j = 0; j < count; j++) {
      if (j != i) {
        others.append("[[others]]\nmember = \"n").append(j).append("\"\ndomain = \"a\"\n");
        others.append("endpoint = \"127.0.0.1:1\"\n");
      }
    }
    String text =
        Files.readString(Path.of("src/test/resources/first-job.toml"))
            .replace("member = \"one\"", "member = \"n" + i + "\"")
            .replace("127.0.0.1:18443", "127.0.0.1:" + cloudPort)
            .replace("127.0.0.1:18379", "127.0.0.1:" + storePort)
            .replace("[external]", others + "[external]")
            .replace("[facts.workers]", more + "[facts.workers]");
    return Settings.load(Files.writeString(dir.resolve("n" + i + ".toml"), text));
  }

  private void start(Settings settings) throws IOException {
    StoreClient store = new StoreClient(settings);
    Map<String, JobService.PeerChannel> askers = new HashMap<>();
    for (Settings.Peer p : settings.peers()) {
      askers.put(p.nodeName(), (op, job, timeoutMs) -> asked(p.nodeName(), op, job));
    }
    ControllerRuntime director =
        new ControllerRuntime(
            settings, OperatorSettings.defaults(), store, new WatchCache(store), askers);
    JobService desk = new JobService(director, store, askers);
    synchronized (desks) {
      desks.put(settings.nodeName(), desk);
    }
    PublicApi api = new PublicApi(director, desk, settings.limits().teams());
    HttpServer http = new HttpServer("127.0.0.1", 0, 100, api);
    servers.add(http);
    director.start();
    http.start();
  }

  private JobAnswer asked(String node, PeerOperation op, String job) throws IOException {
    JobService desk;
    synchronized (desks) {
      desk = desks.get(node);
    }
    if (desk == null) {
      throw new IOException("not up yet");
    }
    try {
      return desk.answerPeer(op, job);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("ends");
    }
  }

  /** One request of a user, on a connection of its own. */
  public HttpClient.Response call(int node, String method, String path, String body)
      throws IOException {
    try (HttpClient client = new HttpClient("127.0.0.1", servers.get(node).port(), 1)) {
      byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
      return client.call(method, path, bytes, 10_000);
    }
  }

  /** Repeats a request, as users do, until the answer has this status and holds the word. */
  public Map<String, Object> await(
      int node, String method, String path, String body, int status, String word) throws Exception {
    long deadline = System.nanoTime() + PATIENCE_MS * 1_000_000;
    String last = "nothing";
    while (System.nanoTime() < deadline) {
      HttpClient.Response a = call(node, method, path, body);
      last = a.status() + " " + new String(a.body(), StandardCharsets.UTF_8);
      if (a.status() == status && last.contains(word)) {
        return Json.object(a.body());
      }
      synchronized (this) {
        wait(20);
      }
    }
    throw new AssertionError(
        method + " " + path + " at " + node + ": waited for " + status + word + ", got " + last);
  }

  @Override
  public void close() throws IOException {
    for (HttpServer s : servers) {
      s.close();
    }
    threads.interrupt();
  }
}
