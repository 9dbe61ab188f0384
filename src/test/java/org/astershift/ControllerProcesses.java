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

/** Three real controllers, each a process on loopback, connected to emulators. */
final class ControllerProcesses implements AutoCloseable {
  static final int NODES = 3;

  private static final Pattern LEADER_LINE = Pattern.compile(" leads with token ([0-9]+)");

  private final Path dir;
  private final PortBlock portBlock;
  private final List<Integer> ports;
  private final List<Process> nodes = new ArrayList<>();
  final List<StoreEmulator.StoreAddress> storeAddresses = new ArrayList<>();
  final StoreEmulator store;
  final CloudEmulator cloud;
  private final UnaryOperator<String> settingsChange;
  private int startCount;

  /** The start number of each node's current process, which names its log. */
  private final Map<Integer, Integer> startNumbers = new HashMap<>();

  /**
   * Starts the processes, without waiting until they are ready; settings and logs are written to
   * {@code dir}.
   */
  ControllerProcesses(Path dir, long taskMs) throws Exception {
    this(dir, taskMs, s -> s);
  }

  /**
   * Starts the processes as above, with the default settings as changed by {@code settingsChange}.
   */
  ControllerProcesses(Path dir, long taskMs, UnaryOperator<String> settings) throws Exception {
    this.dir = dir;
    this.settingsChange = settings;
    portBlock = PortBlock.acquire();
    ports = portBlock.ports(2 * NODES);
    store = new StoreEmulator(0);
    cloud = new CloudEmulator(0, ports.subList(0, NODES), taskMs);
    for (int node = 0; node < NODES; node++) {
      storeAddresses.add(store.openAddress());
      nodes.add(null);
    }
    for (int node = 0; node < NODES; node++) {
      start(node);
    }
  }

  /** Returns the port for users and workers. */
  int port(int node) {
    return ports.get(node);
  }

  Process process(int node) {
    return nodes.get(node);
  }

  void kill(int node) throws Exception {
    nodes.get(node).destroyForcibly().waitFor();
  }

  /** Starts a process for a node, whether or not the previous one has ended. */
  void start(int node) throws Exception {
    StringBuilder others = new StringBuilder();
    for (int other = 0; other < NODES; other++) {
      if (other != node) {
        others.append("[[others]]\nmember = \"n").append(other).append("\"\ndomain = \"a\"\n");
        others.append("endpoint = \"127.0.0.1:").append(ports.get(NODES + other)).append("\"\n");
      }
    }
    String text =
        settingsChange
            .apply(Files.readString(Path.of("src/test/resources/first-job.toml")))
            .replace("member = \"one\"", "member = \"n" + node + "\"")
            .replace("127.0.0.1:18080", "127.0.0.1:" + ports.get(node))
            .replace("127.0.0.1:18081", "127.0.0.1:" + ports.get(NODES + node))
            .replace("127.0.0.1:18443", "127.0.0.1:" + cloud.port())
            .replace("127.0.0.1:18379", "127.0.0.1:" + storeAddresses.get(node).port())
            .replace("[external]", others + "[external]");
    Path file = Files.writeString(dir.resolve("n" + node + ".toml"), text);
    startNumbers.put(node, ++startCount);
    nodes.set(
        node,
        new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-cp",
                System.getProperty("java.class.path"),
                "org.astershift.Main",
                "--config",
                file.toString())
            .redirectError(dir.resolve(logFileName(node)).toFile())
            .start());
  }

  @Override
  public void close() throws IOException {
    for (Process process : nodes) {
      process.destroyForcibly().onExit().join();
    }
    cloud.close();
    for (StoreEmulator.StoreAddress address : storeAddresses) {
      address.close();
    }
    store.close();
    portBlock.close();
  }

  HttpClient.Response call(int node, String method, String path, String body) throws IOException {
    try (HttpClient client = new HttpClient("127.0.0.1", ports.get(node), 1)) {
      byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
      return client.call(method, path, bytes, 10_000);
    }
  }

  /** Repeats a request until it succeeds and the response contains the word. */
  void await(int node, String method, String path, String body, String word) throws Exception {
    String[] lastAnswer = {"no response"};
    String description = method + " " + path + " at node " + node + " to be answered with " + word;
    try {
      Await.until(
          description,
          () -> {
            try {
              HttpClient.Response response = call(node, method, path, body);
              lastAnswer[0] =
                  response.status() + " " + new String(response.body(), StandardCharsets.UTF_8);
              if (response.status() < 400 && lastAnswer[0].contains(word)) {
                return true;
              }
            } catch (IOException e) {
              lastAnswer[0] = e.toString(); // killed or starting: retried
            }
            assertTrue(nodes.get(node).isAlive(), "node " + node + " has ended: " + logTail(node));
            return false;
          });
    } catch (AssertionError e) {
      throw new AssertionError(e.getMessage() + "; the last answer was " + lastAnswer[0], e);
    }
  }

  void awaitStatus(int node, String path, int status) throws Exception {
    Await.until(
        "GET " + path + " at node " + node + " to be answered with " + status,
        () -> call(node, "GET", path, null).status() == status);
  }

  void awaitReady() throws Exception {
    for (int node = 0; node < NODES; node++) {
      await(node, "GET", "/ready", null, "ready");
    }
  }

  /** Returns the name of the log file of a node's current process. */
  private String logFileName(int node) {
    return "n" + node + "-" + startNumbers.get(node) + ".log";
  }

  String logText(int node) throws IOException {
    return Files.readString(dir.resolve(logFileName(node)));
  }

  private String logTail(int node) throws IOException {
    String text = logText(node);
    return text.substring(Math.max(0, text.length() - 1000));
  }

  /** Returns whether the node's current process has been leader. */
  boolean hasLed(int node) throws IOException {
    return LEADER_LINE.matcher(logText(node)).find();
  }

  /** Returns the node whose log has the highest fencing token. */
  int leader() throws IOException {
    int leader = 0;
    long highestToken = 0;
    for (int node = 0; node < NODES; node++) {
      Matcher matcher = LEADER_LINE.matcher(logText(node));
      while (matcher.find()) {
        if (Long.parseLong(matcher.group(1)) > highestToken) {
          highestToken = Long.parseLong(matcher.group(1));
          leader = node;
        }
      }
    }
    return leader;
  }

  static String jobJson(String id, String shape, int tasks) {
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
