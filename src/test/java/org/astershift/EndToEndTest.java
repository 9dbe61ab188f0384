package org.astershift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.astershift.http.HttpClient;
import org.astershift.http.Json;
import org.astershift.standin.StandInCloud;
import org.astershift.standin.StandInStore;
import org.astershift.standin.StandInWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Three real controllers on loopback against stand-ins, with the state service down for a while and
 * controllers killed. It waits for what must come, however slow the machine is.
 */
@Timeout(240)
class EndToEndTest {
  private static final int FIRST_PORT = 21_000;

  /** What the settings of these tests promise to users. */
  private static final int CANCEL_S = 40;

  private static final Pattern LEADS = Pattern.compile(" leads with token ([0-9]+)");
  @TempDir Path dir;
  private final List<Integer> ports = new ArrayList<>();
  private final List<Process> nodes = new ArrayList<>();
  private final List<StandInStore.Door> doors = new ArrayList<>();
  private StandInStore store;
  private StandInCloud cloud;
  private int starts;

  /** Which start of all the one of each node was that now runs. */
  private final Map<Integer, Integer> logs = new HashMap<>();

  @BeforeEach
  void start() throws Exception {
    // Below the range from which the system takes ports for outgoing connections: one that it gave
    // out was taken again before the node listened there, and the test waited for ever.
    for (int port = FIRST_PORT; ports.size() < 6; port++) {
      try (ServerSocket s = new ServerSocket(port)) {
        ports.add(s.getLocalPort());
      } catch (java.net.BindException e) {
        // somebody else's
      }
    }
    store = new StandInStore(0);
    cloud = new StandInCloud(0, ports.subList(0, 3), 700);
    for (int i = 0; i < 3; i++) {
      doors.add(store.door());
      nodes.add(node(i));
    }
    for (int i = 0; i < 3; i++) {
      await(i, "GET", "/ready", null, "ready");
    }
  }

  @AfterEach
  void stop() throws Exception {
    for (Process p : nodes) {
      p.destroyForcibly().waitFor();
    }
    cloud.close();
    for (StandInStore.Door door : doors) {
      door.close();
    }
    store.close();
  }

  private Process node(int i) throws Exception {
    StringBuilder others = new StringBuilder();
    for (int j = 0; j < 3; j++) {
      if (j != i) {
        others.append("[[others]]\nmember = \"n").append(j).append("\"\ndomain = \"a\"\n");
        others.append("endpoint = \"127.0.0.1:").append(ports.get(3 + j)).append("\"\n");
      }
    }
    String text =
        Files.readString(Path.of("src/test/resources/first-job.toml"))
            .replace("member = \"one\"", "member = \"n" + i + "\"")
            .replace("127.0.0.1:18080", "127.0.0.1:" + ports.get(i))
            .replace("127.0.0.1:18081", "127.0.0.1:" + ports.get(3 + i))
            .replace("127.0.0.1:18443", "127.0.0.1:" + cloud.port())
            .replace("127.0.0.1:18379", "127.0.0.1:" + doors.get(i).port())
            .replace("[external]", others + "[external]");
    Path file = Files.writeString(dir.resolve("n" + i + ".toml"), text);
    logs.put(i, ++starts);
    return new ProcessBuilder(
            System.getProperty("java.home") + "/bin/java",
            "-cp",
            System.getProperty("java.class.path"),
            "org.astershift.Main",
            "--config",
            file.toString())
        .redirectError(dir.resolve(log(i)).toFile())
        .start();
  }

  private HttpClient.Answer call(int node, String method, String path, String body)
      throws Exception {
    HttpClient client = new HttpClient("127.0.0.1", ports.get(node), 1);
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    return client.call(method, path, bytes, 10_000);
  }

  /** Repeats a request, as users do, until the answer holds the word. */
  private Map<String, Object> await(int node, String method, String path, String body, String word)
      throws Exception {
    while (true) {
      try {
        HttpClient.Answer a = call(node, method, path, body);
        if (a.status() < 400 && new String(a.body(), StandardCharsets.UTF_8).contains(word)) {
          return Json.object(a.body());
        }
      } catch (java.io.IOException e) {
        // not up, or killed: asked again
      }
      assertTrue(nodes.get(node).isAlive(), "node " + node + " has ended");
      synchronized (this) {
        wait(50);
      }
    }
  }

