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
import org.astershift.peer.PeerOperation;
import org.astershift.peer.PeerResponse;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;

/**
 * Real controllers in this process, on ports chosen by the operating system. They reach users,
 * workers, store and cloud through sockets, and each other by method calls.
 */
public final class InProcessControllers implements AutoCloseable {
  private static final long TIMEOUT_MS = 60_000;

  /** All threads of the controllers, so that they can be interrupted. */
  private final ThreadGroup threads = new ThreadGroup("controllers");

  private final List<HttpServer> servers = new ArrayList<>();
  private final Map<String, JobService> jobServices = new HashMap<>();

  /**
   * Starts the controllers, waits until they are ready and adds their ports to {@code ports};
   * {@code extraTables} is inserted into the settings.
   */
  public InProcessControllers(
      int count, int storePort, int cloudPort, List<Integer> ports, String extraTables, Path dir)
      throws Exception {
    Exception[] failure = new Exception[1];
    Thread starter =
        new Thread(
            threads,
            () -> {
              try {
                for (int index = 0; index < count; index++) {
                  start(settings(index, count, storePort, cloudPort, extraTables, dir));
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
    servers.forEach(server -> ports.add(server.port()));
    for (int index = 0; index < count; index++) {
      await(index, "GET", "/ready", null, 200, "ready");
    }
  }

  private static Settings settings(
      int index, int count, int storePort, int cloudPort, String extraTables, Path dir)
      throws IOException, ConfigurationException {
    StringBuilder others = new StringBuilder();
    for (int other = 0; other < count; other++) {
      if (other != index) {
        others.append("[[others]]\nmember = \"n").append(other).append("\"\ndomain = \"a\"\n");
        others.append("endpoint = \"127.0.0.1:1\"\n");
      }
    }
    String text =
        Files.readString(Path.of("src/test/resources/first-job.toml"))
            .replace("member = \"one\"", "member = \"n" + index + "\"")
            .replace("127.0.0.1:18443", "127.0.0.1:" + cloudPort)
            .replace("127.0.0.1:18379", "127.0.0.1:" + storePort)
            .replace("[external]", others + "[external]")
            .replace("[facts.workers]", extraTables + "[facts.workers]");
    return Settings.load(Files.writeString(dir.resolve("n" + index + ".toml"), text));
  }

  private void start(Settings settings) throws IOException {
    StoreClient store = new StoreClient(settings);
    Map<String, JobService.PeerChannel> peerChannels = new HashMap<>();
    for (Settings.Peer peer : settings.peers()) {
      peerChannels.put(
          peer.nodeName(), (op, job, timeoutMs) -> answerPeer(peer.nodeName(), op, job));
    }
    ControllerRuntime controller =
        new ControllerRuntime(
            settings, OperatorSettings.defaults(), store, new WatchCache(store), peerChannels);
    JobService jobService = new JobService(controller, store, peerChannels);
    synchronized (jobServices) {
      jobServices.put(settings.nodeName(), jobService);
    }
    PublicApi api = new PublicApi(controller, jobService, settings.limits().teams());
    HttpServer http = new HttpServer("127.0.0.1", 0, 100, api);
    servers.add(http);
    controller.start();
    http.start();
  }

  private PeerResponse answerPeer(String node, PeerOperation operation, String job)
      throws IOException {
    JobService jobService;
    synchronized (jobServices) {
      jobService = jobServices.get(node);
    }
    if (jobService == null) {
      throw new IOException("the controller is not started yet");
    }
    try {
      return jobService.handlePeerRequest(operation, job);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while answering a peer");
    }
  }

  /** Sends one request on a new connection. */
  public HttpClient.Response call(int node, String method, String path, String body)
      throws IOException {
    try (HttpClient client = new HttpClient("127.0.0.1", servers.get(node).port(), 1)) {
      byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
      return client.call(method, path, bytes, 10_000);
    }
  }

  /**
   * Repeats a request until the response has this status and contains the word; returns its body.
   * Throws an AssertionError after the timeout.
   */
  public Map<String, Object> await(
      int node, String method, String path, String body, int status, String word) throws Exception {
    long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000;
    String last = "no response";
    while (System.nanoTime() < deadline) {
      HttpClient.Response response = call(node, method, path, body);
      last = response.status() + " " + new String(response.body(), StandardCharsets.UTF_8);
      if (response.status() == status && last.contains(word)) {
        return Json.object(response.body());
      }
      synchronized (this) {
        wait(20);
      }
    }
    throw new AssertionError(
        method
            + " "
            + path
            + " at "
            + node
            + ": expected "
            + status
            + " "
            + word
            + ", got "
            + last);
  }

  @Override
  public void close() throws IOException {
    for (HttpServer server : servers) {
      server.close();
    }
    threads.interrupt();
  }
}
