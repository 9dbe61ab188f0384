import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A stand-in of a machine with its worker, as PROTOCOL-astershift.md describes it. */
final class Worker {
  static final class Task {
    String shard;
    long launch;
    String phase;
    String cause;
    long readyMs;
    long endMs = Long.MAX_VALUE;
    Jobs.Job job;
    int index;
  }

  final String name;
  final Cloud.Type type;
  final String zone;
  final boolean spot;
  private final Day day;
  private final Http.Server server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new LinkedHashSet<>();
  private final Random random;
  private long watch = 1;
  private long tick;
  private long helm;
  private long leaseFromMs = Util.ms();
  private long lastBeatMs;
  private long nextBeatMs;
  private boolean changed;
  private int node;
  private volatile boolean gone;
  /** Bodies of the direct commands that were carried out and answered, the oldest first. */
  private final List<String> executed = new ArrayList<>();

  private int incarnation;

  Worker(String name, Cloud.Type type, String zone, boolean spot, Day day) throws Exception {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.day = day;
    this.random = new Random(name.hashCode());
    this.node = random.nextInt(day.nodes);
    this.server = new Http.Server(this::handle);
    Http.daemon("worker " + name, this::loop);
    Http.daemon("tasks " + name, this::runTasks);
  }

  String addr() {
    return "127.0.0.1:" + server.port();
  }

  /** Takes the machine away: it and all that is on it are gone. */
  synchronized void take() {
    gone = true;
    for (Task task : tasks.values()) {
      if (task.phase.equals("running")) {
        day.offMachine(this, task);
      }
    }
    tasks.clear();
    server.close();
    notifyAll();
  }

  /** The machine ends and is back at once: its tasks, its token and its counts are lost. */
  synchronized void restart() {
    for (Task task : tasks.values()) {
      if (task.phase.equals("running")) {
        day.offMachine(this, task);
      }
    }
    tasks.clear();
    watch = 1;
    tick = 0;
    helm = 0;
    incarnation++;
    changed = false;
    lastBeatMs = Util.ms();
    nextBeatMs = lastBeatMs + 500;
    leaseFromMs = lastBeatMs;
    notifyAll();
  }

  /** Returns the direct commands, carried out before, that start this task. */
  synchronized List<String> executedStarts(String shard) {
    return executed.stream()
        .filter(body -> body.contains("\"run\"") && body.contains("\"" + shard + "\""))
        .toList();
  }

  int port() {
    return server.port();
  }

  synchronized int live() {
    int count = 0;
    for (Task task : tasks.values()) {
      count += task.phase.equals("exited") ? 0 : 1;
    }
    return count;
  }

  synchronized int exited() {
    return tasks.size() - live();
  }

  synchronized double freeCpus() {
    double free = type.cpus();
    for (Task task : tasks.values()) {
      free -= task.phase.equals("exited") ? 0 : task.job.cpus;
    }
    return free;
  }

  synchronized double freeMemory() {
    double free = type.memoryGb();
    for (Task task : tasks.values()) {
      free -= task.phase.equals("exited") ? 0 : task.job.memoryGb;
    }
    return free;
  }

  private void runTasks() {
    try {
      while (!gone) {
        Thread.sleep(40);
        synchronized (this) {
          checkLease();
          long now = Util.ms();
          for (Task task : tasks.values()) {
            if (task.phase.equals("fetching") && now >= task.readyMs) {
              images.add(task.job.image);
              begin(task);
            }
            if (task.phase.equals("running") && now >= task.endMs) {
              exit(task, task.job.fails ? "error" : "done");
            }
          }
        }
      }
    } catch (InterruptedException e) {
      // ends
    }
  }

  private void begin(Task task) {
    task.phase = "running";
    long runMs = task.job.runMs(task.index);
    task.endMs = runMs == Long.MAX_VALUE ? runMs : Util.ms() + runMs;
    day.onMachine(this, task);
    change();
  }

  private void exit(Task task, String cause) {
    boolean was = task.phase.equals("running");
    task.phase = "exited";
    task.cause = cause;
    if (was) {
      day.offMachine(this, task);
    }
    if (cause.equals("done")) {
      day.done(task);
    }
    change();
  }

  private void change() {
    changed = true;
    notifyAll();
  }

  private void checkLease() {
    if (Util.ms() - leaseFromMs > day.leaseS * 1000) {
      for (Task task : tasks.values()) {
        if (task.phase.equals("running")) {
          day.offMachine(this, task);
        }
      }
      if (!tasks.isEmpty()) {
        day.record.limited("lease", 40, "%s: lease over, %d tasks killed", name, tasks.size());
      }
      tasks.clear();
      watch++;
      leaseFromMs = Util.ms();
      change();
    }
  }

