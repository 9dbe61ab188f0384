import java.io.IOException;
import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The controllers of a deployment, each a process started with the run command of the deploy file,
 * and requests of users to them.
 */
final class Site implements AutoCloseable {
  private final Log log;
  private final Path directory;
  private final List<String> command;
  private final List<Process> processes = new ArrayList<>();
  private final List<Path> settings = new ArrayList<>();
  private final List<Integer> startCounts = new ArrayList<>();
  final List<String> names = new ArrayList<>();
  final int[] publicPorts;
  final int[] internalPorts;

  /** The ports at which one controller reaches another: internalPorts, or those of a proxy. */
  final int[][] peerPorts;

  final int size;

  Site(int size, Log log) throws IOException {
    this.size = size;
    this.log = log;
    this.directory = Files.createTempDirectory("astershift-review");
    String deploy = Files.readString(Path.of("deploy/service.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("deploy/service.toml has no run command");
    }
    this.command = List.of(run.group(1).trim().split(" +"));
    this.publicPorts = new int[size];
    this.internalPorts = new int[size];
    this.peerPorts = new int[size][];
    for (int node = 0; node < size; node++) {
      names.add("berth-" + node);
      publicPorts[node] = Net.freePort();
      internalPorts[node] = Net.freePort();
      processes.add(null);
      startCounts.add(0);
    }
    for (int node = 0; node < size; node++) {
      peerPorts[node] = internalPorts.clone();
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  /**
   * Writes the settings of all controllers. {@code facts} is the text of the tables below facts;
   * {@code zones} are the zones of the deployment.
   */
  void configure(List<String> zones, int cloudPort, int[] storePorts, String facts)
      throws IOException {
    for (int node = 0; node < size; node++) {
      StringBuilder text = new StringBuilder();
      text.append("member = \"").append(names.get(node)).append("\"\n");
      text.append("domain = \"").append(zones.get(node % zones.size())).append("\"\n");
      text.append("public_addr = \"127.0.0.1:").append(publicPorts[node]).append("\"\n");
      text.append("internal_addr = \"127.0.0.1:").append(internalPorts[node]).append("\"\n");
      for (int other = 0; other < size; other++) {
        if (other != node) {
          text.append("[[others]]\nmember = \"").append(names.get(other)).append("\"\n");
          text.append("domain = \"").append(zones.get(other % zones.size())).append("\"\n");
          text.append("endpoint = \"127.0.0.1:").append(peerPorts[node][other]).append("\"\n");
        }
      }
      text.append("[external]\ncloud = \"127.0.0.1:").append(cloudPort).append("\"\n");
      text.append("state = \"127.0.0.1:").append(storePorts[node]).append("\"\n");
      text.append("[facts]\nsize = ").append(size).append("\nzones = [");
      for (int i = 0; i < zones.size(); i++) {
        text.append(i == 0 ? "\"" : ", \"").append(zones.get(i)).append('"');
      }
      text.append("]\ntime_bound_ms = 5.0\n").append(facts);
      settings.add(Files.writeString(directory.resolve("node" + node + ".toml"), text.toString()));
    }
  }

  void start(int node) throws IOException {
    startCounts.set(node, startCounts.get(node) + 1);
    List<String> full = new ArrayList<>(command);
    full.add(settings.get(node).toString());
    ProcessBuilder builder = new ProcessBuilder(full);
    builder.environment().putIfAbsent("LOG_LEVEL", "info");
    File logFile = directory.resolve("node" + node + "-" + startCounts.get(node) + ".log").toFile();
    builder.redirectError(logFile).redirectOutput(ProcessBuilder.Redirect.DISCARD);
    processes.set(node, builder.start());
    log.line("controller " + names.get(node) + " starts");
  }

  void startAll() throws Exception {
    for (int node = 0; node < size; node++) {
      start(node);
    }
    for (int node = 0; node < size; node++) {
      awaitReady(node, 30);
    }
  }

  boolean awaitReady(int node, double timeoutS) throws InterruptedException {
    double untilS = log.seconds() + timeoutS;
    while (log.seconds() < untilS) {
      if (Net.call(publicPorts[node], "GET", "/ready", null, 1000).status() == 200) {
        log.line("controller " + names.get(node) + " is ready");
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  boolean isAlive(int node) {
    return processes.get(node).isAlive();
  }

  void kill(int node) throws InterruptedException {
    log.line("controller " + names.get(node) + " is killed");
    processes.get(node).destroyForcibly().waitFor();
  }

  /** Sends a signal (STOP, CONT) to a controller's process. */
  void signal(int node, String signal) throws Exception {
    log.line("controller " + names.get(node) + " gets signal " + signal);
    new ProcessBuilder("kill", "-" + signal, String.valueOf(processes.get(node).pid()))
        .start()
        .waitFor();
  }

  String logText(int node) throws IOException {
    return Files.readString(
        directory.resolve("node" + node + "-" + startCounts.get(node) + ".log"));
  }

  /** A user's request, recorded. */
  Net.Answer request(int node, String method, String path, String body, int timeoutMs) {
    log.line("user -> " + names.get(node) + ": " + method + " " + path + (body == null ? "" : " " + body));
    Net.Answer answer = Net.call(publicPorts[node], method, path, body, timeoutMs);
    log.line("user <- " + names.get(node) + ": " + path + ": " + answer);
    return answer;
  }

  /**
   * Submits a job as a user does: retries after 1 s, for up to 60 s in total. Returns the last
   * answer.
   */
  Net.Answer submit(int firstNode, String id, String body) throws InterruptedException {
    double untilS = log.seconds() + 60;
    int node = firstNode;
    while (true) {
      Net.Answer answer = request(node, "POST", "/v2/runs", body, 5000);
      boolean settled = List.of(200, 201, 400, 422).contains(answer.status());
      if (settled || log.seconds() > untilS) {
        return answer;
      }
      Thread.sleep(1000);
      node = (node + 1) % size;
    }
  }

  private void killAll() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly().waitFor();
      }
    }
    String keep = System.getenv("KEEP_LOGS");
    if (keep != null) {
      System.err.println("logs: " + directory);
      return;
    }
    try (Stream<Path> files = Files.walk(directory)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
