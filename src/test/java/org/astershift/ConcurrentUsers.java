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
 * Users who ask all nodes at once as soon as one has told them something, repeat their submissions,
 * and cancel a quarter of their jobs at once. What a user was told before he sent a question bounds
 * the answer to it from below: a newer answer may come at any time, an older one never.
 */
final class ConcurrentUsers implements AutoCloseable {
  /** A question counts as one of a close look if it was sent so soon after another's answer. */
  private static final long CLOSE_NS = 30_000_000;

  private static final long PATIENCE_NS = 100_000_000_000L;
  private static final int TIMEOUT_MS = 5000;
  private static final int USERS = 12;
  private static final int KEPT = 16;

  /** What users know of a job, from the oldest to the newest. */
  enum Known {
    NOTHING,
    ACCEPTED,
    DONE,
    CANCELLED;

    boolean over() {
      return this == DONE || this == CANCELLED;
    }
  }

  /** One job and what its user was told. */
  static final class Job {
    final String id;
    final boolean cancels;
    private Known known = Known.NOTHING;
    private long knownNs;
    private long confirmedNs = Long.MAX_VALUE;
    private int toldBy = -1;

    Job(String id, boolean cancels) {
      this.id = id;
      this.cancels = cancels;
    }

    synchronized Known known() {
      return known;
    }

    /** When the answer that it is cancelled had come. */
    synchronized long confirmedNs() {
      return confirmedNs;
    }
  }

  private final int tasks;
  private final Queue<Job> waiting = new ConcurrentLinkedQueue<>();
  private final Queue<String> broken = new ConcurrentLinkedQueue<>();
  private final List<Job> jobs = new ArrayList<>();
  private final AtomicInteger over = new AtomicInteger();
  private final Map<Known, AtomicInteger> looks = new EnumMap<>(Known.class);

  /** How many more jobs may be begun. */
  private final Semaphore turns = new Semaphore(0);

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Future<?>> users = new ArrayList<>();
  private final List<HttpClient> clients = new ArrayList<>();

  /** {@code jobs} jobs of so many tasks, numbered from {@code first}; every fourth is cancelled. */
  ConcurrentUsers(ControllerProcesses nodes, int first, int jobs, int tasks) {
    this.tasks = tasks;
    for (int i = 0; i < jobs; i++) {
      this.jobs.add(new Job(String.format("wk-%06d", first + i), i % 4 == 3));
    }
    waiting.addAll(this.jobs);
    for (int i = 0; i < ControllerProcesses.NODES; i++) {
      clients.add(new HttpClient("127.0.0.1", nodes.port(i), KEPT));
    }
    for (Known k : Known.values()) {
      looks.put(k, new AtomicInteger());
    }
  }

  List<Job> jobs() {
    return jobs;
  }

  /** So many jobs are over, and all nodes have said so. */
  int over() {
    return over.get();
  }

  /** So many answers came to questions sent just after another node had told this. */
  int looks(Known known) {
    return looks.get(known).get();
  }

  /** Every rule that was broken, with the job and both answers. */
  List<String> broken() {
    return new ArrayList<>(broken);
  }

  /** The users come, and begin with so many of the jobs. */
  void start(int begun) {
    more(begun);
    for (int i = 0; i < USERS; i++) {
      int number = i;
      users.add(threads.submit(() -> serve(number)));
    }
  }

  /** So many jobs more may be begun: what follows a trouble waits for it. */
  void more(int begun) {
    turns.release(begun);
  }

