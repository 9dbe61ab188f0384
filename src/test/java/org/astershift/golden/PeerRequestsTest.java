package org.astershift.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentSkipListSet;
import org.astershift.config.OperatorSettings;
import org.astershift.config.Settings;
import org.astershift.controller.ControllerRuntime;
import org.astershift.controller.JobService;
import org.astershift.emulator.Emulators;
import org.astershift.emulator.StoreEmulator;
import org.astershift.http.HttpClient;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Response;
import org.astershift.http.Json;
import org.astershift.peer.PeerOperation;
import org.astershift.peer.PeerResponse;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.Priority;
import org.astershift.simulation.JobDraft;
import org.astershift.store.RecordCodec;
import org.astershift.store.StoreClient;
import org.astershift.store.WatchCache;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What controllers ask each other and what is answered, in words that frames carry. */
@Timeout(120)
class PeerRequestsTest {
  private static final String JOB = "wk-1";
  private static final PeerResponse RUNNING = new PeerResponse(200, "running", 3, 4);
  private static final PeerResponse CANCELLED = new PeerResponse(200, "withdrawn", 3, 0);

  @TempDir Path dir;
  private final ThreadGroup threads = new ThreadGroup("controller");

  /** Users' questions that the node passed on to the leader. */
  private final Set<String> forwardedRequests = new ConcurrentSkipListSet<>();

  private StoreEmulator store;
  private HttpServer worker;
  private JobService jobService;

  /** Another node leads, and one job is on record. */
  @BeforeEach
  void start() throws Exception {
    store = new StoreEmulator(0);
    worker = new HttpServer("127.0.0.1", 0, 10, r -> Response.of(200, Map.of()));
    worker.start();
    Map<String, Object> job =
        RecordCodec.encodeJob(
            new RecordCodec.JobRecord(
                JobDraft.array(JOB, 9)
                    .kind(JobKind.ARRAY)
                    .classAndPriority("c", Priority.LOW)
                    .spec(),
                1));
    List<Object> rows =
        List.of(
            Map.of("set", RecordCodec.LEADER_KEY, "data", RecordCodec.encodeLeader("n2")),
            Map.of("set", RecordCodec.LIVE_JOB_PREFIX + JOB, "data", job));
    try (HttpClient client = new HttpClient("127.0.0.1", store.port(), 1)) {
      byte[] body = Json.encode(Map.of("writes", rows));
      assertEquals(200, client.call("POST", "/multi", body, 5000).status());
    }
    Settings settings = Emulators.settings(dir, store.port(), 1);
    Thread starter = new Thread(threads, () -> startController(settings));
    starter.start();
    starter.join();
  }

  private void startController(Settings settings) {
    StoreClient client = new StoreClient(settings);
    Map<String, JobService.PeerChannel> peers =
        Map.of("n2", (op, job, timeoutMs) -> answerAsLeader(op, job));
    ControllerRuntime director =
        new ControllerRuntime(
            settings, OperatorSettings.defaults(), client, new WatchCache(client), peers);
    jobService = new JobService(director, client, peers);
    director.start();
  }

  private PeerResponse answerAsLeader(PeerOperation op, String job) {
    if (!job.equals(JOB)) {
      return new PeerResponse(200, "", 0, 0); // what nodes ask each other of themselves
    }
    forwardedRequests.add(op.wireName() + " " + job);
    return op == PeerOperation.CANCEL_JOB ? CANCELLED : RUNNING;
  }

  @AfterEach
  void stop() throws Exception {
    threads.interrupt();
    worker.close();
    store.close();
  }

  private static String describe(PeerResponse a) {
    return a.status() + " <" + a.phase() + "> " + a.doneTasks() + " " + a.runningTasks();
  }

  private void addRequest(Golden g, String label, String op, String job) throws Exception {
    g.add(label, describe(jobService.answerPeer(PeerOperation.fromWireName(op), job)));
  }

  /** Asks until the node has read what is on record. */
  private void awaitReady() throws Exception {
    while (jobService.poll(JOB, true).status() != 200
        || jobService.answerPeer(PeerOperation.STORE_STATUS, "").phase().isEmpty()) {
      Thread.sleep(20);
    }
  }

  @Test
  void peerRequests() throws Exception {
    awaitReady();
    Golden g = new Golden("peer-words");
    g.add("user asks", describe(jobService.poll(JOB, true)));
    g.add("user cancels", describe(jobService.cancel(JOB, true)));
    g.add("passed on", String.join(", ", new TreeSet<>(forwardedRequests)));
    addRequest(g, "poll", "poll", "wk-2");
    addRequest(g, "state", "state", "");
    addRequest(g, "reach", "reach", "");
    addRequest(g, "yield", "yield", "n3");
    String alive = "127.0.0.1:" + worker.port();
    addRequest(g, "witness", "witness", alive + " 127.0.0.1:70000 " + alive);
    addRequest(g, "another word", "rest", "");
    g.check();
  }
}
