import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The cloud of PROTOCOL-astershift.md, "Controller nodes -> cloud". */
final class Cloud {
  /** A machine type. */
  record Hull(
      String name, double cpus, double gpus, double memoryGb, double pullGbPerS, double hourly,
      double lowPrice, double readyS, List<String> zones) {}

  private final Log log;
  final Rules rules;
  private final List<Hull> hulls;
  private final long listLagMs;
  final long leaseMs;
  final long reportMs;
  final long gangWaitMs = 30_000;
  final long gangPeerMs = 4_000;
  final List<String> nodeNames;
  int[] controllerPorts;

  /** Decides whether a direct command is held up on its way, unanswered. */
  interface Interceptor {
    boolean holds(Worker worker, Map<String, Object> request);
  }

  volatile Interceptor interceptor;
  volatile double lateReportShare;
  volatile double lateCommandShare;
  private final Map<Integer, Long> cutNodesUntilMs = new ConcurrentHashMap<>();
  private int capacity;

  /** The jobs that users have uploaded, by id, as submitted. */
  final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();

  /** How long tasks run, in milliseconds, by task or job; 0 until they are stopped. */
  final Map<String, Long> durations = new ConcurrentHashMap<>();

  /** Tasks that have completed; their results are kept, so they exit at once if started again. */
  final Set<String> doneShards = ConcurrentHashMap.newKeySet();

  private final TreeMap<String, Worker> machines = new TreeMap<>();
  private final Map<String, Long> rentedMs = new HashMap<>();
  private final Map<String, Long> goneMs = new HashMap<>();
  private final Map<String, Worker> goneMachines = new HashMap<>();
  private final Map<String, List<String>> charters = new LinkedHashMap<>();

  /**
   * Guards the state of gangs. Workers ask for it under their own lock, which a return of their machine
   * takes under that of the cloud, so the cloud's would deadlock.
   */
  private final Object gangLock = new Object();

  private final Map<String, Set<String>> gathered = new HashMap<>();
  private final Set<String> startedGangs = new HashSet<>();
  private final Map<String, Long> brokenGangs = new HashMap<>();
  private int machineCount;

  Cloud(
      List<Hull> hulls, int capacity, double listLagS, double leaseS, double reportS,
      List<String> nodeNames, Rules rules, Log log) {
    this.hulls = hulls;
    this.capacity = capacity;
    this.listLagMs = (long) (listLagS * 1000);
    this.leaseMs = (long) (leaseS * 1000);
    this.reportMs = (long) (reportS * 1000);
    this.nodeNames = nodeNames;
    this.rules = rules;
    this.log = log;
  }

