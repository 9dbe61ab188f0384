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

/** A worker that speaks the published protocol. Its tasks take a fixed time and fetch no image. */
public final class WorkerEmulator implements AutoCloseable {
  private static final long HEARTBEAT_INTERVAL_MS = 150;
  private static final int REDELIVERY_TIMEOUT_MS = 5000;
  private final String name;
  private final String zone;
  private final List<Integer> controllers;
  private final long taskMs;
  private final HttpServer http;
  private final Map<String, Map<String, Object>> tasks = new LinkedHashMap<>();
  private final Map<String, Long> startedMs = new LinkedHashMap<>();
  private final List<Start> starts = new ArrayList<>();
  private long sequence;
  private long token;
  private volatile boolean closed;
  private final Thread heartbeatThread;
  private int controllerIndex;

  private final List<Integer> respondingPorts = new ArrayList<>();

  /** A start of a task's attempt, and its time by {@link System#nanoTime}. */
  public record Start(String task, long attempt, long atNs) {}

  /** Heartbeats that were answered so far, for replay. */
  private final List<String> sentHeartbeats = new ArrayList<>();

  /**
   * Whether the worker is inbound-partitioned: requests to it are delayed until the partition ends.
   */
  private boolean inboundPartitioned;

  /** Whether the worker has stopped sending heartbeats. */
  private boolean silent;

  /** Whether the response to the next direct request is held back once it has been created. */
  private boolean holdNextResponse;

  private boolean isResponseHeld;

  /** Bodies of the direct requests that were executed, for redelivery. */
  private final List<byte[]> executedRequests = new ArrayList<>();

  /** Whether copies of all executed direct requests arrive each time a task was forgotten. */
  private boolean redeliversAfterForget;

  /** Whether each task exits with an error as soon as it is reported. */
  private boolean tasksFail;

  private int forgottenTasks;

  /** Number of restarts; responses to heartbeats of earlier incarnations are lost. */
  private volatile int incarnation;

