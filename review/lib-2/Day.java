import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One run: controllers as processes, stand-ins of store, cloud and workers, users, and checks. */
final class Day {
  /** A problem that keeps the case from running. */
  static final class NotRun extends RuntimeException {
    NotRun(String message) {
      super(message);
    }
  }

  final int nodes = 3;
  final Record record;
  final Jobs jobs = new Jobs();
  double reportS = 2.5;
  double leaseS = 14;
  double cancelS = 44;
  double rps = 250;
  double writeRps = 100;
  double valueKb = 32;
  int txnOps = 12;
  double cloudRps = 5;
  double listLagS = 3;
  double ramMb = 263;
  int sockets = 1500;
  String teams = team("team-a", 0);
  String objectives = "";
  Store store;
  Cloud cloud;
  private final Path dir;
  private final List<Integer> ports = new ArrayList<>();
  private final Process[] processes = new Process[nodes];
  private int starts;
  private final Map<String, String> onMachine = new HashMap<>();
  private final Map<String, Integer> startCounts = new ConcurrentHashMap<>();
  private final Map<String, Integer> doneCounts = new ConcurrentHashMap<>();
  private final Map<String, Long> lastStartMs = new ConcurrentHashMap<>();
  final List<String> broken = new ArrayList<>();

  Day(Record record) throws Exception {
    this.record = record;
    this.dir = Files.createTempDirectory("astershift-review");
    // Below the range from which the system takes ports for others, so that none is taken meanwhile.
    Random random = new Random(System.nanoTime() ^ ProcessHandle.current().pid());
    while (ports.size() < 2 * nodes) {
      int port = 12_000 + random.nextInt(20_000);
      if (!ports.contains(port) && isFree(port)) {
        ports.add(port);
      }
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket =
        new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  static String team(String name, double cpusMax) {
    return "[[facts.teams]]\nname = \"" + name + "\"\ncpus = 0.0\ncpus_max = " + cpusMax
        + "\ngpus = 0.0\ngpus_max = 0.0\n";
  }

  void open() throws Exception {
    store = new Store(rps, writeRps, valueKb, txnOps, nodes, record);
    cloud = new Cloud(this);
  }

  int port(int node) {
    return ports.get(node);
  }

  int nodeNamed(String member) {
    return member != null && member.matches("berth-[0-9]") ? member.charAt(6) - '0' : -1;
  }

  void startAll() throws Exception {
    for (int node = 0; node < nodes; node++) {
      start(node);
    }
  }

  void start(int node) throws Exception {
    StringBuilder text = new StringBuilder();
    text.append("member = \"berth-").append(node).append("\"\ndomain = \"a\"\n");
    text.append("public_addr = \"127.0.0.1:").append(ports.get(node)).append("\"\n");
    text.append("internal_addr = \"127.0.0.1:").append(ports.get(nodes + node)).append("\"\n");
    for (int other = 0; other < nodes; other++) {
      if (other != node) {
        text.append("[[others]]\nmember = \"berth-").append(other).append("\"\ndomain = \"a\"\n");
        text.append("endpoint = \"127.0.0.1:").append(ports.get(nodes + other)).append("\"\n");
      }
    }
    text.append("[external]\ncloud = \"127.0.0.1:").append(cloud.server.port()).append("\"\n");
    text.append("state = \"127.0.0.1:").append(store.port(node)).append("\"\n");
    text.append("[facts]\nsize = 3\nzones = [\"a\"]\ntime_bound_ms = 5.0\n").append(teams);
    text.append(objectives);
    text.append("[facts.workers]\nreport_s = ").append(reportS).append("\nlease_s = ");
    text.append(leaseS).append("\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = ");
    text.append(cancelS).append("\n[facts.state]\nrps = ").append(rps).append("\nwrite_rps = ");
    text.append(writeRps).append("\nvalue_kb = ").append(valueKb).append("\ntxn_ops = ");
    text.append(txnOps).append("\n[facts.cloud]\nrps = ").append(cloudRps);
    text.append("\nlist_lag_s = ").append(listLagS);
    text.append("\n[facts.resources]\ncpu_share = 0.176\nram_mb = ").append(ramMb);
    text.append("\nsockets = ").append(sockets).append("\n");
    Path file = Files.writeString(dir.resolve("berth-" + node + ".toml"), text);
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/service.toml")));
    if (!run.find()) {
      throw new NotRun("deploy/service.toml has no run command");
    }
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
    command.add(file.toString());
    File log = dir.resolve("berth-" + node + "-" + ++starts + ".log").toFile();
    processes[node] =
        new ProcessBuilder(command)
            .redirectError(log)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    record.line("berth-%d started", node);
  }

  void kill(int node) throws Exception {
    processes[node].destroyForcibly().waitFor();
    record.line("berth-%d killed", node);
  }

  void signal(int node, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(processes[node].pid())).start().waitFor();
    record.line("berth-%d got SIG%s", node, name);
  }

  boolean isAlive(int node) {
    return processes[node].isAlive();
  }

  /** Returns the log lines of all controllers, those of the newest process last. */
  List<String> logLines() throws IOException {
    List<String> lines = new ArrayList<>();
    try (Stream<Path> files = Files.list(dir)) {
      for (Path file :
          files.filter(f -> f.toString().endsWith(".log")).sorted().toList()) {
        for (String line : Files.readAllLines(file, java.nio.charset.StandardCharsets.ISO_8859_1)) {
          lines.add(file.getFileName() + ": " + line);
        }
      }
    }
    return lines;
  }

  void recordLog(String pattern, int limit) throws IOException {
    Pattern wanted = Pattern.compile(pattern);
    int count = 0;
    for (String line : logLines()) {
      if (wanted.matcher(line).find()) {
        if (count++ < limit) {
          record.line("log of %s", line.length() > 300 ? line.substring(0, 300) : line);
        }
      }
    }
    record.line("log lines that match \"%s\": %d", pattern, count);
  }

  void awaitReady(int timeoutMs) {
    long until = Util.ms() + timeoutMs;
    for (int node = 0; node < nodes; node++) {
      while (true) {
        try {
          if (Http.once(port(node), "GET", "/ready", null, 1000).status() == 200) {
            break;
          }
        } catch (IOException e) {
          // not up yet
        }
        if (Util.ms() > until) {
          throw new NotRun("berth-" + node + " is not ready");
        }
        Util.sleep(50);
      }
    }
    record.line("all controllers are ready");
  }

  /** Submits as a user does: repeated for up to 60 s; returns the last status, or 0. */
  int submit(Jobs.Job job) {
    long until = Util.ms() + 60_000;
    int node = Math.floorMod(job.id.hashCode(), nodes);
    int last = 0;
    while (Util.ms() < until) {
      try {
        Http.Response response = Http.once(port(node), "POST", "/v2/runs", job.body(), 5000);
        last = response.status();
        record.limited(
            "submit", 400, "submit %s (%d shards) to berth-%d: %d %s",
            job.id, job.shards, node, response.status(), response.body());
        if (last == 200 || last == 201 || last == 400 || last == 422) {
          return last;
        }
      } catch (IOException e) {
        record.limited("submit", 400, "submit %s to berth-%d: %s", job.id, node, e);
      }
      Util.sleep(1000);
      node = (node + 1) % nodes;
    }
    return last;
  }

  /** Asks once, at each node, for a job to be cancelled; returns whether that was confirmed. */
  boolean withdraw(String id) {
    for (int node = 0; node < nodes; node++) {
      try {
        Http.Response response =
            Http.once(port(node), "POST", "/v2/runs/" + id + "/withdraw", "", 5000);
        record.line("withdraw %s at berth-%d: %d %s", id, node, response.status(), response.body());
        if (response.status() == 200) {
          return true;
        }
      } catch (IOException e) {
        record.line("withdraw %s at berth-%d: %s", id, node, e);
      }
    }
    Util.sleep(1000);
    return false;
  }

  /** Polls once as a user does; returns the phase, the status if not 200, or "none". */
  String poll(int node, String id) {
    try {
      Http.Response response = Http.once(port(node), "GET", "/v2/runs/" + id, null, 2000);
      return response.status() == 200
          ? String.valueOf(Json.map(response.body()).get("phase"))
          : String.valueOf(response.status());
    } catch (IOException | RuntimeException e) {
      return "none";
    }
  }

  String pollText(int node, String id) {
    try {
      Http.Response response = Http.once(port(node), "GET", "/v2/runs/" + id, null, 2000);
      return response.status() + " " + response.body();
    } catch (IOException e) {
      return e.toString();
    }
  }

  synchronized void onMachine(Worker worker, Worker.Task task) {
    String other = onMachine.put(task.shard, worker.name);
    startCounts.merge(task.job.id, 1, Integer::sum);
    lastStartMs.put(task.job.id, Util.ms());
    record.limited(
        "start " + task.job.id, 3, "%s starts %s (launch %d)", worker.name, task.shard,
        task.launch);
    if (other != null && !other.equals(worker.name)) {
      record.line("RAN TWICE: %s starts on %s while it is on %s", task.shard, worker.name, other);
      broken.add("ran_twice " + task.shard);
    }
  }

  synchronized void offMachine(Worker worker, Worker.Task task) {
    onMachine.remove(task.shard, worker.name);
  }

  synchronized boolean isOnMachine(String shard) {
    return onMachine.containsKey(shard);
  }

  void done(Worker.Task task) {
    doneCounts.merge(task.job.id, 1, Integer::sum);
  }

  int startsOf(String id) {
    return startCounts.getOrDefault(id, 0);
  }

  int donesOf(String id) {
    return doneCounts.getOrDefault(id, 0);
  }

  long totalStarts() {
    return startCounts.values().stream().mapToLong(n -> n).sum();
  }

  long totalDone() {
    return doneCounts.values().stream().mapToLong(n -> n).sum();
  }

  void close() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs in " + dir);
      return;
    }
    try (Stream<Path> files = Files.walk(dir)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    } catch (IOException e) {
      // a temporary folder
    }
  }
}