  int open() throws Exception {
    return Net.serve(0, this::handle).getAddress().getPort();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** Workers and this controller do not reach each other for a time. */
  void cutNode(int node, long forMs) {
    cutNodesUntilMs.put(node, now() + forMs);
  }

  boolean isCut(int node) {
    return now() < cutNodesUntilMs.getOrDefault(node, 0L);
  }

  /** Returns the run time of a task: that of the task itself, or else of its job. */
  long durationMs(String shard) {
    Long own = durations.get(shard);
    return own != null ? own : durations.getOrDefault(shard.split("/")[0], 0L);
  }

  /** A task of a gang waits for the others of its attempt. */
  void gather(String job, long launch, String shard) {
    synchronized (gangLock) {
      Set<String> shards = gathered.computeIfAbsent(job + "#" + launch, k -> new HashSet<>());
      shards.add(shard);
      if (shards.size() >= Json.integer(jobs.get(job).get("shards"))) {
        startedGangs.add(job + "#" + launch);
      }
    }
  }

  boolean isGangStarted(String job, long launch) {
    synchronized (gangLock) {
      return startedGangs.contains(job + "#" + launch);
    }
  }

  /** Returns since when a task of the started gang is gone that was not done; -1 if none is. */
  long gangBrokenSinceMs(String job, long launch) {
    synchronized (gangLock) {
      return brokenGangs.getOrDefault(job + "#" + launch, -1L);
    }
  }

  /** A task of a gang is off its machine. */
  void leaveGang(String job, long launch, String shard, boolean done) {
    synchronized (gangLock) {
      String key = job + "#" + launch;
      gathered.getOrDefault(key, new HashSet<>()).remove(shard);
      if (startedGangs.contains(key) && !done) {
        brokenGangs.putIfAbsent(key, now());
      }
    }
  }

  synchronized List<Worker> machines() {
    return new ArrayList<>(machines.values());
  }

  /** Machines that are up. */
  synchronized int upCount() {
    int up = 0;
    for (Worker worker : machines.values()) {
      up += worker.isUp() ? 1 : 0;
    }
    return up;
  }

  /** A machine stops with all that is on it; it is taken without a notice. */
  synchronized void take(Worker worker) {
    log.line("cloud: machine " + worker.name + " is taken");
    remove(worker.name);
  }

  private void remove(String name) {
    Worker worker = machines.remove(name);
    if (worker != null) {
      goneMs.put(name, now());
      goneMachines.put(name, worker);
      worker.end();
    }
  }

  private Net.Answer handle(String method, String path, String query, String body) throws Exception {
    switch (path) {
      case "/flavors" -> {
        List<Object> rows = new ArrayList<>();
        for (Hull hull : hulls) {
          rows.add(
              Json.of(
                  "name", hull.name(), "vcpus", hull.cpus(), "gpus", hull.gpus(),
                  "mem_gb", hull.memoryGb(), "local_gb", 200.0, "pull_gb_per_s", hull.pullGbPerS(),
                  "hourly", hull.hourly(), "low_price", hull.lowPrice(), "ready_s", hull.readyS(),
                  "harbors", hull.zones()));
        }
        return ok(Json.of("hulls", rows));
      }
      case "/hosts/return" -> {
        synchronized (this) {
          List<?> names = Json.list(Json.object(body).get("vessels"));
          log.line("cloud: returned " + names);
          names.forEach(name -> remove((String) name));
        }
        return ok(Json.of());
      }
      default -> {
        return method.equals("POST") ? rent(Json.object(body)) : list(query);
      }
    }
  }

  private synchronized Net.Answer rent(Map<String, Object> request) {
    String charter = (String) request.get("charter");
    List<String> names = charters.get(charter);
    if (names == null) {
      Hull hull = null;
      for (Hull candidate : hulls) {
        hull = candidate.name().equals(request.get("hull")) ? candidate : hull;
      }
      if (hull == null || Json.integer(request.get("number")) > 50) {
        return new Net.Answer(400, "{}");
      }
      names = new ArrayList<>();
      for (long i = Json.integer(request.get("number")); i > 0 && machines.size() < capacity; i--) {
        String name = String.format("vm-%06d", ++machineCount);
        names.add(name);
        Worker worker =
            new Worker(
                this, name, hull, (String) request.get("harbor"),
                Boolean.TRUE.equals(request.get("ebbtide")), log);
        machines.put(name, worker);
        rentedMs.put(name, now());
        long bootMs = (long) (hull.readyS() * 1000 * (0.6 + 0.9 * Math.random()));
        Net.THREADS.execute(
            () -> {
              try {
                Thread.sleep(bootMs);
                worker.boot();
              } catch (Exception e) {
                log.line("machine " + name + " does not come up: " + e);
              }
            });
      }
      if (names.isEmpty()) {
        return new Net.Answer(503, Json.write(Json.of("error", "no capacity")));
      }
      log.line("cloud: " + charter + " rents " + names);
      charters.put(charter, names);
    }
    return ok(Json.of("vessels", names));
  }

  private synchronized Net.Answer list(String query) {
    String from = "";
    int limit = 500;
    for (String part : query.split("&")) {
      from = part.startsWith("from=") ? part.substring(5) : from;
      limit = part.startsWith("limit=") ? Integer.parseInt(part.substring(6)) : limit;
    }
    long atMs = now() - listLagMs;
    TreeMap<String, Worker> visible = new TreeMap<>();
    rentedMs.forEach(
        (name, rented) -> {
          Worker worker = machines.getOrDefault(name, goneMachines.get(name));
          if (rented <= atMs && goneMs.getOrDefault(name, Long.MAX_VALUE) > atMs) {
            visible.put(name, worker);
          }
        });
    List<Object> rows = new ArrayList<>();
    boolean more = false;
    for (Worker worker : visible.tailMap(from, false).values()) {
      if (rows.size() == limit) {
        more = true;
        break;
      }
      rows.add(
          Json.of(
              "id", worker.name, "addr", worker.address(), "hull", worker.hull.name(),
              "harbor", worker.zone, "ebbtide", worker.spot,
              "phase", worker.isUp() ? "running" : "starting",
              "held_s", (atMs - rentedMs.get(worker.name)) / 1000.0));
    }
    return ok(Json.of("vessels", rows, "more", more));
  }

  private static Net.Answer ok(Map<String, Object> body) {
    return new Net.Answer(200, Json.write(body));
  }
}
