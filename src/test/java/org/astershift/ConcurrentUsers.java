package org.astershift;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.astershift.emulator.Await;
import org.astershift.http.HttpClient;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;

/**
 * Users who poll all nodes as soon as one has answered, repeat their submissions, and cancel a
 * quarter of their jobs. The state known before a request is sent bounds its answer from below: a
 * newer state may come at any time, an older one never.
 */
final class ConcurrentUsers implements AutoCloseable {
  /** A request counts as a close look if it is sent within this time of another node's answer. */
  private static final long CLOSE_NS = 30_000_000;

  private static final long PATIENCE_NS = 100_000_000_000L;
  private static final int TIMEOUT_MS = 5000;
  private static final int USERS = 12;
  private static final int KEPT = 16;

  /** What users know of a job, from the oldest to the newest state. */
  enum Known {
    NOTHING,
    ACCEPTED,
    DONE,
    CANCELLED;

    boolean over() {
      return this == DONE || this == CANCELLED;
    }
  }

  /** One job and the latest state known to its user. */
  static final class Job {
    final String id;
    final boolean cancels;
    private Known known = Known.NOTHING;
    private long knownNs;
    private long confirmedNs = Long.MAX_VALUE;
    private int source = -1;

    Job(String id, boolean cancels) {
      this.id = id;
      this.cancels = cancels;
    }

    synchronized Known known() {
      return known;
    }

    /** When the cancellation was confirmed. */
    synchronized long confirmedNs() {
      return confirmedNs;
    }
  }

  private final int tasks;
  private final Queue<Job> waiting = new ConcurrentLinkedQueue<>();
  private final Queue<String> violations = new ConcurrentLinkedQueue<>();
  private final List<Job> jobs = new ArrayList<>();
  private final AtomicInteger over = new AtomicInteger();
  private final Map<Known, AtomicInteger> looks = new EnumMap<>(Known.class);

  /** One permit for each further job that may be started. */
  private final Semaphore permits = new Semaphore(0);

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Future<?>> users = new ArrayList<>();
  private final List<HttpClient> clients = new ArrayList<>();

  /**
   * {@code jobs} jobs of {@code tasks} tasks from number {@code first}; each fourth is cancelled.
   */
  ConcurrentUsers(ControllerProcesses nodes, int first, int jobs, int tasks) {
    this.tasks = tasks;
    for (int i = 0; i < jobs; i++) {
      this.jobs.add(new Job(String.format("wk-%06d", first + i), i % 4 == 3));
    }
    waiting.addAll(this.jobs);
    for (int i = 0; i < ControllerProcesses.NODES; i++) {
      clients.add(new HttpClient("127.0.0.1", nodes.port(i), KEPT));
    }
    for (Known state : Known.values()) {
      looks.put(state, new AtomicInteger());
    }
  }

  List<Job> jobs() {
    return jobs;
  }

  /** Number of jobs that all nodes have answered to be over. */
  int over() {
    return over.get();
  }

  /** Number of answers to close looks after this state was known. */
  int looks(Known known) {
    return looks.get(known).get();
  }

  /** All violations, each with the job and both answers. */
  List<String> violations() {
    return new ArrayList<>(violations);
  }

  /** Starts the users with {@code count} of the jobs. */
  void start(int count) {
    more(count);
    for (int i = 0; i < USERS; i++) {
      int number = i;
      users.add(threads.submit(() -> serve(number)));
    }
  }

  /** Lets {@code count} further jobs start, so that a fault can come before them. */
  void more(int count) {
    permits.release(count);
  }

  /** Waits until all jobs are over; fails if a user did. */
  void join() throws Exception {
    more(USERS); // users who find no job end
    for (Future<?> user : users) {
      user.get(2 * PATIENCE_NS, TimeUnit.NANOSECONDS);
    }
  }

  @Override
  public void close() {
    threads.shutdownNow();
    clients.forEach(HttpClient::close);
  }

  private Void serve(int number) throws Exception {
    int node = number;
    while (true) {
      permits.acquire();
      Job job = waiting.poll();
      if (job == null) {
        return null;
      }
      node++;
      runJob(job, node % ControllerProcesses.NODES);
      over.incrementAndGet();
    }
  }

