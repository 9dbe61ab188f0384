package org.astershift.golden;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.emulator.CloudEmulator;
import org.astershift.emulator.InProcessControllers;
import org.astershift.emulator.StoreEmulator;
import org.astershift.http.HttpClient;
import org.astershift.http.HttpServer;
import org.astershift.http.HttpServer.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Answers to users and workers through sockets, with their statuses. */
@Timeout(240)
class UserAnswersTest {
  private static final String LIMITED =
      "[[facts.teams]]\nname = \"limited\"\ncpus_max = 6.0\ngpus_max = 0.0\n";
  private static final String JOBS = "/v2/runs";
  private static final String HEARTBEAT =
      "{\"vessel\":\"vm-x\",\"addr\":\"127.0.0.1:1\",\"hull\":\"small\",\"harbor\":\"a\","
          + "\"ebbtide\":false,\"watch\":1,\"tick\":1,\"shards\":[]}";

  /** Can run on the stand-in's machines. */
  private static final String VALID =
      "{\"id\":\"wk-1\",\"berth_class\":\"c\",\"crew\":\"demo\",\"shape\":\"sweep\","
          + "\"rank\":\"standard\",\"shards\":2,\"vcpus\":1.0,\"gpus\":0.0,\"mem_gb\":1.0,"
          + "\"payload\":\"i\",\"image_gb\":1.0,\"hulls\":[\"small\"],\"harbor\":\"a\","
          + "\"one_zone\":true,\"apart\":false,\"ebbtide\":false,\"expect_s\":1.0,"
          + "\"anchor_s\":0.0,\"stow_s\":0.0,\"due_s\":9.0}";

  @TempDir Path dir;
  private final List<Integer> ports = new ArrayList<>();
  private StoreEmulator store;
  private CloudEmulator cloud;
  private InProcessControllers nodes;

  @BeforeEach
  void start() throws Exception {
    store = new StoreEmulator(0);
    cloud = new CloudEmulator(0, ports, 200);
  }

  @AfterEach
  void stop() throws Exception {
    nodes.close();
    cloud.close();
    store.close();
  }

  private void nodes(int count, int cloudPort) throws Exception {
    nodes = new InProcessControllers(count, store.port(), cloudPort, ports, LIMITED, dir);
  }

  /** Waits until a node knows the machine types: until then nothing new is taken or refused. */
  private void awaitMachineTypes() throws Exception {
    nodes.await(0, "POST", JOBS, validExcept("vcpus", "99"), 422, "");
  }

  /** The good submission with another text for one field; none leaves the field out. */
  private static String validExcept(String field, String text) {
    String value = "(\\[[^]]*\\]|[^,}]*)";
    return text == null
        ? VALID.replaceFirst("\"" + field + "\":" + value + ",?", "").replace(",}", "}")
        : VALID.replaceFirst("(\"" + field + "\":)" + value, "$1" + text.replace("\\", "\\\\"));
  }

  private void addCall(Golden g, String label, String method, String path, String body)
      throws Exception {
    HttpClient.Response a = nodes.call(0, method, path, body);
    g.add(label, a.status() + " " + new String(a.body(), StandardCharsets.UTF_8));
  }

  @Test
  void jobStates() throws Exception {
    nodes(1, cloud.port());
    awaitMachineTypes();
    Golden g = new Golden("users-states");
    String service =
        validExcept("id", "\"wk-9\"").replace("sweep", "service").replace(":2,", ":1,");
    addCall(g, "ready", "GET", "/ready", null);
    addCall(g, "submitted", "POST", JOBS, service);
    nodes.await(0, "GET", JOBS + "/wk-9", null, 200, "\"running\",");
    addCall(g, "running", "GET", JOBS + "/wk-9", null);
    addCall(g, "submitted again", "POST", JOBS, service);
    nodes.await(0, "POST", JOBS, VALID, 201, "queued");
    nodes.await(0, "GET", JOBS + "/wk-1", null, 200, "\"done\",");
    addCall(g, "done", "GET", JOBS + "/wk-1", null);
    addCall(g, "done, cancelled", "POST", JOBS + "/wk-1/withdraw", null);
    addCall(g, "done, submitted again", "POST", JOBS, VALID);
    nodes.await(0, "POST", JOBS + "/wk-9/withdraw", null, 200, "withdrawn");
    addCall(g, "cancelled", "GET", JOBS + "/wk-9", null);
    addCall(g, "cancelled again", "POST", JOBS + "/wk-9/withdraw", "{}");
    addCall(g, "cancelled, submitted again", "POST", JOBS, service);
    addCall(g, "unknown", "GET", JOBS + "/wk-nobodys", null);
    addCall(g, "unknown, cancelled", "POST", JOBS + "/wk-nobodys/withdraw", null);
    g.check();
  }