  private static String job(String id, String shape, int tasks) {
    return "{\"id\":\""
        + id
        + "\",\"berth_class\":\"c\",\"crew\":\"demo\",\"shape\":\""
        + shape
        + "\",\"rank\":\"standard\",\"shards\":"
        + tasks
        + ",\"vcpus\":1,\"gpus\":0,\"mem_gb\":1,"
        + "\"payload\":\"i\",\"image_gb\":1,\"one_zone\":false,\"apart\":false,\"ebbtide\":false,"
        + "\"expect_s\":1,\"anchor_s\":0,\"stow_s\":0}";
  }

  private List<String> started() {
    List<String> out = new ArrayList<>();
    for (StandInWorker w : cloud.workers()) {
      out.addAll(w.started());
    }
    return out;
  }

  @Test
  void jobsSurviveAnOutageAndTheLossOfControllers() throws Exception {
    await(0, "POST", "/v2/runs", job("wk-000001", "sweep", 6), "wk-000001");
    await(1, "POST", "/v2/runs", job("wk-000001", "sweep", 6), "wk-000001");
    await(2, "GET", "/v2/runs/wk-000001", null, "\"done\",");
    assertEquals(404, call(1, "GET", "/v2/runs/wk-999999", null).status());
    assertEquals(400, call(1, "POST", "/v2/runs", "{\"id\":7}").status());
    assertEquals(
        422,
        call(
                1,
                "POST",
                "/v2/runs",
                job("wk-000009", "sweep", 1).replace("\"vcpus\":1", "\"vcpus\":99"))
            .status());
    assertEquals(405, call(1, "DELETE", "/v2/runs", null).status());

    // Jobs opened before an outage go on in it; their end is told when it can be written.
    await(1, "POST", "/v2/runs", job("wk-000002", "sweep", 8), "wk-000002");
    await(1, "GET", "/v2/runs/wk-000002", null, "running\":");
    store.down(true);
    assertEquals(503, call(0, "POST", "/v2/runs", job("wk-000003", "sweep", 1)).status());
    store.down(false);
    await(0, "GET", "/v2/runs/wk-000002", null, "\"done\",");

    // Every controller in turn is killed and started again.
    await(0, "POST", "/v2/runs", job("wk-000004", "sweep", 20), "wk-000004");
    for (int i = 0; i < 3; i++) {
      nodes.get(i).destroyForcibly().waitFor();
      nodes.set(i, node(i));
      await(i, "GET", "/ready", null, "ready");
    }
    await(1, "GET", "/v2/runs/wk-000004", null, "\"done\",");
    await(2, "GET", "/v2/runs/wk-000001", null, "\"done\",");

    await(2, "POST", "/v2/runs/wk-000001/withdraw", null, "\"done\",");
    List<String> starts = started();
    Set<String> once = new HashSet<>(starts);
    assertEquals(once.size(), starts.size(), "a task was started twice: " + starts);
    assertTrue(once.contains("wk-000004/19"), starts.toString());
    for (Process p : nodes) {
      assertTrue(p.isAlive());
    }
  }

  @Test
  void cancelledOnAnyNodeIsGoneAndStaysCancelled() throws Exception {
    await(0, "POST", "/v2/runs", job("wk-000005", "sweep", 40), "wk-000005");
    await(1, "GET", "/v2/runs/wk-000005", null, "\"running\",");
    await(2, "POST", "/v2/runs/wk-000005/withdraw", null, "withdrawn");
    for (Process p : nodes) {
      p.destroyForcibly().waitFor();
    }
    for (int i = 0; i < 3; i++) {
      nodes.set(i, node(i));
    }
    await(0, "GET", "/v2/runs/wk-000005", null, "withdrawn");
    await(1, "POST", "/v2/runs", job("wk-000006", "sweep", 1), "wk-000006");
    await(1, "GET", "/v2/runs/wk-000006", null, "\"done\",");
    for (StandInWorker w : cloud.workers()) {
      assertEquals(List.of(), w.running());
    }
    assertEquals(200, call(1, "POST", "/v2/runs", job("wk-000005", "sweep", 40)).status());
  }

