package org.astershift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.astershift.emulator.Await;
import org.astershift.emulator.CloudEmulator;
import org.astershift.emulator.PortBlock;
import org.astershift.emulator.StoreEmulator;
import org.astershift.http.HttpClient;

/**
 * Three real controllers, a process each, on loopback against stand-ins. Whoever waits here waits
 * for what must come, however slow the machine is, but not for ever: what did not come is named.
 */
final class ControllerProcesses implements AutoCloseable {
  static final int NODES = 3;

  private static final Pattern LEADS = Pattern.compile(" leads with token ([0-9]+)");

  private final Path dir;
  private final PortBlock block;
  private final List<Integer> ports;
  private final List<Process> nodes = new ArrayList<>();
  final List<StoreEmulator.StoreAddress> doors = new ArrayList<>();
  final StoreEmulator store;
  final CloudEmulator cloud;
  private final UnaryOperator<String> settings;
  private int starts;

  /** Which start of all the one of each node was that now runs. */
  private final Map<Integer, Integer> logs = new HashMap<>();

  /** {@code dir}: for settings and logs. They are asked to start, and may not be ready yet. */
  ControllerProcesses(Path dir, long taskMs) throws Exception {
    this(dir, taskMs, s -> s);
  }

  /** {@code settings}: what is changed of the settings of the first job. */
  ControllerProcesses(Path dir, long taskMs, UnaryOperator<String> settings) throws Exception {
    this.dir = dir;
    this.settings = settings;
    block = PortBlock.take();
    ports = block.ports(2 * NODES);
    store = new StoreEmulator(0);
    cloud = new CloudEmulator(0, ports.subList(0, NODES), taskMs);
    for (int i = 0; i < NODES; i++) {
      doors.add(store.door());
      nodes.add(null);
    }
    for (int i = 0; i < NODES; i++) {
      start(i);
    }
  }

  /** The port on which users and workers find it. */
  int port(int node) {
    return ports.get(node);
  }

  Process process(int node) {
    return nodes.get(node);
  }

  void kill(int node) throws Exception {
    nodes.get(node).destroyForcibly().waitFor();
  }

  /** Starts a process for this node, whether or not the former one has ended. */
  void start(int i) throws Exception {
    StringBuilder others = new StringBuilder();
    for (int j = 0; j < NODES; j++) {
      if (j != i) {
        others.append("[[others]]\nmember = \"n").append(j).append("\"\ndomain = \"a\"\n");
        others.append("endpoint = \"127.0.0.1:").append(ports.get(NODES + j)).append("\"\n");
      }
    }
    String text =
        settings
            .apply(Files.readString(Path.of("src/test/resources/first-job.toml")))
            .replace("member = \"one\"", "member = \"n" + i + "\"")
            .replace("127.0.0.1:18080", "127.0.0.1:" + ports.get(i))
            .replace("127.0.0.1:18081", "127.0.0.1:" + ports.get(NODES + i))
            .replace("127.0.0.1:18443", "127.0.0.1:" + cloud.port())
            .replace("127.0.0.1:18379", "127.0.0.1:" + doors.get(i).port())
            .replace("[external]", others + "[external]");
    Path file = Files.writeString(dir.resolve("n" + i + ".toml"), text);
    logs.put(i, ++starts);
    nodes.set(
        i,
        new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-cp",
                System.getProperty("java.class.path"),
                "org.astershift.Main",
                "--config",
                file.toString())
            .redirectError(dir.resolve(log(i)).toFile())
            .start());
  }

  @Override
  public void close() throws IOException {
    for (Process p : nodes) {
      p.destroyForcibly().onExit().join();
    }
    cloud.close();
    for (StoreEmulator.StoreAddress door : doors) {
      door.close();
    }
    store.close();
    block.close();
  }

  HttpClient.Response call(int node, String method, String path, String body) throws IOException {
    try (HttpClient client = new HttpClient("127.0.0.1", ports.get(node), 1)) {
      byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
      return client.call(method, path, bytes, 10_000);
    }
  }

  /** Repeats a request, as users do, until the answer holds the word. */
  void await(int node, String method, String path, String body, String word) throws Exception {
    String[] last = {"no answer"};
    String what = method + " " + path + " at node " + node + " to be answered with " + word;
    try {
      Await.until(
          what,
          () -> {
            try {
              HttpClient.Response a = call(node, method, path, body);
              last[0] = a.status() + " " + new String(a.body(), StandardCharsets.UTF_8);
              if (a.status() < 400 && last[0].contains(word)) {
                return true;
              }
            } catch (IOException e) {
              last[0] = e.toString(); // not up, or killed: asked again
            }
            assertTrue(nodes.get(node).isAlive(), "node " + node + " has ended: " + tail(node));
            return false;
          });
    } catch (AssertionError e) {
      throw new AssertionError(e.getMessage() + "; the last answer was " + last[0], e);
    }
  }

  void awaitStatus(int node, String path, int status) throws Exception {
    Await.until(
        "GET " + path + " at node " + node + " to be answered with " + status,
        () -> call(node, "GET", path, null).status() == status);
  }

  void awaitReady() throws Exception {
    for (int i = 0; i < NODES; i++) {
      await(i, "GET", "/ready", null, "ready");
    }
  }

  /** The log of the process that now stands for this node. */
  private String log(int node) {
    return "n" + node + "-" + logs.get(node) + ".log";
  }

  String said(int node) throws IOException {
    return Files.readString(dir.resolve(log(node)));
  }

  private String tail(int node) throws IOException {
    String all = said(node);
    return all.substring(Math.max(0, all.length() - 1000));
  }

  /** Whether this process has led at some time. */
  boolean hasLed(int node) throws IOException {
    return LEADS.matcher(said(node)).find();
  }

  /** The node that was the last to begin to lead. */
  int leader() throws IOException {
    int found = 0;
    long most = 0;
    for (int i = 0; i < NODES; i++) {
      Matcher m = LEADS.matcher(said(i));
      while (m.find()) {
        if (Long.parseLong(m.group(1)) > most) {
          most = Long.parseLong(m.group(1));
          found = i;
        }
      }
    }
    return found;
  }

  static String job(String id, String shape, int tasks) {
    return "{\"id\":\""
        + id
        + "\",\"berth_class\":\"c\",\"crew\":\"demo\",\"shape\":\""
        + shape
        + "\",\"rank\":\"standard\",\"shards\":"
        + tasks
        + ",\"vcpus\":1,\"gpus\":0,\"mem_gb\":1,"
        + "\"one_zone\":false,\"apart\":false,\"ebbtide\":false,"
        + "\"payload\":\"i\",\"image_gb\":1,\"expect_s\":1,\"anchor_s\":0,\"stow_s\":0}";
  }
}
