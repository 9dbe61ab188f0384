import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A worker of PROTOCOL-astershift.md, "Workers -> controller nodes", on a machine of the cloud. */
final class Worker {
  private static final class Task {
    String job;
    String shard;
    long launch;
    String phase;
    String cause;
    boolean stored;
    long imageReadyMs;
    long endsMs;
    long savedMs;
    long gatheringSinceMs;
    boolean counted;
    boolean done;

    boolean exited() {
      return phase.equals("exited");
    }
  }

  private final Cloud cloud;
  final String name;
  final Cloud.Hull hull;
  final String zone;
  final boolean spot;
  private final Log log;
  private final Random random;
  private HttpServer server;
  private int port;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Long> imageReadyMs = new HashMap<>();
  private long watch = 1;
  private long tick;
  private long helm;
  private long leaseFromMs;
  private long lastReportMs;

  /** Counts the starts of the worker; an answer to an earlier one's report reaches nobody. */
  private long life;
  private boolean changed;
  private int node;
  private volatile boolean gone;
  private volatile long hangUntilMs;
  private volatile long muteUntilMs;
  private volatile long deafUntilMs;
  private volatile long cutUntilMs;

  Worker(Cloud cloud, String name, Cloud.Hull hull, String zone, boolean spot, Log log) {
    this.cloud = cloud;
    this.name = name;
    this.hull = hull;
    this.zone = zone;
    this.spot = spot;
    this.log = log;
    this.random = new Random(name.hashCode());
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  void boot() throws Exception {
    synchronized (this) {
      if (gone) {
        return;
      }
      server = Net.serve(0, (method, path, query, body) -> handle(path, body));
      port = server.getAddress().getPort();
      leaseFromMs = now();
      node = random.nextInt(cloud.controllerPorts.length);
    }
    Net.THREADS.execute(this::reportLoop);
    Net.THREADS.execute(this::clockLoop);
  }

  String address() {
    return port == 0 ? null : "127.0.0.1:" + port;
  }

  boolean isUp() {
    return port != 0;
  }

  /** The machine does nothing for a time, and then goes on. */
  void hang(long forMs) {
    log.line("machine " + name + " hangs for " + forMs + " ms");
    hangUntilMs = now() + forMs;
  }

  /** The machine loses the network for a time: connections to it and from it hang. */
  void cut(long forMs) {
    log.line("machine " + name + " loses the network for " + forMs + " ms");
    cutUntilMs = now() + forMs;
  }

  /** The machine's reports reach no controller for a time; direct commands reach it. */
  void mute(long forMs) {
    log.line("machine " + name + " is mute for " + forMs + " ms");
    muteUntilMs = now() + forMs;
  }

  /** The machine's reports arrive; answers and direct commands to it are lost for a time. */
  void deaf(long forMs) {
    log.line("machine " + name + " is deaf for " + forMs + " ms");
    deafUntilMs = now() + forMs;
  }

  /**
   * The machine stops and is back at once under its name and address: its worker begins anew, without
   * tasks, in session 1 and without a token, and reports to the first controller of its list.
   */
  synchronized void restart() {
    log.line("machine " + name + " stops and is back; lost " + tasks.keySet());
    tasks.values().forEach(this::leave);
    tasks.clear();
    imageReadyMs.clear();
    watch = 1;
    tick = 0;
    helm = 0;
    node = 0;
    leaseFromMs = now();
    changed = true;
    lastReportMs = now();
    life++;
  }

  /** Carries out a direct command that was held up, if token and session still match. */
  synchronized boolean deliver(Map<String, Object> request) {
    advance();
    boolean executed =
        !gone && Json.integer(request.get("watch")) == watch && accept(request);
    log.line(
        "machine " + name + ": the held command " + request + " arrives; the machine's token is "
            + helm + (executed ? "; carried out" : "; refused"));
    return executed;
  }

  synchronized boolean isOn(String shard) {
    for (Task task : tasks.values()) {
      if (task.counted && task.shard.equals(shard)) {
        return true;
      }
    }
    return false;
  }

  /** The machine is gone, with all that is on it. */
  void end() {
    HttpServer toStop;
    synchronized (this) {
      gone = true;
      for (Task task : tasks.values()) {
        leave(task);
      }
      tasks.clear();
      toStop = server;
    }
    if (toStop != null) {
      Net.THREADS.execute(() -> toStop.stop(0));
    }
  }

  private void leave(Task task) {
    if (task.counted) {
      task.counted = false;
      cloud.rules.onGone(task.shard, this, cloud.jobs.get(task.job));
      cloud.leaveGang(task.job, task.launch, task.shard, task.done);
    }
  }

  synchronized int heldTasks() {
    int held = 0;
    for (Task task : tasks.values()) {
      held += task.exited() ? 0 : 1;
    }
    return held;
  }

  private void awaitAwake() throws InterruptedException {
    while (!gone && now() < hangUntilMs) {
      Thread.sleep(10);
    }
  }

  private void clockLoop() {
    try {
      while (!gone) {
        Thread.sleep(20);
        awaitAwake();
        synchronized (this) {
          advance();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the session if its lease has run out, and moves tasks on. */
  private void advance() {
    if (gone || now() < hangUntilMs) {
      return;
    }
    if (now() - leaseFromMs > cloud.leaseMs) {
      log.line("machine " + name + ": lease ended, session " + (watch + 1) + " begins, tasks " + tasks.keySet());
      for (Task task : tasks.values()) {
        leave(task);
      }
      tasks.clear();
      watch++;
      leaseFromMs = now();
      changed = true;
    }
    for (Task task : tasks.values()) {
      advance(task);
    }
  }

  private void advance(Task task) {
    if (task.phase.equals("fetching") && now() >= task.imageReadyMs) {
      task.counted = true;
      cloud.rules.onStart(task.shard, this, cloud.jobs.get(task.job));
      log.line("machine " + name + ": " + task.shard + "#" + task.launch + " starts");
      Map<String, Object> spec = cloud.jobs.get(task.job);
      if (cloud.doneShards.contains(task.shard)) {
        exit(task, "done");
      } else if (spec.get("shape").equals("gang")) {
        task.phase = "gathering";
        task.gatheringSinceMs = now();
        cloud.gather(task.job, task.launch, task.shard);
      } else {
        task.phase = "running";
        task.endsMs = cloud.durationMs(task.shard) == 0 ? 0 : now() + cloud.durationMs(task.shard);
      }
      changed = true;
    } else if (task.phase.equals("gathering") && cloud.isGangStarted(task.job, task.launch)) {
      task.phase = "running";
      task.endsMs = cloud.durationMs(task.shard) == 0 ? 0 : now() + cloud.durationMs(task.shard);
      changed = true;
    } else if (task.phase.equals("gathering")
        && now() - task.gatheringSinceMs > cloud.gangWaitMs) {
      exit(task, "incomplete");
    } else if (task.phase.equals("running")
        && cloud.gangBrokenSinceMs(task.job, task.launch) >= 0
        && now() - cloud.gangBrokenSinceMs(task.job, task.launch) > cloud.gangPeerMs / 2) {
      exit(task, "peers");
    } else if (task.phase.equals("running") && task.endsMs > 0 && now() >= task.endsMs) {
      cloud.rules.onDone(task.shard);
      task.done = true;
      cloud.doneShards.add(task.shard);
      log.line("machine " + name + ": " + task.shard + "#" + task.launch + " is done");
      exit(task, "done");
    } else if (task.phase.equals("saving") && now() >= task.savedMs) {
      task.stored = true;
      exit(task, "halted");
    }
  }

  private void exit(Task task, String cause) {
    leave(task);
    task.phase = "exited";
    task.cause = cause;
    changed = true;
  }

  private void reportLoop() {
    try {
      while (!gone) {
        double wait = cloud.reportMs * (0.75 + 0.5 * random.nextDouble());
        long dueMs = now() + (long) wait;
        while (!gone && now() < dueMs && !(changed && now() - lastReportMs >= 500)) {
          Thread.sleep(15);
        }
        awaitAwake();
        if (!gone) {
          report();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized Map<String, Object> status() {
    List<Object> shards = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> row =
          Json.of("shard", task.shard, "launch", task.launch, "phase", task.phase);
      if (task.exited()) {
        row.put("cause", task.cause);
        if (task.stored) {
          row.put("stored", true);
        }
      }
      shards.add(row);
    }
    return Json.of(
        "vessel", name, "addr", address(), "hull", hull.name(), "harbor", zone, "ebbtide", spot,
        "watch", watch, "tick", ++tick, "helm", helm, "recall_s", null, "shards", shards);
  }

  private void report() throws InterruptedException {
    String body;
    long sentMs;
    long session;
    long sender;
    synchronized (this) {
      advance();
      sender = life;
      changed = false;
      lastReportMs = now();
      sentMs = now();
      session = watch;
      body = Json.write(status());
    }
    int target = node;
    if (now() < muteUntilMs || now() < cutUntilMs || cloud.isCut(target)) {
      Thread.sleep(4000);
      moveOn(target);
      return;
    }
    if (random.nextDouble() < cloud.lateReportShare) {
      lateCopy(body, target);
    }
    Net.Answer answer = Net.call(cloud.controllerPorts[target], "POST", "/agent/beat", body, 4000);
    if (now() < deafUntilMs || now() < cutUntilMs || cloud.isCut(target)) {
      Thread.sleep(Math.max(0, 4000 - (now() - sentMs)));
      moveOn(target);
      return;
    }
    awaitAwake();
    if (answer.status() == 200 && now() - sentMs < 4000) {
      synchronized (this) {
        if (session == watch && sender == life && !gone) {
          advance();
          if (session == watch && accept(Json.object(answer.body()))) {
            leaseFromMs = Math.max(leaseFromMs, sentMs);
          }
        }
      }
    } else if (answer.status() == 421) {
      Object leader = Json.object(answer.body()).get("harbormaster");
      int next = leader == null ? -1 : cloud.nodeNames.indexOf(String.valueOf(leader));
      if (next >= 0 && next != target) {
        node = next;
        Thread.sleep(random.nextInt(500));
        report();
      } else {
        moveOn(target);
      }
    } else {
      moveOn(target);
    }
  }

  /** A copy of a report arrives again, 2 s to over a lease later, at any controller. */
  private void lateCopy(String body, int target) {
    long afterMs = 2000 + (long) (random.nextDouble() * 1.5 * cloud.leaseMs);
    int at = random.nextBoolean() ? target : random.nextInt(cloud.controllerPorts.length);
    Net.THREADS.execute(
        () -> {
          try {
            Thread.sleep(afterMs);
          } catch (InterruptedException e) {
            return;
          }
          Net.call(cloud.controllerPorts[at], "POST", "/agent/beat", body, 4000);
        });
  }

  private void moveOn(int target) throws InterruptedException {
    node = (target + 1) % cloud.controllerPorts.length;
    Thread.sleep(1000);
    changed = true;
  }

  /** Executes the commands of a response or direct request unless its token is too low. */
  private boolean accept(Map<String, Object> message) {
    Object token = message.get("helm");
    if (token == null || Json.integer(token) < helm) {
      return false;
    }
    helm = Json.integer(token);
    for (Object order : Json.list(message.get("orders"))) {
      execute(Json.map(order));
    }
    return true;
  }

  private void execute(Map<String, Object> order) {
    String shard = (String) order.get("shard");
    long launch = Json.integer(order.get("launch"));
    String key = shard + "#" + launch;
    Task task = tasks.get(key);
    switch ((String) order.get("verb")) {
      case "run" -> {
        if (task == null) {
          run(shard, launch, key);
        }
      }
      case "stop" -> {
        if (task != null && !task.exited()) {
          stop(task, Json.number(order.get("leeway_s")));
        }
      }
      case "clear" -> {
        if (task != null && task.exited()) {
          tasks.remove(key);
          changed = true;
        }
      }
      default -> log.line("machine " + name + ": unknown order " + order);
    }
  }

  private void run(String shard, long launch, String key) {
    Task task = new Task();
    task.shard = shard;
    task.job = shard.split("/")[0];
    task.launch = launch;
    task.phase = "fetching";
    Map<String, Object> spec = cloud.jobs.get(task.job);
    double cpus = 0;
    double gpus = 0;
    double memory = 0;
    for (Task other : tasks.values()) {
      if (!other.exited()) {
        Map<String, Object> otherSpec = cloud.jobs.get(other.job);
        cpus += Json.number(otherSpec.get("vcpus"));
        gpus += Json.number(otherSpec.get("gpus"));
        memory += Json.number(otherSpec.get("mem_gb"));
        if (other.shard.equals(shard)) {
          task.cause = "in_use";
        }
      }
    }
    if (spec == null) {
      task.cause = "unknown";
    } else if (cpus + Json.number(spec.get("vcpus")) > hull.cpus() + 1e-6
        || gpus + Json.number(spec.get("gpus")) > hull.gpus() + 1e-6
        || memory + Json.number(spec.get("mem_gb")) > hull.memoryGb() + 1e-6) {
      task.cause = "no_room";
    }
    tasks.put(key, task);
    changed = true;
    if (task.cause != null) {
      task.phase = "exited";
      log.line("machine " + name + ": " + key + " refused: " + task.cause);
      return;
    }
    String image = (String) spec.get("payload");
    long fetchMs = (long) (Json.number(spec.get("image_gb")) / hull.pullGbPerS() * 1000);
    task.imageReadyMs = imageReadyMs.computeIfAbsent(image, i -> now() + fetchMs);
  }

  private void stop(Task task, double leewayS) {
    Map<String, Object> spec = cloud.jobs.get(task.job);
    boolean saves =
        task.phase.equals("running")
            && Json.number(spec.get("anchor_s")) > 0
            && leewayS >= Json.number(spec.get("stow_s"));
    if (saves) {
      task.phase = "saving";
      task.savedMs = now() + (long) (Json.number(spec.get("stow_s")) * 1000);
      changed = true;
    } else if (!task.phase.equals("saving") || leewayS == 0) {
      log.line("machine " + name + ": " + task.shard + "#" + task.launch + " is stopped");
      exit(task, "halted");
    }
  }

  /** A direct command is held up, unanswered, and carried out once, 2 to 16 s late. */
  private void lateCommand(Map<String, Object> request) {
    long afterMs = 2000 + random.nextInt(14_000);
    Net.THREADS.execute(
        () -> {
          try {
            Thread.sleep(afterMs);
            awaitAwake();
          } catch (InterruptedException e) {
            return;
          }
          synchronized (this) {
            advance();
            if (!gone && Json.integer(request.get("watch")) == watch) {
              accept(request);
            }
          }
        });
  }

  private Net.Answer handle(String path, String body) throws Exception {
    while (!gone && (now() < cutUntilMs || now() < deafUntilMs)) {
      Thread.sleep(20);
    }
    awaitAwake();
    synchronized (this) {
      if (gone) {
        return null;
      }
      advance();
      if (path.equals("/show")) {
        return new Net.Answer(200, Json.write(status()));
      }
      Map<String, Object> request = Json.object(body);
      if (cloud.interceptor != null && cloud.interceptor.holds(this, request)) {
        return null;
      }
      if (random.nextDouble() < cloud.lateCommandShare && request.get("helm") != null) {
        lateCommand(request);
        return null;
      }
      if (request.get("helm") == null || request.get("watch") == null) {
        return new Net.Answer(400, "{}");
      }
      boolean executed = Json.integer(request.get("watch")) == watch && accept(request);
      return new Net.Answer(executed ? 200 : 409, Json.write(status()));
    }
  }
}