  /**
   * The end of a job is on record, and its leader has no answer to that write yet: another node may
   * read it and tell it, so the leader tells nothing older meanwhile.
   */
  @Test
  void whatIsOverOnRecordIsToldByNobodyAsLive() throws Exception {
    await(0, "POST", "/v2/runs", job("wk-000008", "sweep", 3), "wk-000008");
    doors.forEach(d -> d.holdEnds(true));
    while (!store.has("d/wk-000008")) {
      synchronized (this) {
        wait(20);
      }
    }
    for (int i = 0; i < 3; i++) {
      HttpClient.Answer a = call(i, "GET", "/v2/runs/wk-000008", null);
      String said = new String(a.body(), StandardCharsets.UTF_8);
      assertTrue(a.status() == 503 || said.contains("\"done\","), a.status() + " " + said);
    }
    doors.forEach(d -> d.holdEnds(false));
    await(1, "GET", "/v2/runs/wk-000008", null, "\"done\",");
  }

  /**
   * Processes that end are back at once, the leader five times in a row and then all of them; a
   * process that starts while its predecessor still lives waits for its addresses.
   */
  @Test
  void processesAreBackAtOnce() throws Exception {
    await(0, "POST", "/v2/runs", job("wk-000007", "sweep", 60), "wk-000007");
    await(1, "GET", "/v2/runs/wk-000007", null, "\"running\",");
    for (int round = 0; round < 5; round++) {
      for (int i = 0; i < 3; i++) {
        if (round == 4 || Files.readString(dir.resolve(log(i))).contains(" leads with token ")) {
          nodes.get(i).destroyForcibly().waitFor();
          nodes.set(i, node(i));
        }
      }
    }
    for (int i = 0; i < 3; i++) {
      await(i, "GET", "/ready", null, "ready");
    }
    Process old = nodes.get(2);
    nodes.set(2, node(2));
    String waiting = log(2);
    while (!Files.readString(dir.resolve(waiting)).contains("waits for its address")) {
      assertTrue(nodes.get(2).isAlive(), "a process whose address is taken has ended");
      synchronized (this) {
        wait(50);
      }
    }
    old.destroyForcibly().waitFor();
    await(2, "GET", "/v2/runs/wk-000007", null, "\"done\",");
    List<String> started = started();
    assertEquals(new HashSet<>(started).size(), started.size(), "started twice: " + started);
  }

  /**
   * Copies of what machines said, old and new, come at every node; one machine begins anew; to
   * another nothing that is said arrives while the leader is killed, and then all at once, late.
   */
  @Test
  void copiesComeLateMachinesBeginAnewAndOneHearsNothing() throws Exception {
    await(0, "POST", "/v2/runs", job("wk-000030", "sweep", 60), "wk-000030");
    await(1, "GET", "/v2/runs/wk-000030", null, "\"running\",");
    List<String> lost = cloud.workers().get(0).beginAnew();
    replay();
    StandInWorker deaf = cloud.workers().get(cloud.workers().size() - 1);
    deaf.deaf(true);
    for (int i = 0; i < 3; i++) {
      if (Files.readString(dir.resolve(log(i))).contains(" leads with token ")) {
        nodes.get(i).destroyForcibly().waitFor();
        nodes.set(i, node(i));
        await(i, "GET", "/ready", null, "ready");
      }
    }
    replay();
    deaf.deaf(false);
    replay();
    await(2, "GET", "/v2/runs/wk-000030", null, "\"done\",");
    List<String> starts = started();
    lost.forEach(starts::remove);
    assertEquals(new HashSet<>(starts).size(), starts.size(), "started twice: " + starts);
  }

  /** Sends a part of all that was reported so far once more, to each node. */
  private void replay() throws Exception {
    for (StandInWorker w : cloud.workers()) {
      List<String> said = w.said();
      for (int i = 0; i < said.size(); i += 1 + said.size() / 4) {
        for (int n = 0; n < 3; n++) {
          int status = call(n, "POST", "/agent/beat", said.get(i)).status();
          assertTrue(Set.of(200, 421, 503).contains(status), "status " + status);
        }
      }
    }
  }

  /** The log of the process that now stands for this node. */
  private String log(int node) {
    return "n" + node + "-" + logs.get(node) + ".log";
  }

  private void awaitStatus(int node, String path, int status) throws Exception {
    while (call(node, "GET", path, null).status() != status) {
      synchronized (this) {
        wait(50);
      }
    }
  }