  @Test
  void pathsAndMethods() throws Exception {
    nodes(1, cloud.port());
    Golden g = new Golden("users-paths");
    String[] requests = {
      "POST /ready",
      "GET /v2/runs",
      "PUT /v2/runs",
      "DELETE /v2/runs/wk-1",
      "POST /v2/runs/wk-1",
      "GET /v2/runs/wk-1/withdraw",
      "GET /v2/runs/",
      "GET /v2/runs/job",
      "GET /v2/runs/wk-A",
      "POST /v2/runs/job/withdraw",
      "GET /v2/runs/wk-1/x",
      "GET /v2/runs/wk-1/x/withdraw",
      "POST /v2/runs/withdraw",
      "GET /",
      "GET /v1/runs",
      "GET /agent/beat",
      "POST /agent/beat",
      "GET /agent",
      "GET /v2/runs/wk-1?x=y"
    };
    for (String request : requests) {
      String[] parts = request.split(" ");
      addCall(g, request, parts[0], parts[1], null);
    }
    addCall(
        g,
        "bad report",
        "POST",
        "/agent/beat",
        HEARTBEAT.replace("\"watch\":1", "\"watch\":\"1\""));
    g.check();
  }

  /** What is malformed for each field. */
  private static Map<String, List<String>> malformedValues() {
    Map<String, List<String>> out = new LinkedHashMap<>();
    out.put("id", List.of("7", "\"\"", "\"wk-\"", "\"job 1\"", "\"WK-1\"", "\"wk-1/0\""));
    for (String f : List.of("berth_class", "crew", "payload")) {
      out.put(f, List.of("7", "true", "[\"a\"]", "\"\"", "\"" + "x".repeat(201) + "\""));
    }
    out.put("shape", List.of("7", "\"\"", "\"heap\"", "\"Gang\"", "\"array\""));
    out.put("rank", List.of("7", "\"\"", "\"heap\"", "\"HIGH\"", "\"high\""));
    out.put("shards", List.of("0", "-1", "100001", "1.5", "2.0", "\"1\"", "18446744073709551617"));
    for (String f :
        List.of("vcpus", "gpus", "mem_gb", "image_gb", "expect_s", "anchor_s", "stow_s")) {
      out.put(f, List.of("\"1\"", "true", "NaN", "1e400", "-0.5", "1e10"));
    }
    for (String f : List.of("one_zone", "apart", "ebbtide")) {
      out.put(f, List.of("0", "\"true\"", "[]"));
    }
    return out;
  }

  @Test
  void malformedSubmissions() throws Exception {
    nodes(1, cloud.port());
    awaitMachineTypes();
    Golden g = new Golden("users-malformed");
    for (Map.Entry<String, List<String>> e : malformedValues().entrySet()) {
      addCall(g, e.getKey() + " missing", "POST", JOBS, validExcept(e.getKey(), null));
      addCall(g, e.getKey() + " is null", "POST", JOBS, validExcept(e.getKey(), "null"));
      for (String value : e.getValue()) {
        addCall(g, e.getKey() + " is " + value, "POST", JOBS, validExcept(e.getKey(), value));
      }
    }
    for (String value : List.of("\"small\"", "7", "{}", "[7]", "[null]")) {
      addCall(g, "hulls is " + value, "POST", JOBS, validExcept("hulls", value));
    }
    for (String value : List.of("7", "[\"a\"]")) {
      addCall(g, "harbor is " + value, "POST", JOBS, validExcept("harbor", value));
    }
    for (String value : List.of("\"1\"", "-1", "true")) {
      addCall(g, "due_s is " + value, "POST", JOBS, validExcept("due_s", value));
    }
    for (String body : List.of("", "no", "null", "7", "[]", "{}", "{", "{}}")) {
      addCall(g, "<" + body + ">", "POST", JOBS, body);
    }
    addCall(g, "more after it", "POST", JOBS, VALID + "x");
    addCall(g, "deep", "POST", JOBS, "[".repeat(60_000));
    addCall(g, "large", "POST", JOBS, VALID.replace("}", ",\"x\":\"" + "y".repeat(65_536) + "\"}"));
    g.check();
  }

