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
 * Simulated users who poll all nodes as soon as one has answered, repeat their submissions, and
 * cancel a quarter of their jobs. No answer may be older than the state known before its request
 * was sent; it may be newer.
 */
final class ConcurrentUsers implements AutoCloseable {
  /** A request counts as a follow-up if it is sent within this time after another node's answer. */
  private static final long FOLLOW_UP_NS = 30_000_000;

  private static final long JOIN_TIMEOUT_NS = 100_000_000_000L;
  private static final int TIMEOUT_MS = 5000;
  private static final int USERS = 12;
  private static final int POOLED_CONNECTIONS = 16;

  /** The states of a job as known to its user, from the oldest to the newest. */
  enum KnownState {
    NOTHING,
    ACCEPTED,
    DONE,
    CANCELLED;

    boolean isOver() {
      return this == DONE || this == CANCELLED;
    }
  }

  /** One job and the latest state known to its user. */
  static final class Job {
    final String id;
    final boolean toBeCancelled;
    private KnownState knownState = KnownState.NOTHING;
    private long knownSinceNs;
    private long cancelConfirmedNs = Long.MAX_VALUE;
    private int sourceNode = -1;

    Job(String id, boolean toBeCancelled) {
      this.id = id;
      this.toBeCancelled = toBeCancelled;
    }

    synchronized KnownState knownState() {
      return knownState;
    }

    /**
     * Returns the time at which the cancellation was confirmed, by {@link System#nanoTime}; {@code
     * Long.MAX_VALUE} if it was not.
     */
    synchronized long cancelConfirmedNs() {
      return cancelConfirmedNs;
    }
  }

  private final int tasks;
  private final Queue<Job> unstartedJobs = new ConcurrentLinkedQueue<>();
  private final Queue<String> violations = new ConcurrentLinkedQueue<>();
  private final List<Job> jobs = new ArrayList<>();
  private final AtomicInteger endedJobs = new AtomicInteger();
  private final Map<KnownState, AtomicInteger> followUps = new EnumMap<>(KnownState.class);

  /** One permit for each further job that may be started. */
  private final Semaphore permits = new Semaphore(0);

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Future<?>> users = new ArrayList<>();
  private final List<HttpClient> clients = new ArrayList<>();

  /**
   * Prepares {@code jobs} jobs of {@code tasks} tasks, numbered from {@code first}; each fourth is
   * cancelled.
   */
  ConcurrentUsers(ControllerProcesses nodes, int first, int jobs, int tasks) {
    this.tasks = tasks;
    for (int i = 0; i < jobs; i++) {
      this.jobs.add(new Job(String.format("wk-%06d", first + i), i % 4 == 3));
    }
    unstartedJobs.addAll(this.jobs);
    for (int i = 0; i < ControllerProcesses.NODES; i++) {
      clients.add(new HttpClient("127.0.0.1", nodes.port(i), POOLED_CONNECTIONS));
    }
    for (KnownState state : KnownState.values()) {
      followUps.put(state, new AtomicInteger());
    }
  }

  List<Job> jobs() {
    return jobs;
  }

  /** Returns the number of jobs that all nodes have reported as ended. */
  int endedJobs() {
    return endedJobs.get();
  }

  /** Returns the number of answered follow-ups that were sent when this state was known. */
  int followUps(KnownState known) {
    return followUps.get(known).get();
  }

  /** Returns all violations, each with the job and both answers. */
  List<String> violations() {
    return new ArrayList<>(violations);
  }

  /** Starts the users and permits them to start {@code count} of the jobs. */
  void start(int count) {
    permitStarts(count);
    for (int i = 0; i < USERS; i++) {
      int number = i;
      users.add(threads.submit(() -> runUser(number)));
    }
  }

  /** Permits {@code count} further jobs to start, so that a fault can be injected before them. */
  void permitStarts(int count) {
    permits.release(count);
  }

  /** Waits until all jobs have ended; throws if a user failed. */
  void join() throws Exception {
    permitStarts(USERS); // users who find no unstarted job return
    for (Future<?> user : users) {
      user.get(2 * JOIN_TIMEOUT_NS, TimeUnit.NANOSECONDS);
    }
  }

  @Override
  public void close() {
    threads.shutdownNow();
    clients.forEach(HttpClient::close);
  }