  private void runJob(Job job, int node) throws Exception {
    // Each attempt goes to another node, as with a load balancer: a node that answers 503 for a
    // while would else block all users one by one.
    AtomicInteger next = new AtomicInteger(node);
    Await.until(
        job.id + " to be accepted",
        () -> {
          int at = next.getAndIncrement() % ControllerProcesses.NODES;
          return ask(job, at, Request.SUBMIT) != Known.NOTHING;
        });
    List<Callable<Known>> requests = everywhere(job, Request.ASK);
    requests.addAll(everywhere(job, Request.SUBMIT));
    if (job.cancels) {
      int other = (node + 1) % ControllerProcesses.NODES;
      requests.add(() -> ask(job, other, Request.CANCEL));
    }
    invokeAll(requests);
    Await.until(
        job.id + " to be over",
        () -> {
          List<Callable<Known>> again = everywhere(job, Request.ASK);
          if (job.cancels) {
            again.add(() -> ask(job, node, Request.CANCEL));
          }
          invokeAll(again);
          return job.known().over();
        });
    List<Callable<Known>> after = everywhere(job, Request.ASK);
    after.addAll(everywhere(job, Request.SUBMIT));
    after.addAll(everywhere(job, Request.CANCEL));
    invokeAll(after);
    for (int i = 0; i < ControllerProcesses.NODES; i++) {
      int each = i;
      Await.until("node " + i + " to say how " + job.id + " ended", () -> reportsEnd(job, each));
    }
  }

  private boolean reportsEnd(Job job, int node) throws IOException {
    return ask(job, node, Request.ASK).over();
  }

  private List<Callable<Known>> everywhere(Job job, Request request) {
    List<Callable<Known>> requests = new ArrayList<>();
    for (int i = 0; i < ControllerProcesses.NODES; i++) {
      int node = i;
      requests.add(() -> ask(job, node, request));
    }
    return requests;
  }

  /** Sends all requests at the same time and waits for the last. */
  private void invokeAll(List<Callable<Known>> requests) throws Exception {
    for (Future<Known> future : threads.invokeAll(requests)) {
      future.get();
    }
  }

  private enum Request {
    SUBMIT,
    ASK,
    CANCEL
  }

  /** The state in the answer; NOTHING without one. */
  private Known ask(Job job, int node, Request request) throws IOException {
    Known before;
    long beforeNs;
    int source;
    synchronized (job) {
      before = job.known;
      beforeNs = job.knownNs;
      source = job.source;
    }
    long sentNs = System.nanoTime();
    HttpClient.Response response;
    try {
      HttpClient client = clients.get(node);
      String path = "/v2/runs/" + job.id;
      byte[] body =
          ControllerProcesses.job(job.id, "sweep", tasks).getBytes(StandardCharsets.UTF_8);
      response =
          switch (request) {
            case SUBMIT -> client.call("POST", "/v2/runs", body, TIMEOUT_MS);
            case ASK -> client.call("GET", path, null, TIMEOUT_MS);
            case CANCEL -> client.call("POST", path + "/withdraw", null, TIMEOUT_MS);
          };
    } catch (IOException e) {
      return Known.NOTHING; // killed, or starting: tried again
    }
    String description = request + " at " + node + ": " + response.status() + " " + text(response);
    if (response.status() == 503) {
      return Known.NOTHING;
    }
    Known now = known(response);
    if (before != Known.NOTHING && sentNs - beforeNs < CLOSE_NS && node != source) {
      looks.get(before).incrementAndGet();
    }
    boolean older = before.over() ? now != before : now.compareTo(before) < 0;
    boolean twice = before != Known.NOTHING && response.status() == 201;
    boolean ignored = request == Request.CANCEL && now == Known.ACCEPTED;
    boolean odd =
        response.status() >= 400 && (response.status() != 404 || request == Request.SUBMIT);
    if (older || twice || ignored || odd) {
      violations.add(job.id + " was " + before + " by " + source + ", then " + description);
    }
    recordAnswer(job, node, now, description);
    return now;
  }

  private void recordAnswer(Job job, int node, Known now, String description) {
    synchronized (job) {
      if (now == Known.CANCELLED && job.confirmedNs == Long.MAX_VALUE) {
        job.confirmedNs = System.nanoTime();
      }
      if (job.known.over() && now.over() && now != job.known) {
        violations.add(job.id + " ended as " + job.known + ", and then " + description);
      } else if (now.compareTo(job.known) > 0) {
        job.known = now;
        job.knownNs = System.nanoTime();
        job.source = node;
      }
    }
  }

  private static Known known(HttpClient.Response response) throws IOException {
    if (response.status() >= 400) {
      return Known.NOTHING;
    }
    try {
      return switch (Json.string(Json.object(response.body()), "phase")) {
        case "done" -> Known.DONE;
        case "withdrawn" -> Known.CANCELLED;
        default -> Known.ACCEPTED;
      };
    } catch (JsonFormatException e) {
      throw new IOException("invalid answer: " + text(response), e);
    }
  }

  private static String text(HttpClient.Response response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }
}