  private synchronized String report() {
    List<Object> shards = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> row =
          Json.of("shard", task.shard, "launch", task.launch, "phase", task.phase);
      if (task.cause != null) {
        row.put("cause", task.cause);
      }
      shards.add(row);
    }
    return Json.write(
        Json.of(
            "vessel", name, "addr", addr(), "hull", type.name(), "harbor", zone, "ebbtide", spot,
            "watch", watch, "tick", ++tick, "helm", helm, "recall_s", null, "shards", shards));
  }

  private void loop() {
    Http.Client client = new Http.Client(day.port(node));
    try {
      while (!gone) {
        synchronized (this) {
          while (!gone) {
            long now = Util.ms();
            long due = changed ? Math.min(nextBeatMs, lastBeatMs + 500) : nextBeatMs;
            if (now >= due) {
              break;
            }
            wait(due - now);
          }
          changed = false;
        }
        if (gone) {
          return;
        }
        long sentMs;
        long session;
        int life;
        String body;
        synchronized (this) {
          checkLease();
          sentMs = Util.ms();
          session = watch;
          life = incarnation;
          lastBeatMs = sentMs;
          nextBeatMs = sentMs + (long) (day.reportS * 1000 * (0.75 + random.nextDouble() / 2));
          body = report();
        }
        String move = null;
        try {
          Http.Response response = client.call("POST", "/agent/beat", body, 4000);
          if (response.status() == 200) {
            accept(Json.map(response.body()), sentMs, session, life);
            continue;
          }
          if (response.status() == 421) {
            move = String.valueOf(Json.map(response.body()).get("harbormaster"));
          }
        } catch (java.io.IOException | RuntimeException e) {
          // the next node
        }
        client.close();
        int named = day.nodeNamed(move);
        if (named >= 0 && named != node) {
          node = named;
        } else {
          node = (node + 1) % day.nodes;
          Thread.sleep(1000);
        }
        synchronized (this) {
          nextBeatMs = 0;
        }
        client = new Http.Client(day.port(node));
      }
    } catch (InterruptedException e) {
      // ends
    } finally {
      client.close();
    }
  }

  private synchronized void accept(
      Map<String, Object> response, long sentMs, long session, int life) {
    if (gone || life != incarnation || session != watch || response.get("helm") == null) {
      return;
    }
    long token = Json.num(response, "helm");
    if (token < helm) {
      return;
    }
    helm = token;
    leaseFromMs = sentMs;
    execute(Json.list(response, "orders"));
  }

  private Http.Response handle(Http.Request request) throws Exception {
    synchronized (this) {
      checkLease();
      if (gone) {
        return new Http.Response(0, "");
      }
      if (request.path().equals("/show")) {
        return new Http.Response(200, report());
      }
      Map<String, Object> body = Json.map(request.body());
      if (body.get("helm") == null || body.get("watch") == null) {
        return Http.Response.of(400, Json.of("error", "missing"));
      }
      if (Json.num(body, "helm") < helm || Json.num(body, "watch") != watch) {
        return new Http.Response(409, report());
      }
      if (Json.num(body, "helm") > helm) {
        helm = Json.num(body, "helm");
        change();
      }
      execute(Json.list(body, "orders"));
      executed.add(request.body());
      return new Http.Response(200, report());
    }
  }

  private void execute(List<Object> orders) {
    for (Object item : orders) {
      Map<String, Object> order = Util.cast(item);
      String shard = (String) order.get("shard");
      long launch = Json.num(order, "launch");
      String key = shard + "@" + launch;
      Task task = tasks.get(key);
      switch ((String) order.get("verb")) {
        case "run" -> {
          if (task == null) {
            start(key, shard, launch);
          }
        }
        case "stop" -> {
          if (task != null && !task.phase.equals("exited")) {
            exit(task, "halted");
          }
        }
        case "clear" -> {
          if (task != null && task.phase.equals("exited")) {
            tasks.remove(key);
          }
        }
        default -> day.record.line("unknown verb %s", order);
      }
    }
  }

  private void start(String key, String shard, long launch) {
    Task task = new Task();
    task.shard = shard;
    task.launch = launch;
    int slash = shard.lastIndexOf('/');
    task.index = Integer.parseInt(shard.substring(slash + 1));
    task.job = day.jobs.get(shard.substring(0, slash));
    String refusal = null;
    if (task.job == null || task.index >= task.job.shards) {
      refusal = "unknown";
    } else {
      double cpus = task.job.cpus;
      double gpus = task.job.gpus;
      double memory = task.job.memoryGb;
      for (Task other : tasks.values()) {
        if (!other.phase.equals("exited")) {
          cpus += other.job.cpus;
          gpus += other.job.gpus;
          memory += other.job.memoryGb;
          if (other.shard.equals(shard)) {
            refusal = "in_use";
          }
        }
      }
      if (refusal == null
          && (cpus > type.cpus() + 1e-6
              || gpus > type.gpus() + 1e-6
              || memory > type.memoryGb() + 1e-6)) {
        refusal = "no_room";
      }
    }
    tasks.put(key, task);
    change();
    if (refusal != null) {
      task.phase = "exited";
      task.cause = refusal;
      day.record.limited("refused", 40, "%s: start of %s refused: %s", name, shard, refusal);
    } else if (images.contains(task.job.image)) {
      begin(task);
    } else {
      task.phase = "fetching";
      task.readyMs = Util.ms() + (long) (task.job.imageGb / type.pullGbPerS() * 1000);
    }
  }
}