  private Void runUser(int userNumber) throws Exception {
    int node = userNumber;
    while (true) {
      permits.acquire();
      Job job = unstartedJobs.poll();
      if (job == null) {
        return null;
      }
      node++;
      runJob(job, node % ControllerProcesses.NODES);
      endedJobs.incrementAndGet();
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
          return send(job, at, Request.SUBMIT) != KnownState.NOTHING;
        });
    List<Callable<KnownState>> requests = requestsToAllNodes(job, Request.POLL);
    requests.addAll(requestsToAllNodes(job, Request.SUBMIT));
    if (job.toBeCancelled) {
      int other = (node + 1) % ControllerProcesses.NODES;
      requests.add(() -> send(job, other, Request.CANCEL));
    }
    sendConcurrently(requests);
    Await.until(
        job.id + " to end",
        () -> {
          List<Callable<KnownState>> polls = requestsToAllNodes(job, Request.POLL);
          if (job.toBeCancelled) {
            polls.add(() -> send(job, node, Request.CANCEL));
          }
          sendConcurrently(polls);
          return job.knownState().isOver();
        });
    List<Callable<KnownState>> finalRequests = requestsToAllNodes(job, Request.POLL);
    finalRequests.addAll(requestsToAllNodes(job, Request.SUBMIT));
    finalRequests.addAll(requestsToAllNodes(job, Request.CANCEL));
    sendConcurrently(finalRequests);
    for (int i = 0; i < ControllerProcesses.NODES; i++) {
      int each = i;
      Await.until("node " + i + " to report the end of " + job.id, () -> reportsEnd(job, each));
    }
  }

  private boolean reportsEnd(Job job, int node) throws IOException {
    return send(job, node, Request.POLL).isOver();
  }

  private List<Callable<KnownState>> requestsToAllNodes(Job job, Request request) {
    List<Callable<KnownState>> requests = new ArrayList<>();
    for (int i = 0; i < ControllerProcesses.NODES; i++) {
      int node = i;
      requests.add(() -> send(job, node, request));
    }
    return requests;
  }

  /** Sends all requests at the same time and waits for the last. */
  private void sendConcurrently(List<Callable<KnownState>> requests) throws Exception {
    for (Future<KnownState> future : threads.invokeAll(requests)) {
      future.get();
    }
  }

  private enum Request {
    SUBMIT,
    POLL,
    CANCEL
  }

  /**
   * Sends a request and checks the answer against the state known before. Returns the state in the
   * answer, or NOTHING without an answer.
   */
  private KnownState send(Job job, int node, Request request) throws IOException {
    KnownState before;
    long beforeNs;
    int source;
    synchronized (job) {
      before = job.knownState;
      beforeNs = job.knownSinceNs;
      source = job.sourceNode;
    }
    long sentNs = System.nanoTime();
    HttpClient.Response response;
    try {
      HttpClient client = clients.get(node);
      String path = "/v2/runs/" + job.id;
      byte[] body =
          ControllerProcesses.jobJson(job.id, "sweep", tasks).getBytes(StandardCharsets.UTF_8);
      response =
          switch (request) {
            case SUBMIT -> client.call("POST", "/v2/runs", body, TIMEOUT_MS);
            case POLL -> client.call("GET", path, null, TIMEOUT_MS);
            case CANCEL -> client.call("POST", path + "/withdraw", null, TIMEOUT_MS);
          };
    } catch (IOException e) {
      return KnownState.NOTHING; // the node is killed or starting: the request is repeated
    }
    String description =
        request + " at node " + node + ": " + response.status() + " " + bodyText(response);
    if (response.status() == 503) {
      return KnownState.NOTHING;
    }
    KnownState now = parseState(response);
    if (before != KnownState.NOTHING && sentNs - beforeNs < FOLLOW_UP_NS && node != source) {
      followUps.get(before).incrementAndGet();
    }
    boolean isOlder = before.isOver() ? now != before : now.compareTo(before) < 0;
    boolean acceptedTwice = before != KnownState.NOTHING && response.status() == 201;
    boolean cancellationIgnored = request == Request.CANCEL && now == KnownState.ACCEPTED;
    boolean unexpectedStatus =
        response.status() >= 400 && (response.status() != 404 || request == Request.SUBMIT);
    if (isOlder || acceptedTwice || cancellationIgnored || unexpectedStatus) {
      violations.add(job.id + " was " + before + " at node " + source + ", then " + description);
    }
    recordAnswer(job, node, now, description);
    return now;
  }

  private void recordAnswer(Job job, int node, KnownState now, String description) {
    synchronized (job) {
      if (now == KnownState.CANCELLED && job.cancelConfirmedNs == Long.MAX_VALUE) {
        job.cancelConfirmedNs = System.nanoTime();
      }
      if (job.knownState.isOver() && now.isOver() && now != job.knownState) {
        violations.add(job.id + " had ended as " + job.knownState + ", and then " + description);
      } else if (now.compareTo(job.knownState) > 0) {
        job.knownState = now;
        job.knownSinceNs = System.nanoTime();
        job.sourceNode = node;
      }
    }
  }

  private static KnownState parseState(HttpClient.Response response) throws IOException {
    if (response.status() >= 400) {
      return KnownState.NOTHING;
    }
    try {
      return switch (Json.string(Json.object(response.body()), "phase")) {
        case "done" -> KnownState.DONE;
        case "withdrawn" -> KnownState.CANCELLED;
        default -> KnownState.ACCEPTED;
      };
    } catch (JsonFormatException e) {
      throw new IOException("invalid answer: " + bodyText(response), e);
    }
  }

  private static String bodyText(HttpClient.Response response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }
}
