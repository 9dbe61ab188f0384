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

  /** A valid submission; the job can run on the emulated machines. */
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

  /**
   * Waits until the node knows the machine types; before that new jobs are neither accepted nor
   * rejected.
   */
  private void awaitMachineTypes() throws Exception {
    nodes.await(0, "POST", JOBS, validExcept("vcpus", "99"), 422, "");
  }

  /** Returns the valid submission with another text for one field; null removes the field. */
  private static String validExcept(String field, String text) {
    String value = "(\\[[^]]*\\]|[^,}]*)";
    return text == null
        ? VALID.replaceFirst("\"" + field + "\":" + value + ",?", "").replace(",}", "}")
        : VALID.replaceFirst("(\"" + field + "\":)" + value, "$1" + text.replace("\\", "\\\\"));
  }

  private void addCall(Golden golden, String label, String method, String path, String body)
      throws Exception {
    HttpClient.Response response = nodes.call(0, method, path, body);
    golden.add(
        label, response.status() + " " + new String(response.body(), StandardCharsets.UTF_8));
  }

  @Test
  void jobStates() throws Exception {
    nodes(1, cloud.port());
    awaitMachineTypes();
    Golden golden = new Golden("users-states");
    String service =
        validExcept("id", "\"wk-9\"").replace("sweep", "service").replace(":2,", ":1,");
    addCall(golden, "ready", "GET", "/ready", null);
    addCall(golden, "submitted", "POST", JOBS, service);
    nodes.await(0, "GET", JOBS + "/wk-9", null, 200, "\"running\",");
    addCall(golden, "running", "GET", JOBS + "/wk-9", null);
    addCall(golden, "submitted again", "POST", JOBS, service);
    nodes.await(0, "POST", JOBS, VALID, 201, "queued");
    nodes.await(0, "GET", JOBS + "/wk-1", null, 200, "\"done\",");
    addCall(golden, "done", "GET", JOBS + "/wk-1", null);
    addCall(golden, "done, cancelled", "POST", JOBS + "/wk-1/withdraw", null);
    addCall(golden, "done, submitted again", "POST", JOBS, VALID);
    nodes.await(0, "POST", JOBS + "/wk-9/withdraw", null, 200, "withdrawn");
    addCall(golden, "cancelled", "GET", JOBS + "/wk-9", null);
    addCall(golden, "cancelled again", "POST", JOBS + "/wk-9/withdraw", "{}");
    addCall(golden, "cancelled, submitted again", "POST", JOBS, service);
    addCall(golden, "unknown", "GET", JOBS + "/wk-nobodys", null);
    addCall(golden, "unknown, cancelled", "POST", JOBS + "/wk-nobodys/withdraw", null);
    golden.check();
  }

  @Test
  void pathsAndMethods() throws Exception {
    nodes(1, cloud.port());
    Golden golden = new Golden("users-paths");
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
      addCall(golden, request, parts[0], parts[1], null);
    }
    addCall(
        golden,
        "bad report",
        "POST",
        "/agent/beat",
        HEARTBEAT.replace("\"watch\":1", "\"watch\":\"1\""));
    golden.check();
  }

  /** Returns malformed values of each field. */
  private static Map<String, List<String>> malformedValues() {
    Map<String, List<String>> values = new LinkedHashMap<>();
    values.put("id", List.of("7", "\"\"", "\"wk-\"", "\"job 1\"", "\"WK-1\"", "\"wk-1/0\""));
    for (String field : List.of("berth_class", "crew", "payload")) {
      values.put(field, List.of("7", "true", "[\"a\"]", "\"\"", "\"" + "x".repeat(201) + "\""));
    }
    values.put("shape", List.of("7", "\"\"", "\"heap\"", "\"Gang\"", "\"array\""));
    values.put("rank", List.of("7", "\"\"", "\"heap\"", "\"HIGH\"", "\"high\""));
    values.put(
        "shards", List.of("0", "-1", "100001", "1.5", "2.0", "\"1\"", "18446744073709551617"));
    for (String field :
        List.of("vcpus", "gpus", "mem_gb", "image_gb", "expect_s", "anchor_s", "stow_s")) {
      values.put(field, List.of("\"1\"", "true", "NaN", "1e400", "-0.5", "1e10"));
    }
    for (String field : List.of("one_zone", "apart", "ebbtide")) {
      values.put(field, List.of("0", "\"true\"", "[]"));
    }
    return values;
  }

  @Test
  void malformedSubmissions() throws Exception {
    nodes(1, cloud.port());
    awaitMachineTypes();
    Golden golden = new Golden("users-malformed");
    for (Map.Entry<String, List<String>> entry : malformedValues().entrySet()) {
      addCall(golden, entry.getKey() + " missing", "POST", JOBS, validExcept(entry.getKey(), null));
      addCall(
          golden, entry.getKey() + " is null", "POST", JOBS, validExcept(entry.getKey(), "null"));
      for (String value : entry.getValue()) {
        addCall(
            golden,
            entry.getKey() + " is " + value,
            "POST",
            JOBS,
            validExcept(entry.getKey(), value));
      }
    }
    for (String value : List.of("\"small\"", "7", "{}", "[7]", "[null]")) {
      addCall(golden, "hulls is " + value, "POST", JOBS, validExcept("hulls", value));
    }
    for (String value : List.of("7", "[\"a\"]")) {
      addCall(golden, "harbor is " + value, "POST", JOBS, validExcept("harbor", value));
    }
    for (String value : List.of("\"1\"", "-1", "true")) {
      addCall(golden, "due_s is " + value, "POST", JOBS, validExcept("due_s", value));
    }
    for (String body : List.of("", "no", "null", "7", "[]", "{}", "{", "{}}")) {
      addCall(golden, "<" + body + ">", "POST", JOBS, body);
    }
    addCall(golden, "more after it", "POST", JOBS, VALID + "x");
    addCall(golden, "deep", "POST", JOBS, "[".repeat(60_000));
    addCall(
        golden,
        "large",
        "POST",
        JOBS,
        VALID.replace("}", ",\"x\":\"" + "y".repeat(65_536) + "\"}"));
    golden.check();
  }

  @Test
  void jobsThatCanNeverRun() throws Exception {
    nodes(1, cloud.port());
    awaitMachineTypes();
    Golden golden = new Golden("users-never");
    String limited = validExcept("crew", "\"limited\"").replace(":2,", ":7,");
    addCall(golden, "team", "POST", JOBS, validExcept("crew", "\"nobody\""));
    addCall(golden, "cpus", "POST", JOBS, validExcept("vcpus", "4.5"));
    addCall(golden, "gpus", "POST", JOBS, validExcept("gpus", "1"));
    addCall(golden, "memory", "POST", JOBS, validExcept("mem_gb", "16.1"));
    addCall(golden, "no type", "POST", JOBS, validExcept("hulls", "[]"));
    addCall(golden, "unknown type", "POST", JOBS, validExcept("hulls", "[\"large\"]"));
    addCall(golden, "zone", "POST", JOBS, validExcept("harbor", "\"c\""));
    addCall(golden, "gang over limit", "POST", JOBS, limited.replace("sweep", "gang"));
    addCall(golden, "service over limit", "POST", JOBS, limited.replace("sweep", "service"));
    addCall(
        golden,
        "apart",
        "POST",
        JOBS,
        validExcept("shape", "\"gang\"").replace("false,\"e", "true,\"e"));
    golden.check();
  }

  @Test
  void answersDuringStoreOutage() throws Exception {
    nodes(1, cloud.port());
    awaitMachineTypes();
    Golden golden = new Golden("users-undecided");
    store.down(true);
    addCall(golden, "poll", "GET", JOBS + "/wk-1", null);
    addCall(golden, "cancel", "POST", JOBS + "/wk-1/withdraw", null);
    addCall(golden, "submit", "POST", JOBS, VALID);
    addCall(golden, "can never run", "POST", JOBS, validExcept("vcpus", "99"));
    addCall(golden, "malformed", "POST", JOBS, validExcept("vcpus", "null"));
    addCall(golden, "accepted before", "POST", JOBS, validExcept("one_zone", "null"));
    golden.check();
  }

  @Test
  void answersWithoutMachineTypes() throws Exception {
    try (HttpServer cloudServer =
        new HttpServer("127.0.0.1", 0, 50, request -> Response.error(503, "unavailable"))) {
      cloudServer.start();
      nodes(1, cloudServer.port());
      Golden golden = new Golden("users-no-types");
      addCall(golden, "submit", "POST", JOBS, VALID);
      addCall(golden, "malformed", "POST", JOBS, validExcept("vcpus", null));
      golden.check();
    }
  }

  /** Heartbeats go to the leader: another node answers with the name of the leader. */
  @Test
  void heartbeatsToFollower() throws Exception {
    nodes(2, cloud.port());
    String answer = null;
    long deadline = System.nanoTime() + 60_000_000_000L;
    while (answer == null && System.nanoTime() < deadline) {
      for (int node = 0; node < 2; node++) {
        HttpClient.Response response = nodes.call(node, "POST", "/agent/beat", HEARTBEAT);
        String body = new String(response.body(), StandardCharsets.UTF_8);
        if (response.status() == 421 && body.length() > 2) {
          answer = response.status() + " " + body.replace("n" + (1 - node), "OTHER");
        }
      }
      Thread.sleep(20);
    }
    new Golden("users-other-leader").add("report", String.valueOf(answer)).check();
  }
}