  @Test
  void jobsThatCanNeverRun() throws Exception {
    nodes(1, cloud.port());
    awaitMachineTypes();
    Golden g = new Golden("users-never");
    String limited = validExcept("crew", "\"limited\"").replace(":2,", ":7,");
    addCall(g, "team", "POST", JOBS, validExcept("crew", "\"nobody\""));
    addCall(g, "cpus", "POST", JOBS, validExcept("vcpus", "4.5"));
    addCall(g, "gpus", "POST", JOBS, validExcept("gpus", "1"));
    addCall(g, "memory", "POST", JOBS, validExcept("mem_gb", "16.1"));
    addCall(g, "no type", "POST", JOBS, validExcept("hulls", "[]"));
    addCall(g, "unknown type", "POST", JOBS, validExcept("hulls", "[\"large\"]"));
    addCall(g, "zone", "POST", JOBS, validExcept("harbor", "\"c\""));
    addCall(g, "gang over limit", "POST", JOBS, limited.replace("sweep", "gang"));
    addCall(g, "service over limit", "POST", JOBS, limited.replace("sweep", "service"));
    addCall(
        g,
        "apart",
        "POST",
        JOBS,
        validExcept("shape", "\"gang\"").replace("false,\"e", "true,\"e"));
    g.check();
  }

  @Test
  void answersDuringStoreOutage() throws Exception {
    nodes(1, cloud.port());
    awaitMachineTypes();
    Golden g = new Golden("users-undecided");
    store.down(true);
    addCall(g, "poll", "GET", JOBS + "/wk-1", null);
    addCall(g, "cancel", "POST", JOBS + "/wk-1/withdraw", null);
    addCall(g, "submit", "POST", JOBS, VALID);
    addCall(g, "can never run", "POST", JOBS, validExcept("vcpus", "99"));
    addCall(g, "malformed", "POST", JOBS, validExcept("vcpus", "null"));
    addCall(g, "accepted before", "POST", JOBS, validExcept("one_zone", "null"));
    g.check();
  }

  @Test
  void answersWithoutMachineTypes() throws Exception {
    try (HttpServer out = new HttpServer("127.0.0.1", 0, 50, r -> Response.error(503, "trouble"))) {
      out.start();
      nodes(1, out.port());
      Golden g = new Golden("users-no-types");
      addCall(g, "submit", "POST", JOBS, VALID);
      addCall(g, "malformed", "POST", JOBS, validExcept("vcpus", null));
      g.check();
    }
  }

  /** Reports go to the leader: another node names it. */
  @Test
  void heartbeatsToFollower() throws Exception {
    nodes(2, cloud.port());
    String said = null;
    long deadline = System.nanoTime() + 60_000_000_000L;
    while (said == null && System.nanoTime() < deadline) {
      for (int node = 0; node < 2; node++) {
        HttpClient.Response a = nodes.call(node, "POST", "/agent/beat", HEARTBEAT);
        String body = new String(a.body(), StandardCharsets.UTF_8);
        if (a.status() == 421 && body.length() > 2) {
          said = a.status() + " " + body.replace("n" + (1 - node), "OTHER");
        }
      }
      Thread.sleep(20);
    }
    new Golden("users-other-leader").add("report", String.valueOf(said)).check();
  }
}