  /** Until all jobs are over; fails with the first user that did not get there. */
  void join() throws Exception {
    more(USERS); // who finds no job left goes
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
      turns.acquire();
      Job job = waiting.poll();
      if (job == null) {
        return null;
      }
      node++;
      live(job, node % ControllerProcesses.NODES);
      over.incrementAndGet();
    }
  }

  private void live(Job job, int node) throws Exception {
    // As the balancer sends it elsewhere: a node that says 503 for a while would else take all
    // users one by one, and with them whatever the others should be tried with meanwhile.
    AtomicInteger next = new AtomicInteger(node);
    Await.until(
        job.id + " to be accepted",
        () -> {
          int at = next.getAndIncrement() % ControllerProcesses.NODES;
          return ask(job, at, Request.SUBMIT) != Known.NOTHING;
        });
    List<Callable<Known>> atOnce = everywhere(job, Request.ASK);
    atOnce.addAll(everywhere(job, Request.SUBMIT));
    if (job.cancels) {
      int other = (node + 1) % ControllerProcesses.NODES;
      atOnce.add(() -> ask(job, other, Request.CANCEL));
    }
    together(atOnce);
    Await.until(
        job.id + " to be over",
        () -> {
          List<Callable<Known>> again = everywhere(job, Request.ASK);
          if (job.cancels) {
            again.add(() -> ask(job, node, Request.CANCEL));
          }
          together(again);
          return job.known().over();
        });
    List<Callable<Known>> after = everywhere(job, Request.ASK);
    after.addAll(everywhere(job, Request.SUBMIT));
    after.addAll(everywhere(job, Request.CANCEL));
    together(after);
    for (int i = 0; i < ControllerProcesses.NODES; i++) {
      int each = i;
      Await.until("node " + i + " to say how " + job.id + " ended", () -> tells(job, each));
    }
  }

  private boolean tells(Job job, int node) throws IOException {
    return ask(job, node, Request.ASK).over();
  }

  private List<Callable<Known>> everywhere(Job job, Request request) {
    List<Callable<Known>> out = new ArrayList<>();
    for (int i = 0; i < ControllerProcesses.NODES; i++) {
      int node = i;
      out.add(() -> ask(job, node, request));
    }
    return out;
  }

  /** All at the same time; the end of the last. */
  private void together(List<Callable<Known>> requests) throws Exception {
    for (Future<Known> f : threads.invokeAll(requests)) {
      f.get();
    }
  }

  private enum Request {
    SUBMIT,
    ASK,
    CANCEL
  }

  /** What this answer says, or NOTHING if it is none. */
  private Known ask(Job job, int node, Request request) throws IOException {
    Known before;
    long beforeNs;
    int toldBy;
    synchronized (job) {
      before = job.known;
      beforeNs = job.knownNs;
      toldBy = job.toldBy;
    }
    long sentNs = System.nanoTime();
    HttpClient.Response a;
    try {
      HttpClient client = clients.get(node);
      String path = "/v2/runs/" + job.id;
      byte[] body =
          ControllerProcesses.job(job.id, "sweep", tasks).getBytes(StandardCharsets.UTF_8);
      a =
          switch (request) {
            case SUBMIT -> client.call("POST", "/v2/runs", body, TIMEOUT_MS);
            case ASK -> client.call("GET", path, null, TIMEOUT_MS);
            case CANCEL -> client.call("POST", path + "/withdraw", null, TIMEOUT_MS);
          };
    } catch (IOException e) {
      return Known.NOTHING; // killed, or starting: asked again
    }
    String said = request + " at " + node + ": " + a.status() + " " + text(a);
    if (a.status() == 503) {
      return Known.NOTHING;
    }
    Known now = known(a);
    if (before != Known.NOTHING && sentNs - beforeNs < CLOSE_NS && node != toldBy) {
      looks.get(before).incrementAndGet();
    }
    boolean older = before.over() ? now != before : now.compareTo(before) < 0;
    boolean twice = before != Known.NOTHING && a.status() == 201;
    boolean unkept = request == Request.CANCEL && now == Known.ACCEPTED;
    boolean odd = a.status() >= 400 && (a.status() != 404 || request == Request.SUBMIT);
    if (older || twice || unkept || odd) {
      broken.add(job.id + " was " + before + " by " + toldBy + ", then " + said);
    }
    learn(job, node, now, said);
    return now;
  }

  private void learn(Job job, int node, Known now, String said) {
    synchronized (job) {
      if (now == Known.CANCELLED && job.confirmedNs == Long.MAX_VALUE) {
        job.confirmedNs = System.nanoTime();
      }
      if (job.known.over() && now.over() && now != job.known) {
        broken.add(job.id + " ended as " + job.known + ", and then " + said);
      } else if (now.compareTo(job.known) > 0) {
        job.known = now;
        job.knownNs = System.nanoTime();
        job.toldBy = node;
      }
    }
  }

  private static Known known(HttpClient.Response a) throws IOException {
    if (a.status() >= 400) {
      return Known.NOTHING;
    }
    try {
      return switch (Json.string(Json.object(a.body()), "phase")) {
        case "done" -> Known.DONE;
        case "withdrawn" -> Known.CANCELLED;
        default -> Known.ACCEPTED;
      };
    } catch (JsonFormatException e) {
      throw new IOException("an answer that makes no sense: " + text(a), e);
    }
  }

  private static String text(HttpClient.Response a) {
    return new String(a.body(), StandardCharsets.UTF_8);
  }
}
