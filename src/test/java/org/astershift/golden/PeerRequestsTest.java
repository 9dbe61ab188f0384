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

/** Requests between controllers and the answers to them, in the words that frames carry. */
@Timeout(120)
class PeerRequestsTest {
  private static final String JOB = "wk-1";
  private static final PeerResponse RUNNING = new PeerResponse(200, "running", 3, 4);
  private static final PeerResponse CANCELLED = new PeerResponse(200, "withdrawn", 3, 0);

  @TempDir Path dir;
  private final ThreadGroup threads = new ThreadGroup("controller");

  /** Users' requests that the node forwarded to the leader. */
  private final Set<String> forwardedRequests = new ConcurrentSkipListSet<>();

  private StoreEmulator store;
  private HttpServer worker;
  private JobService jobService;

  /** Starts a follower: another node leads, and one job is recorded. */
  @BeforeEach
  void start() throws Exception {
    store = new StoreEmulator(0);
    worker = new HttpServer("127.0.0.1", 0, 10, request -> Response.of(200, Map.of()));
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
        Map.of("n2", (operation, job, timeoutMs) -> answerAsLeader(operation, job));
    ControllerRuntime controller =
        new ControllerRuntime(
            settings, OperatorSettings.defaults(), client, new WatchCache(client), peers);
    jobService = new JobService(controller, client, peers);
    controller.start();
  }

  private PeerResponse answerAsLeader(PeerOperation operation, String job) {
    if (!job.equals(JOB)) {
      return new PeerResponse(200, "", 0, 0); // a request about the node itself
    }
    forwardedRequests.add(operation.wireName() + " " + job);
    return operation == PeerOperation.CANCEL_JOB ? CANCELLED : RUNNING;
  }

  @AfterEach
  void stop() throws Exception {
    threads.interrupt();
    worker.close();
    store.close();
  }

  private static String describe(PeerResponse answer) {
    return answer.status()
        + " <"
        + answer.phase()
        + "> "
        + answer.doneTasks()
        + " "
        + answer.runningTasks();
  }

  private void addRequest(Golden golden, String label, String operation, String job)
      throws Exception {
    golden.add(
        label, describe(jobService.handlePeerRequest(PeerOperation.fromWireName(operation), job)));
  }

  /** Polls until the node has read the records in the store. */
  private void awaitReady() throws Exception {
    while (jobService.poll(JOB, true).status() != 200
        || jobService.handlePeerRequest(PeerOperation.STORE_STATUS, "").phase().isEmpty()) {
      Thread.sleep(20);
    }
  }

  @Test
  void peerRequests() throws Exception {
    awaitReady();
    Golden golden = new Golden("peer-words");
    golden.add("user asks", describe(jobService.poll(JOB, true)));
    golden.add("user cancels", describe(jobService.cancel(JOB, true)));
    golden.add("passed on", String.join(", ", new TreeSet<>(forwardedRequests)));
    addRequest(golden, "poll", "poll", "wk-2");
    addRequest(golden, "state", "state", "");
    addRequest(golden, "reach", "reach", "");
    addRequest(golden, "yield", "yield", "n3");
    String alive = "127.0.0.1:" + worker.port();
    addRequest(golden, "witness", "witness", alive + " 127.0.0.1:70000 " + alive);
    addRequest(golden, "another word", "rest", "");
    golden.check();
  }
}
