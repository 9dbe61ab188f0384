package org.astershift.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.astershift.http.HttpClient;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Request;
import org.astershift.http.HttpServer.Response;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;

/** A worker by its published protocol; its tasks take a fixed time, and no image. */
public final class WorkerEmulator implements AutoCloseable {
  private static final long REPORT_MS = 150;
  private final String name;
  private final String zone;
  private final List<Integer> controllers;
  private final long taskMs;
  private final HttpServer http;
  private final Map<String, Map<String, Object>> tasks = new LinkedHashMap<>();
  private final Map<String, Long> startedMs = new LinkedHashMap<>();
  private final List<Start> starts = new ArrayList<>();
  private long seq;
  private long token;
  private volatile boolean closed;
  private final Thread reports;
  private int at;

  private final List<Integer> answeredBy = new ArrayList<>();

  /** A task that was started, and when, by {@link System#nanoTime}. */
  public record Start(String task, long atNs) {}

  /** What it reported so far, for those who send it once more. */
  private final List<String> said = new ArrayList<>();

  /** What is said to it arrives once this is over: packets held by a cut. */
  private boolean deaf;

  /** It sends no report. */
  private boolean silent;

  WorkerEmulator(String name, String zone, List<Integer> controllers, long taskMs)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.controllers = controllers;
    this.taskMs = taskMs;
    this.http = new HttpServer("127.0.0.1", 0, 20, this::handle);
    http.start();
    reports = new Thread(this::loop, "worker " + name);
    reports.setDaemon(true);
    reports.start();
  }

  public String name() {
    return name;
  }

  String zone() {
    return zone;
  }

  String addr() {
    return "127.0.0.1:" + http.port();
  }

  /** Every start so far, as task names. */
  public List<String> started() {
    return starts().stream().map(Start::task).collect(Collectors.toCollection(ArrayList::new));
  }

  /** Every start so far. */
  public synchronized List<Start> starts() {
    return new ArrayList<>(starts);
  }

  /** Every report so far, as it was sent. */
  public synchronized List<String> said() {
    return new ArrayList<>(said);
  }

  /** Its reports arrive; answers to them are lost, and orders wait until this is over. */
  public synchronized void deaf(boolean now) {
    deaf = now;
    notifyAll();
  }

  /** A leader with this token has spoken to it; its next reports are held back. */
  public synchronized void seenUnsaid(long later) {
    token = Math.max(token, later);
    silent = true;
  }

  /** It ends and is there again: no task, no token, and the first tick. Says what it lost. */
  public synchronized List<String> beginAnew() {
    List<String> lost = new ArrayList<>();
    tasks.values().forEach(t -> lost.add(String.valueOf(t.get("shard"))));
    tasks.clear();
    startedMs.clear();
    token = 0;
    seq = 0;
    return lost;
  }

  /** Which controllers' answers it took, by port, since this was last asked. */
  public synchronized List<Integer> answeredBy() {
    List<Integer> out = new ArrayList<>(answeredBy);
    answeredBy.clear();
    return out;
  }

  /** Tasks that run now. */
  public synchronized List<String> running() {
    List<String> out = new ArrayList<>();
    tasks.forEach(
        (k, t) -> {
          if (t.get("phase").equals("running")) {
            out.add(String.valueOf(t.get("shard")));
          }
        });
    return out;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    deaf(false);
    http.close();
  }

  /** Waits, once it is closed, for the report that may still be on its way. */
  void awaitEnd() {
    try {
      reports.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized Map<String, Object> report() {
    long now = System.nanoTime() / 1_000_000;
    tasks.forEach(
        (k, t) -> {
          // A job whose number begins with 9 runs until it is stopped.
          boolean service = taskMs <= 0 || String.valueOf(t.get("shard")).startsWith("wk-9");
          if (t.get("phase").equals("running") && !service && now - startedMs.get(k) >= taskMs) {
            t.put("phase", "exited");
            t.put("cause", "done");
          }
        });
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("vessel", name);
    m.put("addr", addr());
    m.put("hull", "small");
    m.put("harbor", zone);
    m.put("ebbtide", false);
    m.put("watch", 1);
    m.put("tick", ++seq);
    m.put("helm", token);
    List<Object> shards = new ArrayList<>();
    tasks.values().forEach(t -> shards.add(new LinkedHashMap<>(t)));
    m.put("shards", shards);
    return m;
  }

  private synchronized Response handle(Request r) throws Exception {
    while (deaf && !closed) {
      wait();
    }
    if (!r.path().equals("/orders")) {
      return Response.of(200, report());
    }
    Map<String, Object> m = Json.object(r.body());
    if (Json.integer(m, "helm") < token || Json.integer(m, "watch") != 1) {
      return Response.of(409, report());
    }
    obey(m);
    return Response.of(200, report());
  }

  private synchronized void obey(Map<String, Object> m) throws JsonFormatException {
    if (m.get("helm") == null || Json.integer(m, "helm") < token) {
      return;
    }
    token = Json.integer(m, "helm");
    for (Object o : Json.list(m, "orders")) {
      Map<String, Object> order = Json.object(o, "order");
      String task = Json.string(order, "shard");
      String key = task + "@" + Json.integer(order, "launch");
      switch (Json.string(order, "verb")) {
        case "run" -> {
          if (!tasks.containsKey(key)) {
            Map<String, Object> t = new LinkedHashMap<>();
            t.put("shard", task);
            t.put("launch", order.get("launch"));
            t.put("phase", "running");
            tasks.put(key, t);
            startedMs.put(key, System.nanoTime() / 1_000_000);
            starts.add(new Start(task, System.nanoTime()));
          }
        }
        case "stop" -> {
          Map<String, Object> t = tasks.get(key);
          if (t != null && !t.get("phase").equals("exited")) {
            t.put("phase", "exited");
            t.put("cause", "halted");
          }
        }
        default -> tasks.remove(key);
      }
    }
  }

  /** Waits for the next report's time on the object's monitor, so that closing need not wait. */
  private synchronized void rest() throws InterruptedException {
    do {
      wait(REPORT_MS);
    } while (silent && !closed);
  }

  private synchronized void answered(String report, HttpClient.Response a)
      throws JsonFormatException {
    said.add(report);
    if (!deaf) {
      answeredBy.add(controllers.get(at % controllers.size()));
      obey(Json.object(a.body()));
    }
  }

  private void loop() {
    while (!closed) {
      try {
        rest();
        int port = controllers.get(at % controllers.size());
        HttpClient client = new HttpClient("127.0.0.1", port, 1);
        byte[] report = Json.bytes(report());
        HttpClient.Response a = client.call("POST", "/agent/beat", report, 2000);
        if (a.status() == 200) {
          answered(new String(report, StandardCharsets.UTF_8), a);
        } else {
          at++;
        }
      } catch (IOException | JsonFormatException e) {
        at++;
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