  /**
   * Whichever node the state service refuses, the leader or another: it stops being ready, says so
   * at once to those who still submit to it, and asks the others who leads; jobs go on meanwhile.
   */
  @Test
  void aNodeRefusedByTheStateServiceAloneSendsUsersElsewhere() throws Exception {
    for (int i = 0; i < 3; i++) {
      int other = (i + 1) % 3;
      String before = "wk-00001" + i;
      String during = "wk-00002" + i;
      await(i, "POST", "/v2/runs", job(before, "sweep", 3), before);
      doors.get(i).refuse(true);
      awaitStatus(i, "/ready", 503);
      assertEquals(503, call(i, "POST", "/v2/runs", job(during, "sweep", 3)).status());
      assertEquals(200, call(other, "GET", "/ready", null).status());
      await(other, "POST", "/v2/runs", job(during, "sweep", 3), during);
      await(other, "GET", "/v2/runs/" + during, null, "\"done\",");
      await(i, "GET", "/v2/runs/" + during, null, "\"done\",");
      await(i, "GET", "/v2/runs/" + before, null, "\"done\",");
      doors.get(i).refuse(false);
      awaitStatus(i, "/ready", 200);
    }
    List<String> starts = started();
    assertEquals(new HashSet<>(starts).size(), starts.size(), "started twice: " + starts);
  }

  /**
   * The state service refuses the leader alone; another one confirms a cancellation; then it is
   * down for all, and the tasks are gone in time all the same. A cancellation that cannot be
   * confirmed is refused at once, with when to come again.
   */
  @Test
  void confirmedByAnotherJustBeforeAnOutage() throws Exception {
    for (int i = 0; i < 3; i++) {
      await(i, "POST", "/v2/runs", endless("wk-90000" + i), "wk-90000" + i);
      await(i, "GET", "/v2/runs/wk-90000" + i, null, "\"running\",");
    }
    int old = leader();
    cloud.workers().forEach(StandInWorker::answeredBy);
    doors.get(old).refuse(true);
    int other = (old + 1) % 3;
    long askedNs = System.nanoTime();
    await(other, "POST", "/v2/runs/wk-900000/withdraw", null, "withdrawn");
    long confirmedNs = System.nanoTime();
    store.down(true);
    assertNotEquals(old, leader(), "another one leads");
    assertTrue(
        cloud.workers().stream().anyMatch(w -> w.answeredBy().contains(ports.get(old))),
        "workers went on reporting to the old leader");
    HttpClient.Answer refused = call(old, "POST", "/v2/runs/wk-900001/withdraw", null);
    assertEquals(503, refused.status());
    while (cloud.workers().stream().anyMatch(w -> runs(w, "wk-900000"))) {
      long s = (System.nanoTime() - confirmedNs) / 1_000_000_000;
      assertTrue(s < CANCEL_S, "left " + s + " s after " + (confirmedNs - askedNs) / 1_000_000);
      synchronized (this) {
        wait(50);
      }
    }
    store.down(false);
    doors.get(old).refuse(false);
    for (int i = 0; i < 3; i++) {
      await(i, "POST", "/v2/runs/wk-900001/withdraw", null, "withdrawn");
      await(i, "GET", "/v2/runs/wk-900000", null, "withdrawn");
      await(i, "POST", "/v2/runs", endless("wk-900000"), "withdrawn");
      assertEquals(404, call(i, "POST", "/v2/runs/wk-999999/withdraw", null).status());
    }
  }

  /** Its tasks run until they are stopped, and their owner says so. */
  private static String endless(String id) {
    return job(id, "sweep", 2).replace("\"expect_s\":1", "\"expect_s\":600");
  }

  private static boolean runs(StandInWorker w, String job) {
    return w.running().stream().anyMatch(t -> t.startsWith(job + "/"));
  }

  /** The node that was the last to begin to lead. */
  private int leader() throws Exception {
    int found = 0;
    long most = 0;
    for (int i = 0; i < 3; i++) {
      Matcher m = LEADS.matcher(Files.readString(dir.resolve(log(i))));
      while (m.find()) {
        if (Long.parseLong(m.group(1)) > most) {
          most = Long.parseLong(m.group(1));
          found = i;
        }
      }
    }
    return found;
  }
}