  WorkerEmulator(String name, String zone, List<Integer> controllers, long taskMs)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.controllers = controllers;
    this.taskMs = taskMs;
    this.http = new HttpServer("127.0.0.1", 0, 20, this::handle);
    http.start();
    heartbeatThread = new Thread(this::sendHeartbeats, "worker " + name);
    heartbeatThread.setDaemon(true);
    heartbeatThread.start();
  }

  public String name() {
    return name;
  }

  String zone() {
    return zone;
  }

  String address() {
    return "127.0.0.1:" + http.port();
  }

  /** Returns the names of all tasks started so far, one entry per start. */
  public List<String> startedTasks() {
    return starts().stream().map(Start::task).collect(Collectors.toCollection(ArrayList::new));
  }

  /** Returns all starts so far. */
  public synchronized List<Start> starts() {
    return new ArrayList<>(starts);
  }

  /** Returns all heartbeats that were answered so far, as sent. */
  public synchronized List<String> sentHeartbeats() {
    return new ArrayList<>(sentHeartbeats);
  }

  /**
   * Sets whether the worker is inbound-partitioned: its heartbeats arrive, the responses to them
   * are lost, and commands are delayed.
   */
  public synchronized void inboundPartitioned(boolean active) {
    inboundPartitioned = active;
    notifyAll();
  }

  /**
   * Holds back the response to the next direct request, with the state of the worker at that time.
   */
  public synchronized void holdNextResponse() {
    holdNextResponse = true;
  }

  /** Returns whether a response is held back. */
  public synchronized boolean isResponseHeld() {
    return isResponseHeld;
  }

  /** Sends the response that is held back. */
  public synchronized void releaseResponse() {
    holdNextResponse = false;
    isResponseHeld = false;
    notifyAll();
  }

  /**
   * Makes copies of all executed direct requests arrive each time the worker has forgotten a task,
   * before its next heartbeat.
   */
  public synchronized void redeliverAfterForget() {
    redeliversAfterForget = true;
  }

  /** Sets whether each task exits with an error as soon as it is reported. */
  public synchronized void failTasks(boolean active) {
    tasksFail = active;
  }

  /** Returns how many tasks the worker has forgotten on command. */
  public synchronized int forgottenTasks() {
    return forgottenTasks;
  }

  /** Delivers copies of all executed direct requests; returns the statuses of the responses. */
  public List<Integer> redeliverExecutedRequests() throws IOException {
    List<byte[]> copies;
    synchronized (this) {
      copies = List.copyOf(executedRequests);
    }
    List<Integer> statuses = new ArrayList<>();
    try (HttpClient client = new HttpClient("127.0.0.1", http.port(), 1)) {
      for (byte[] copy : copies) {
        statuses.add(client.call("POST", "/orders", copy, REDELIVERY_TIMEOUT_MS).status());
      }
    }
    return statuses;
  }

  /**
   * Records a later fencing token and stops sending heartbeats, so that no heartbeat reports the
   * token.
   */
  public synchronized void recordLaterToken(long laterToken) {
    token = Math.max(token, laterToken);
    silent = true;
  }

  /**
   * Restarts the worker without tasks, fencing token and sequence number; returns the names of the
   * lost tasks.
   */
  public synchronized List<String> restart() {
    List<String> lost = new ArrayList<>();
    tasks.values().forEach(task -> lost.add(String.valueOf(task.get("shard"))));
    tasks.clear();
    startedMs.clear();
    token = 0;
    sequence = 0;
    incarnation += 1;
    return lost;
  }

  /**
   * Restarts the worker, and delivers copies of all direct requests executed before to the new
   * incarnation before it sends or gets anything else.
   */
  public synchronized Redelivery restartWithCopies() throws Exception {
    restart();
    List<String> startedBefore = startedTasks();
    List<Integer> statuses = new ArrayList<>();
    for (byte[] copy : executedRequests) {
      statuses.add(executeDirectRequest(copy).status());
    }
    List<String> started = startedTasks();
    return new Redelivery(statuses, started.subList(startedBefore.size(), started.size()));
  }

  /** Returns the bodies of all direct requests that were executed so far. */
  public synchronized List<String> executedRequests() {
    return executedRequests.stream().map(body -> new String(body, StandardCharsets.UTF_8)).toList();
  }

  /**
   * Returns the ports of the controllers whose responses the worker accepted since the last call.
   */
  public synchronized List<Integer> respondingPorts() {
    List<Integer> result = new ArrayList<>(respondingPorts);
    respondingPorts.clear();
    return result;
  }

  /** Returns the names of the running tasks. */
  public synchronized List<String> runningTasks() {
    List<String> result = new ArrayList<>();
    tasks.forEach(
        (key, task) -> {
          if (task.get("phase").equals("running")) {
            result.add(String.valueOf(task.get("shard")));
          }
        });
    return result;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    inboundPartitioned(false);
    releaseResponse();
    http.close();
  }

  /** Waits for a heartbeat that may be in flight; to be called once the worker is closed. */
  void awaitTermination() {
    try {
      heartbeatThread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized Map<String, Object> heartbeat() {
    long nowMs = System.nanoTime() / 1_000_000;
    tasks.forEach(
        (key, task) -> {
          // Tasks of jobs numbered from 900000 run until they are stopped.
          boolean service = taskMs <= 0 || String.valueOf(task.get("shard")).startsWith("wk-9");
          if (tasksFail && task.get("phase").equals("running")) {
            task.put("phase", "exited");
            task.put("cause", "error");
          }
          if (task.get("phase").equals("running")
              && !service
              && nowMs - startedMs.get(key) >= taskMs) {
            task.put("phase", "exited");
            task.put("cause", "done");
          }
        });
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("vessel", name);
    fields.put("addr", address());
    fields.put("hull", "small");
    fields.put("harbor", zone);
    fields.put("ebbtide", false);
    fields.put("watch", 1);
    fields.put("tick", ++sequence);
    fields.put("helm", token);
    List<Object> shards = new ArrayList<>();
    tasks.values().forEach(task -> shards.add(new LinkedHashMap<>(task)));
    fields.put("shards", shards);
    return fields;
  }

  private synchronized Response handle(Request request) throws Exception {
    while (inboundPartitioned && !closed) {
      wait();
    }
    if (!request.path().equals("/orders")) {
      return Response.of(200, heartbeat());
    }
    Response response = executeDirectRequest(request.body());
    if (response.status() != 200) {
      return response;
    }
    executedRequests.add(request.body());
    if (holdNextResponse) {
      holdNextResponse = false;
      isResponseHeld = true;
    }
    while (isResponseHeld && !closed) {
      wait();
    }
    return response;
  }

  private synchronized Response executeDirectRequest(byte[] body) throws Exception {
    Map<String, Object> fields = Json.object(body);
    if (Json.integer(fields, "helm") < token || Json.integer(fields, "watch") != 1) {
      return Response.of(409, heartbeat());
    }
    executeCommands(fields);
    return Response.of(200, heartbeat());
  }

  private synchronized void executeCommands(Map<String, Object> fields) throws JsonFormatException {
    if (fields.get("helm") == null || Json.integer(fields, "helm") < token) {
      return;
    }
    token = Json.integer(fields, "helm");
    for (Object item : Json.list(fields, "orders")) {
      Map<String, Object> command = Json.object(item, "order");
      String taskName = Json.string(command, "shard");
      String key = taskName + "@" + Json.integer(command, "launch");
      switch (Json.string(command, "verb")) {
        case "run" -> {
          if (!tasks.containsKey(key)) {
            Map<String, Object> task = new LinkedHashMap<>();
            task.put("shard", taskName);
            task.put("launch", command.get("launch"));
            task.put("phase", "running");
            tasks.put(key, task);
            startedMs.put(key, System.nanoTime() / 1_000_000);
            starts.add(new Start(taskName, Json.integer(command, "launch"), System.nanoTime()));
          }
        }
        case "stop" -> {
          Map<String, Object> task = tasks.get(key);
          if (task != null && !task.get("phase").equals("exited")) {
            task.put("phase", "exited");
            task.put("cause", "halted");
          }
        }
        default -> forgottenTasks += tasks.remove(key) == null ? 0 : 1;
      }
    }
  }

  /**
   * Waits for the heartbeat interval, or longer while the worker is silent. Waits on the monitor of
   * this object, so that closing the worker need not wait for the interval.
   */
  private synchronized void awaitNextHeartbeat() throws InterruptedException {
    do {
      wait(HEARTBEAT_INTERVAL_MS);
    } while (silent && !closed);
  }

  /** Handles the response to a heartbeat; returns whether copies of direct requests are due. */
  private synchronized boolean onResponse(
      String heartbeat, int sentIncarnation, HttpClient.Response response)
      throws JsonFormatException {
    if (sentIncarnation != incarnation) {
      return false;
    }
    int forgottenBefore = forgottenTasks;
    sentHeartbeats.add(heartbeat);
    if (!inboundPartitioned) {
      respondingPorts.add(controllers.get(controllerIndex % controllers.size()));
      executeCommands(Json.object(response.body()));
    }
    return redeliversAfterForget && forgottenTasks > forgottenBefore;
  }

  private void sendHeartbeats() {
    while (!closed) {
      try {
        awaitNextHeartbeat();
        int port = controllers.get(controllerIndex % controllers.size());
        HttpClient client = new HttpClient("127.0.0.1", port, 1);
        int sentIncarnation = incarnation;
        byte[] heartbeat = Json.encode(heartbeat());
        HttpClient.Response response = client.call("POST", "/agent/beat", heartbeat, 2000);
        if (response.status() == 200) {
          String sent = new String(heartbeat, StandardCharsets.UTF_8);
          if (onResponse(sent, sentIncarnation, response)) {
            redeliverExecutedRequests();
          }
        } else {
          controllerIndex++;
        }
      } catch (IOException | JsonFormatException e) {
        controllerIndex++;
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
